package link_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
)

// silencingListener accepts connections that deliver nothing once silenced is closed,
// unless they were accepted later.
type silencingListener struct {
	net.Listener
	silenced chan struct{}
	accepted atomic.Int64
}

func (s *silencingListener) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s.accepted.Add(1)
	select {
	case <-s.silenced:
		return conn, nil
	default:
		return &freezingConn{Conn: conn, frozen: s.silenced}, nil
	}
}

// probeHandler answers probes.
type probeHandler struct{}

func (probeHandler) ServeCall(_ context.Context, _ *wire.Call, stream *link.Stream) {
	_ = stream.Send(new(wire.ProbeReply))
}

func listenUntilSilenced(t *testing.T) *silencingListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &silencingListener{Listener: listener, silenced: make(chan struct{})}
	server := link.NewServer(probeHandler{})
	go func() { _ = server.Serve(context.Background(), s) }()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func probe(t *testing.T, client *link.Client, address string, limit time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return client.Ask(ctx, address, &wire.Call{Body: &wire.Call_Probe{Probe: new(wire.Probe)}}, new(wire.ProbeReply))
}

// Guards against calls over a connection that fell silent while it was idle.
func TestQuietSessionIsNotUsedForAnotherCall(t *testing.T) {
	listener := listenUntilSilenced(t)
	client := link.NewClient(link.Config{Clock: clock.System{}, SessionsPerPeer: 1, MaxQuiet: 100 * time.Millisecond})
	defer client.Close()
	address := listener.Addr().String()
	for range 3 {
		assert.NilError(t, probe(t, client, address, time.Second))
	}
	assert.Equal(t, listener.accepted.Load(), int64(1), "a session in use is shared")
	close(listener.silenced)
	time.Sleep(150 * time.Millisecond)
	assert.NilError(t, probe(t, client, address, time.Second))
	assert.Equal(t, listener.accepted.Load(), int64(2))
}

// Guards against calls that are shorter than a ping and so never close a silent session.
func TestShortCallsLeaveSilentSession(t *testing.T) {
	listener := listenUntilSilenced(t)
	client := link.NewClient(link.Config{Clock: clock.System{}, SessionsPerPeer: 1, PingInterval: 100 * time.Millisecond, PingTimeout: 100 * time.Millisecond})
	defer client.Close()
	address := listener.Addr().String()
	assert.NilError(t, probe(t, client, address, time.Second))
	close(listener.silenced)
	time.Sleep(200 * time.Millisecond)
	assert.Assert(t, probe(t, client, address, 50*time.Millisecond) != nil)
	time.Sleep(150 * time.Millisecond)
	assert.NilError(t, probe(t, client, address, time.Second))
}

// holdHandler replies once release is closed.
type holdHandler struct{ release chan struct{} }

func (h holdHandler) ServeCall(_ context.Context, _ *wire.Call, stream *link.Stream) {
	<-h.release
	_ = stream.Send(new(wire.ProbeReply))
}

// Guards against a call that ends early and takes the calls beside it with it, because
// nothing had come on their session for long.
func TestCallThatEndsLeavesQuietSessionOpen(t *testing.T) {
	release := make(chan struct{})
	address, _ := startServer(t, holdHandler{release: release})
	client := link.NewClient(link.Config{Clock: clock.System{}, SessionsPerPeer: 1, PingInterval: 100 * time.Millisecond})
	defer client.Close()
	stream, err := client.Open(t.Context(), address, &wire.Call{Body: &wire.Call_Probe{Probe: new(wire.Probe)}})
	assert.NilError(t, err)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for range 5 {
		time.Sleep(200 * time.Millisecond)
		other, err := client.Open(t.Context(), address, &wire.Call{Body: &wire.Call_Probe{Probe: new(wire.Probe)}})
		assert.NilError(t, err)
		client.Guard(ended, other)()
		time.Sleep(20 * time.Millisecond)
	}
	close(release)
	assert.NilError(t, stream.Receive(new(wire.ProbeReply)))
}
