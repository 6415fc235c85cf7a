package main_test

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	relayChunkBytes = 4 << 10
	// One chunk in slowOneIn is held back for up to slowTime, as after a loss.
	slowOneIn = 50
	slowTime  = 30 * time.Millisecond
)

// relay carries TCP connections to one address, slowly at times, and can fall
// silent or cut them.
type relay struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	random *rand.Rand
	conns  map[net.Conn]bool
	// open is closed while bytes may pass.
	open chan struct{}
}

// startRelay returns a relay that ends with the test.
func startRelay(t *testing.T, to string, seed uint64) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	open := make(chan struct{})
	close(open)
	r := &relay{
		listener: listener,
		to:       to,
		random:   rand.New(rand.NewPCG(seed, 7)),
		conns:    make(map[net.Conn]bool),
		open:     open,
	}
	go r.serve()
	t.Cleanup(func() {
		_ = listener.Close()
		r.resume()
		r.cut()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.join(near)
	}
}

func (r *relay) join(near net.Conn) {
	<-r.gate()
	far, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = near.Close()
		return
	}
	r.mu.Lock()
	r.conns[near], r.conns[far] = true, true
	r.mu.Unlock()
	go r.carry(near, far)
	r.carry(far, near)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, near)
	delete(r.conns, far)
}

// carry copies one direction until either end breaks.
func (r *relay) carry(from, to net.Conn) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, relayChunkBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		<-r.gate()
		time.Sleep(r.delay())
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.random.IntN(slowOneIn) > 0 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(slowTime)))
}

func (r *relay) gate() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

// silence holds all bytes back, without a word to either end, until resume.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open = make(chan struct{})
}

// resume lets held bytes pass.
func (r *relay) resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.open:
	default:
		close(r.open)
	}
}

// cut breaks every connection, in the middle of frames.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
}
