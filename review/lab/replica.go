package lab

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Names of header fields.
const (
	headerRequestID = "X-Request-Id"
	headerStamp     = "X-Server-Stamp"
)

// Run is one run of a request at a replica.
type Run struct {
	Request  string
	Instance string
	Service  string
	Path     string
	At       time.Time
}

// Replica is a stand-in of one replica. It runs requests and answers them in full.
type Replica struct {
	ID      string
	Service string
	Address string
	// Events is the number of events of a stream, 0 for a service without streams, and
	// Gap the pause between them. IDStep is the difference of the IDs of two events.
	Events int
	Gap    time.Duration
	IDStep int
	// Work is the time that a run takes.
	Work time.Duration

	fleet  *Fleet
	server *http.Server
	mu     sync.Mutex
	runs   []Run
}

// StartReplica starts a replica at an address of its own.
func (f *Fleet) StartReplica(r *Replica) error {
	f.mu.Lock()
	f.replicas++
	ip := fmt.Sprintf("127.%d.%d.1", f.subnet, 100+f.replicas)
	f.mu.Unlock()
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return fmt.Errorf("listen for replica %s: %w", r.ID, err)
	}
	r.fleet, r.Address = f, listener.Addr().String()
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Second}
	go func() { _ = r.server.Serve(listener) }()
	return nil
}

// Entry returns the replica as the platform lists it.
func (r *Replica) Entry() Entry {
	return Entry{ID: r.ID, Service: r.Service, Addr: r.Address, Zone: "a", Version: "v1", Slots: 64, State: "ready"}
}

// Runs returns the runs so far.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// ServeHTTP runs a request, unless it expects another instance.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.ID {
		w.Header().Set("X-Instance-Id", r.ID)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.runs = append(r.runs, Run{Request: id, Instance: r.ID, Service: r.Service, Path: request.URL.Path, At: time.Now()})
	r.mu.Unlock()
	r.fleet.Record.Logf("replica %s of service %s runs %s, path %s", r.ID, r.Service, id, request.URL.Path)
	w.Header().Set(headerStamp, r.ID+"."+id)
	time.Sleep(r.Work)
	if r.Events > 0 {
		r.stream(w, request)
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", r.ID, id)
}

// stream sends the events after the last one that the request names.
func (r *Replica) stream(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	last := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &last)
	for i := 1; i <= r.Events; i++ {
		id := 1 + (i-1)*r.IDStep
		if id <= last {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %d\n\n", id, i, r.Events); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(r.Gap)
	}
}

// Close stops the replica.
func (r *Replica) Close() { _ = r.server.Close() }
