package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"
)

const (
	configPath = "/cactusline/config"
	// operatorPatience is how long the operator waits for an answer.
	operatorPatience = time.Second
	host             = "ficu95.example"
)

// Config returns a config. Its version can be read back, and it has a route of its own
// beside the one that all versions have.
func Config(version int) []byte {
	route := `{"name":%q,"hostname":%q,"pathPrefix":%q,"type":"safe","timeoutMs":2500,"sloMs":500,"priority":1,"service":"ilmo","attempts":2,"public":true,"sticky":false,"resumable":false}`
	all := fmt.Sprintf(route, "r-all", host, "/all/")
	own := fmt.Sprintf(route, "r-own", host, fmt.Sprintf("/v%d/", version))
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s],"services":[{"name":"ilmo","healthPath":"/healthz","maxConns":120,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}`, version, all, own)
}

// Answer is the answer to a call of the operator. The status is 0 if there was none.
type Answer struct {
	Status  int
	Version int
	SentAt  time.Time
	At      time.Time
}

// Put sends a config to a machine.
func (f *Fleet) Put(m *Machine, version int) Answer {
	answer, text := callControl(m, http.MethodPut, Config(version))
	f.Record.Addf("operator: PUT version %d at %s: %d %s", version, m.Name, answer.Status, text)
	return answer
}

// Get reads the config at a machine.
func (f *Fleet) Get(m *Machine) Answer {
	answer, text := callControl(m, http.MethodGet, nil)
	f.Record.Addf("operator: GET at %s: %d version %d %s", m.Name, answer.Status, answer.Version, text)
	return answer
}

// callControl makes one call of the operator's API, on a connection of its own. It returns
// the answer and the start of its text, if that is not a config.
func callControl(m *Machine, method string, body []byte) (Answer, string) {
	answer := Answer{SentAt: time.Now()}
	request, err := http.NewRequest(method, "http://"+m.Control()+configPath, bytes.NewReader(body))
	if err != nil {
		return answer, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: operatorPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer, "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, "no answer"
	}
	answer.Status, answer.At = response.StatusCode, time.Now()
	var in struct {
		Version int `json:"version"`
	}
	if json.Unmarshal(text, &in) == nil {
		answer.Version = in.Version
	}
	if method == http.MethodGet && answer.Status == http.StatusOK {
		return answer, ""
	}
	return answer, strings.TrimSpace(string(text))
}

// Ask sends a request of a caller to the gate of a machine and returns the status, 0
// without an answer.
func (f *Fleet) Ask(m *Machine, path, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+m.Gate()+path, http.NoBody)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "2500")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		f.Record.Addf("caller: %s %s at %s: no answer", id, path, m.Name)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	f.Record.Addf("caller: %s %s at %s: %d", id, path, m.Name, response.StatusCode)
	return response.StatusCode
}

// Platform is a stand-in of the platform's list with one replica of a plain service, which
// answers each request. It runs until the process ends.
type Platform struct {
	list, replica *httptest.Server
}

// NewPlatform starts a platform.
func NewPlatform(record *Record) *Platform {
	p := new(Platform)
	p.replica = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != replicaID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		record.Addf("replica: runs %s", id)
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")
		_, _ = io.WriteString(w, "the replica's bytes")
	}))
	address := p.replica.Listener.Addr().(*net.TCPAddr).String()
	p.list = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"instances":[{"id":%q,"service":"ilmo","addr":%q,"zone":"fi-south-a","version":"v1","slots":64,"state":"ready","coldLeftMs":0}],"next":null}`, replicaID, address)
	}))
	return p
}

// replicaID is the ID of the one replica.
const replicaID = "i-7f3a91c2"

// Address is that of the list.
func (p *Platform) Address() string { return p.list.Listener.Addr().String() }

// Close ends the platform.
func (p *Platform) Close() {
	p.list.Close()
	p.replica.Close()
}
