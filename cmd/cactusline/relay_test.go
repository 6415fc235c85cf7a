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
	// On average one chunk in delayOneIn is delayed by up to maxDelay, as after a
	// packet loss.
	delayOneIn = 50
	maxDelay   = 30 * time.Millisecond
)

// relay forwards TCP connections to one address with random delays. It can stall
// or close them.
type relay struct {
	listener net.Listener
	upstream string

	mu     sync.Mutex
	random *rand.Rand
	conns  map[net.Conn]bool
	// unblocked is a closed channel while bytes may pass, and an open one while the
	// relay is stalled.
	unblocked chan struct{}
}

// startRelay starts a relay that is closed when the test ends.
func startRelay(t *testing.T, to string, seed uint64) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unblocked := make(chan struct{})
	close(unblocked)
	r := &relay{
		listener:  listener,
		upstream:  to,
		random:    rand.New(rand.NewPCG(seed, 7)),
		conns:     make(map[net.Conn]bool),
		unblocked: unblocked,
	}
	go r.serve()
	t.Cleanup(func() {
		_ = listener.Close()
		r.resume()
		r.closeConns()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

func (r *relay) forward(client net.Conn) {
	<-r.waitChannel()
	server, err := net.Dial("tcp", r.upstream)
	if err != nil {
		_ = client.Close()
		return
	}
	r.mu.Lock()
	r.conns[client], r.conns[server] = true, true
	r.mu.Unlock()
	go r.copyBytes(client, server)
	r.copyBytes(server, client)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, client)
	delete(r.conns, server)
}

// copyBytes forwards one direction until either connection fails.
func (r *relay) copyBytes(from, to net.Conn) {
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
		<-r.waitChannel()
		time.Sleep(r.delay())
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.random.IntN(delayOneIn) > 0 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(maxDelay)))
}

func (r *relay) waitChannel() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unblocked
}

// stall holds back all bytes until resume is called, without closing any
// connection.
func (r *relay) stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unblocked = make(chan struct{})
}

// resume ends a stall.
func (r *relay) resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.unblocked:
	default:
		close(r.unblocked)
	}
}

// closeConns closes every connection, possibly in the middle of a frame.
func (r *relay) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
}
