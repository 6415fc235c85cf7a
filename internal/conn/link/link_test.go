package link_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
)

// echo replies to a probe with the caller's name as the target.
type echo struct{}

func (echo) ServeCall(_ context.Context, call *wire.Call, stream *link.Stream) {
	_ = stream.Send(&wire.ProbeReply{Target: call.GetCaller(), Revision: call.GetRevision()})
}

func startServer(t *testing.T, handler link.Handler) (address string, server *link.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener.Addr().String(), serveUntilDone(t, listener, handler)
}

// serveUntilDone serves calls on a listener until the test ends.
func serveUntilDone(t testing.TB, listener net.Listener, handler link.Handler) *link.Server {
	t.Helper()
	server := link.NewServer(handler)
	go func() { _ = server.Serve(context.Background(), listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		_ = server.Close()
	})
	return server
}

func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	address, _ := startServer(t, echo{})
	client := link.NewClient(link.Config{Clock: clock.System{}, Caller: "router-1"})
	defer client.Close()
	var wg sync.WaitGroup
	for revision := range uint64(200) {
		wg.Go(func() {
			reply := new(wire.ProbeReply)
			err := client.Ask(t.Context(), address, &wire.Call{Revision: revision, Body: &wire.Call_Probe{Probe: &wire.Probe{}}}, reply)
			assert.Check(t, err)
			assert.Check(t, reply.GetRevision() == revision)
			assert.Check(t, reply.GetTarget() == "router-1")
		})
	}
	wg.Wait()
}

func TestRefusedConnectionIsDialError(t *testing.T) {
	client := link.NewClient(link.Config{Clock: clock.System{}})
	_, err := client.Open(t.Context(), "127.0.0.1:1", &wire.Call{})
	var dial *link.DialError
	assert.Assert(t, errors.As(err, &dial))
}

// neverReplies blocks every call until its context ends.
type neverReplies struct{}

func (neverReplies) ServeCall(ctx context.Context, _ *wire.Call, _ *link.Stream) { <-ctx.Done() }

func TestAskEndsWithItsContext(t *testing.T) {
	address, _ := startServer(t, neverReplies{})
	client := link.NewClient(link.Config{Clock: clock.System{}})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := client.Ask(ctx, address, &wire.Call{}, new(wire.ProbeReply))
	assert.Assert(t, err != nil)
}

func TestInvalidDataClosesOnlyItsOwnConnection(t *testing.T) {
	address, _ := startServer(t, echo{})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	for err == nil {
		_, err = conn.Read(make([]byte, 64))
	}
	var timeout net.Error
	assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "the server must close a connection with invalid data")

	client := link.NewClient(link.Config{Clock: clock.System{}, Caller: "router-1"})
	defer client.Close()
	assert.NilError(t, client.Ask(t.Context(), address, &wire.Call{}, new(wire.ProbeReply)))
}
