package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// replicaDowntime is how long a replica is down after a crash.
	replicaDowntime = 2 * time.Second
	// listLag is how far the provider's list lags behind.
	listLag = 800 * time.Millisecond
	// replicaSlots is the number of slots of a replica.
	replicaSlots = 64
)

// replica is a stand-in of a model replica. It crashes as a request makes it, and is back
// under another ID after replicaDowntime.
type replica struct {
	rig     *rig
	number  int
	service string
	handle  func(p *replica, w http.ResponseWriter, r *http.Request)

	mu        sync.Mutex
	starts    int
	startedAt time.Time
	server    *http.Server
	conns     map[net.Conn]struct{}
	running   int
	down      bool
}

// startReplicas starts count replicas of a service, whose numbers begin with first.
func (r *rig) startReplicas(service string, first, count int, handle func(p *replica, w http.ResponseWriter, r *http.Request)) ([]*replica, error) {
	replicas := make([]*replica, 0, count)
	for number := first; number < first+count; number++ {
		p := &replica{rig: r, number: number, service: service, handle: handle}
		if err := p.start(); err != nil {
			return nil, err
		}
		replicas = append(replicas, p)
	}
	return replicas, nil
}

// start starts a new incarnation.
func (p *replica) start() error {
	listener, err := net.Listen("tcp", p.rig.replicaAddress(p.number))
	if err != nil {
		return fmt.Errorf("start replica %d: %w", p.number, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	p.startedAt, p.down, p.running = time.Now(), false, 0
	p.conns = make(map[net.Conn]struct{})
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: time.Minute, ConnState: p.trackConn}
	p.rig.logf("replica %s starts", p.idOf(p.starts))
	go func(server *http.Server) { _ = server.Serve(listener) }(p.server)
	return nil
}

func (p *replica) trackConn(conn net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(p.conns, conn)
	}
}

func (p *replica) idOf(start int) string { return fmt.Sprintf("i-%d-%d", p.number, start) }

// id returns the ID of the current incarnation.
func (p *replica) id() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idOf(p.starts)
}

// crash ends the replica: it resets its channels and refuses new ones until it is back.
func (p *replica) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return
	}
	p.down = true
	p.rig.logf("replica %s crashes, %d other requests run there", p.idOf(p.starts), p.running-1)
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // resets the channel
		}
		_ = conn.Close()
	}
	_ = p.server.Close()
	time.AfterFunc(replicaDowntime, func() {
		if err := p.start(); err != nil {
			p.rig.logf("%v", err)
		}
	})
}

// ServeHTTP answers one request.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := p.id()
	p.mu.Lock()
	p.running++
	running := p.running
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.running--
	}()
	header := w.Header()
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, replicaSlots))
	if r.URL.Path == "/healthz" {
		header.Set("X-Instance-Id", id)
		return
	}
	requestID := r.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", requestID)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	header.Set("X-Server-Stamp", "stamp-of-"+id+"-"+requestID)
	p.handle(p, w, r)
}

// streamEvents answers with a stream of events.
func streamEvents(w http.ResponseWriter, r *http.Request, count int, interval time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for event := first; event <= count; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(interval):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %d\n\n", event, event, count); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// otherWriter is another writer of the provider's list. The zero value writes nothing.
type otherWriter struct {
	// entries returns its entries, nil for none.
	entries func() []map[string]any
	// unreadable stands after the first entry of the list if it isn't empty.
	unreadable string
}

// serveList serves the provider's list of replicas until the process ends. A crashed replica
// stays on the list, and a new incarnation is listed after listLag. The list is sorted by the
// ID and the service of the entries, and one that lacks them comes first.
func (r *rig) serveList(replicas []*replica, other otherWriter) error {
	listener, err := net.Listen("tcp", r.providerAddress())
	if err != nil {
		return fmt.Errorf("start provider: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /replicas", func(w http.ResponseWriter, _ *http.Request) {
		var entries []map[string]any
		for _, p := range replicas {
			entries = append(entries, p.listEntry())
		}
		if other.entries != nil {
			entries = append(entries, other.entries()...)
		}
		slices.SortStableFunc(entries, func(a, b map[string]any) int {
			return cmp.Or(strings.Compare(textField(a, "id"), textField(b, "id")), strings.Compare(textField(a, "service"), textField(b, "service")))
		})
		var texts []string
		for _, entry := range entries {
			text, err := json.Marshal(entry)
			if err != nil {
				panic(err) // an entry holds only values that can be encoded
			}
			texts = append(texts, string(text))
		}
		if other.unreadable != "" {
			texts = slices.Insert(texts, 1, other.unreadable)
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"instances":[%s],"next":null}`, strings.Join(texts, ",")) // the caller may have left
	})
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return nil
}

// textField returns a field of an entry, empty if it is missing.
func textField(entry map[string]any, name string) string {
	text, _ := entry[name].(string)
	return text
}

func (p *replica) listEntry() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := p.starts
	if listed > 1 && time.Since(p.startedAt) < listLag {
		listed--
	}
	return map[string]any{
		"service": p.service, "addr": p.rig.replicaAddress(p.number), "zone": zoneName(p.number), "version": "v1", "slots": replicaSlots,
		"state": "ready", "coldLeftMs": 0, "phase": "both", "id": p.idOf(listed),
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	}
}
