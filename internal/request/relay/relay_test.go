package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/request/relay"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

// fault is a protocol violation of a sidecar on one stream.
type fault int

const (
	noFault fault = iota
	refusesAttempt
	sendsWrongAttempt
	sendsWrongOffset
	endsEarly
	overstatesLength
	breaksStream
	repeatsData
	sendsNoReply
	faultCount
)

// faultySidecar is a sidecar that violates the protocol at random, from a seed.
// The answer to a request repeats the request's ID, so that data of another
// request is detected.
type faultySidecar struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (s *faultySidecar) randomInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func expectedAnswer(request string) []byte {
	return bytes.Repeat([]byte(request+";"), 40)
}

func (s *faultySidecar) ServeCall(_ context.Context, call *wire.Call, stream *link.Stream) {
	submit := call.GetSubmit()
	if submit == nil {
		return
	}
	body := expectedAnswer(submit.GetRequest())
	f := fault(s.randomInt(int(faultCount)))
	if f == sendsWrongAttempt {
		body = expectedAnswer("request-of-another")
	}
	send := func(offset uint64, reply *wire.Reply) {
		reply.Attempt = submit.GetAttempt()
		if f == sendsWrongAttempt {
			reply.Attempt = "another"
		}
		if f == sendsWrongOffset {
			offset += 3
		}
		reply.Offset = offset
		_ = stream.Send(reply)
	}
	if f == sendsNoReply {
		return
	}
	if f == refusesAttempt {
		send(0, &wire.Reply{Body: &wire.Reply_Refusal{Refusal: &wire.Refusal{Reason: wire.RefusalReason_REFUSAL_REASON_OVERLOADED}}})
		return
	}
	send(0, &wire.Reply{Body: &wire.Reply_Head{Head: &wire.Head{Status: 200}}})
	offset := submit.GetResumeOffset()
	for offset < uint64(len(body)) {
		next := min(offset+uint64(1+s.randomInt(100)), uint64(len(body)))
		if s.randomInt(4) == 0 {
			switch f {
			case breaksStream:
				return
			case endsEarly:
				send(offset, &wire.Reply{Body: &wire.Reply_End{End: &wire.End{Outcome: wire.Outcome_OUTCOME_RAN, Length: uint64(len(body))}}})
				return
			case repeatsData:
				send(offset, &wire.Reply{Body: &wire.Reply_Data{Data: body[offset:next]}})
			}
		}
		send(offset, &wire.Reply{Body: &wire.Reply_Data{Data: body[offset:next]}})
		offset = next
	}
	if f == overstatesLength {
		offset += 7
	}
	send(offset, &wire.Reply{Body: &wire.Reply_End{End: &wire.End{Outcome: wire.Outcome_OUTCOME_RAN, Length: offset}}})
}

// directory is a relay.Directory with fixed addresses.
type directory struct{ addresses map[ident.TargetName]string }

func (d *directory) Address(target ident.TargetName) (string, bool) {
	address, ok := d.addresses[target]
	return address, ok
}

func (d *directory) Incarnation(ident.TargetName) ident.Incarnation                    { return 1 }
func (d *directory) ObserveLoad(ident.TargetName, *wire.Load, ident.Revision)          {}
func (d *directory) ObservePoolLoad(*wire.LoadDigest)                                  {}
func (d *directory) ReportFailure(ident.TargetName)                                    {}
func (d *directory) WaitForRevision(context.Context, ident.TargetName, ident.Revision) {}
func (d *directory) plan() *plan                                                       { return &plan{names: []ident.TargetName{"a", "b", "c", "d"}} }

// plan proposes fixed targets in order.
type plan struct{ names []ident.TargetName }

func (p *plan) Next() (tries.Candidate, bool) {
	if len(p.names) == 0 {
		return tries.Candidate{}, false
	}
	next := p.names[0]
	p.names = p.names[1:]
	return tries.Candidate{Target: next}, true
}

func (p *plan) Offer() relay.Offer                              { return relay.Offer{} }
func (p *plan) MarkRefused(_ ident.TargetName, _ *wire.Refusal) {}

