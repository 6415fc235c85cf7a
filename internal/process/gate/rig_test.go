package gate_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/gate"
	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/patch"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/route"
)

// plainDialect is a dialect of the tests.
type plainDialect struct{}

func (plainDialect) ParseRequest(h http.Header) gate.RequestMeta {
	ask := gate.RequestMeta{ID: ident.RequestID(h.Get("Id")), APIKey: h.Get("Key"), LastEventID: h.Get("After")}
	if wait, err := time.ParseDuration(h.Get("Wait")); err == nil {
		ask.Timeout = wait
	}
	if part, err := strconv.ParseUint(h.Get("Part"), 10, 64); err == nil {
		ask.PromptParts = []place.PartID{place.PartID(part), place.PartID(part + 1)}
	}
	return ask
}

func (plainDialect) ForwardHeader(h http.Header, order gate.ForwardMeta) http.Header {
	for _, name := range []string{"Key", "Customer", "Wait", "Target"} {
		h.Del(name)
	}
	h.Set("Target", string(order.Target))
	h.Set("Wait", order.Timeout.String())
	h.Set("Customer", string(order.Customer))
	if order.LastEventID != "" {
		h.Set("After", order.LastEventID)
	}
	return h
}

func (plainDialect) ParseResponse(h http.Header) gate.ResponseMeta {
	return gate.ResponseMeta{RequestID: ident.RequestID(h.Get("Id")), NotRun: h.Get("Not-Run") != ""}
}

func (plainDialect) SetRetryAfter(h http.Header, wait time.Duration) {
	h.Set("Retry-After", fmt.Sprint(wait.Seconds()))
}

func (plainDialect) ReadyPath() string { return "/ready" }

// compile reads a route.Document as JSON.
func compile(body []byte) (*route.Table, error) {
	document := new(route.Document)
	if err := json.Unmarshal(body, document); err != nil {
		return nil, err
	}
	return route.Compile(document)
}

// replica is a stand-in target: each request is handed to its script with the
// connection it came on.
type replica struct {
	name   string
	addr   string
	script func(r *run)

	mu   sync.Mutex
	runs []*run
}

// run is one request at a replica.
type run struct {
	conn    net.Conn
	request *http.Request
	body    string
	// closed is closed when the gate closes the connection meanwhile.
	closed chan struct{}
}

func (r *run) id() string { return r.request.Header.Get("Id") }

// head writes an answer's head; length is below 0 for a chunked body.
func (r *run) head(status, length int, fields ...string) {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\n", status, r.id())
	for _, field := range fields {
		text += field + "\r\n"
	}
	if length >= 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
	} else {
		text += "Transfer-Encoding: chunked\r\n\r\n"
	}
	_, _ = io.WriteString(r.conn, text)
}

func (r *run) answer(status int, body string, fields ...string) {
	r.head(status, len(body), fields...)
	_, _ = io.WriteString(r.conn, body)
}

func (r *run) chunk(text string) { _, _ = fmt.Fprintf(r.conn, "%x\r\n%s\r\n", len(text), text) }

func (r *run) event(id int) { r.chunk(fmt.Sprintf("id: %d\ndata: event %d\n\n", id, id)) }

func (r *run) end() { _, _ = io.WriteString(r.conn, "0\r\n\r\n") }

// reset breaks the connection off.
func (r *run) reset() {
	_ = r.conn.(*net.TCPConn).SetLinger(0)
	_ = r.conn.Close()
}

func (p *replica) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs)
}

func (p *replica) run(i int) *run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[i]
}

func newReplica(t *testing.T, name string, script func(r *run)) *replica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &replica{name: name, addr: listener.Addr().String(), script: script}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *replica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		r := &run{conn: conn, request: request, body: string(body), closed: make(chan struct{})}
		p.mu.Lock()
		p.runs = append(p.runs, r)
		p.mu.Unlock()
		done := make(chan struct{})
		go func() {
			// A byte or the end of the connection shows up only once the next
			// request comes or the gate has left.
			if _, err := reader.Peek(1); err != nil {
				close(r.closed)
			}
			close(done)
		}()
		p.script(r)
		<-done
		if conn.RemoteAddr() == nil {
			return
		}
	}
}

// rig is a gate before stand-in replicas.
type rig struct {
	t        *testing.T
	gate     *gate.Gate
	follower *watch.Follower
	callers  string
	ready    string
	stop     context.CancelFunc
	stopped  chan error
	version  uint64
	step     uint64
}

func newRig(t *testing.T, cfg gate.Config, replicas ...*replica) *rig {
	t.Helper()
	links := link.NewClient(link.Config{Clock: clock.System{}})
	t.Cleanup(func() { _ = links.Close() })
	cfg.Compile, cfg.Dialect, cfg.Clock, cfg.Logger = compile, plainDialect{}, clock.System{}, log.NewNopLogger()
	if cfg.DrainDelay == 0 {
		cfg.DrainDelay = 10 * time.Millisecond
	}
	r := &rig{t: t, gate: gate.New(cfg), stopped: make(chan error, 1)}
	r.follower = watch.NewFollower(watch.Config{
		Addresses: []string{"127.0.0.1:1"}, Link: links, Clock: clock.System{}, Logger: log.NewNopLogger(),
		OnUpdate: func(update *wire.Update, _ *record.Set) { r.gate.Update(update) },
	})
	r.gate.SetFollower(r.follower)
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ready, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r.callers, r.ready = callers.Addr().String(), ready.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	t.Cleanup(cancel)
	go func() { r.stopped <- r.gate.Run(ctx, callers, ready) }()
	r.list(replicas...)
	return r
}

// list makes the replicas the targets of the service "s".
func (r *rig) list(replicas ...*replica) {
	r.step++
	out := &wire.Roster{Source: "test", Step: r.step}
	for i, p := range replicas {
		out.Targets = append(out.Targets, &wire.RosterTarget{Number: uint32(i + 1), Name: p.name, Service: "s", Address: p.addr, Slots: 8})
	}
	assert.NilError(r.t, r.follower.Take(&wire.Update{Roster: out}))
}

// put puts a document in force, confirmed by a quorum.
func (r *rig) put(document route.Document) {
	r.version++
	document.Version = ident.Version(r.version)
	body, err := json.Marshal(document)
	assert.NilError(r.t, err)
	made, err := patch.Make(nil, body)
	assert.NilError(r.t, err)
	assert.NilError(r.t, r.follower.Take(&wire.Update{Echo: 1, Document: &wire.Document{Version: r.version, Patch: made}}))
}

// routes returns a document with one route of each kind, below /safe/, /once/,
// /stream/ and /resume/.
func routes() route.Document {
	one := func(name string, kind route.Kind, resumable bool) route.Route {
		return route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: resumable,
			Timeout: 2 * time.Second, Objective: time.Second, Attempts: 2, Split: []route.Share{{Service: "s", Weight: 1}},
		}
	}
	return route.Document{
		Routes: []route.Route{
			one("safe", route.Safe, false), one("once", route.Unsafe, false),
			one("stream", route.Stream, false), one("resume", route.Stream, true),
		},
		Services: []route.Service{{Name: "s"}},
	}
}

// call sends one request; header holds pairs of name and value.
func (r *rig) call(ctx context.Context, path, body string, header ...string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callers+path, strings.NewReader(body))
	assert.NilError(r.t, err)
	request.Host = "h"
	request.Header.Set("Id", "r"+path)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(request)
}

// get sends one request and returns its whole answer.
func (r *rig) get(path, body string, header ...string) (int, string, error) {
	answer, err := r.call(context.Background(), path, body, header...)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text), err
}