// recordingWriter is a relay.AnswerWriter that stores the answer.
type recordingWriter struct {
	status int
	body   []byte
}

func (c *recordingWriter) WriteHead(status int, _ []*wire.Header) { c.status = status }
func (c *recordingWriter) WriteData(data []byte) error {
	c.body = append(c.body, data...)
	return nil
}

// bufferedWriter is a recordingWriter that implements relay.BufferedWriter.
type bufferedWriter struct{ recordingWriter }

func (c *bufferedWriter) Reset() { c.recordingWriter = recordingWriter{} }

// startSidecar starts a sidecar that is stopped at the end of the test, and
// returns its address.
func startSidecar(t *testing.T, sidecar link.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := link.NewServer(sidecar)
	go func() { _ = server.Serve(context.Background(), listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		_ = server.Close()
	})
	return listener.Addr().String()
}

// newConfig returns a configuration in which one sidecar serves all the named
// targets.
func newConfig(t *testing.T, sidecar link.Handler, targets ...ident.TargetName) relay.Config {
	t.Helper()
	d := &directory{addresses: make(map[ident.TargetName]string)}
	address := startSidecar(t, sidecar)
	for _, target := range targets {
		d.addresses[target] = address
	}
	links := link.NewClient(link.Config{Clock: clock.System{}})
	t.Cleanup(func() { _ = links.Close() })
	return relay.Config{Clock: clock.System{}, Tracer: trace.NewNoop(), Links: links, Directory: d}
}

// newRequest returns a request that is tried at the named targets.
func newRequest(id string, targets ...ident.TargetName) relay.Request {
	return relay.Request{
		MachineConfig: tries.Config{Request: ident.RequestID(id), Deadline: clock.System{}.Now().Add(5 * time.Second)},
		Plan:          &plan{names: targets},
		Submit:        &wire.Submit{Request: id},
		Revision:      func() ident.Revision { return 1 },
	}
}

// TestRandomisedFaultySidecars runs requests at sidecars that mix up, shift,
// repeat, truncate and misreport their frames. A caller must always receive a
// prefix of its own answer, and the complete answer if the result says so.
func TestRandomisedFaultySidecars(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 40}, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 1))
		d := &directory{addresses: make(map[ident.TargetName]string)}
		for _, name := range d.plan().names {
			d.addresses[name] = startSidecar(t, &faultySidecar{random: rand.New(rand.NewPCG(random.Uint64(), 2))})
		}
		links := link.NewClient(link.Config{Clock: clock.System{}})
		defer links.Close()
		cfg := relay.Config{Clock: clock.System{}, Tracer: trace.NewNoop(), Links: links, Directory: d}
		var wg sync.WaitGroup
		var completed atomic.Int64
		for i := range 20 {
			wg.Go(func() {
				if runAndCheck(t, cfg, d, fmt.Sprintf("request-%d-%d", seed, i)) {
					completed.Add(1)
				}
			})
		}
		wg.Wait()
		assert.Check(t, completed.Load() > 0, "no request received its complete answer")
	})
}

func runAndCheck(t *testing.T, cfg relay.Config, d *directory, id string) bool {
	buffered := &bufferedWriter{}
	recorded := &buffered.recordingWriter
	var writer relay.AnswerWriter = recorded
	if len(id)%2 == 0 {
		writer = buffered
	}
	request := newRequest(id, d.plan().names...)
	request.MachineConfig.JoinDelay = time.Millisecond
	result := relay.Run(t.Context(), cfg, request, writer)
	want := expectedAnswer(id)
	assert.Check(t, bytes.HasPrefix(want, recorded.body), "%s received data that is not part of its answer: %q", id, recorded.body)
	complete := result.Outcome == wire.Outcome_OUTCOME_RAN && !result.Truncated
	assert.Check(t, !complete || bytes.Equal(want, recorded.body), "%s is reported complete after %d of %d bytes", id, len(recorded.body), len(want))
	return complete
}
