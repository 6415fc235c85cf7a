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

// fault is how a rogue sidecar misbehaves on one stream.
type fault int

const (
	sound fault = iota
	refuses
	crossesAttempt
	shiftsOffset
	endsEarly
	claimsMore
	breaksOff
	repeatsData
	answersNothing
	faults
)

// rogue is a sidecar whose faults come from a seed. Each request's answer is
// its id over and over, so that a wrong one shows.
type rogue struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (r *rogue) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func answerOf(request string) []byte {
	return bytes.Repeat([]byte(request+";"), 40)
}

func (r *rogue) ServeCall(_ context.Context, call *wire.Call, stream *link.Stream) {
	submit := call.GetSubmit()
	if submit == nil {
		return
	}
	body := answerOf(submit.GetRequest())
	f := fault(r.draw(int(faults)))
	if f == crossesAttempt {
		body = answerOf("request-of-another")
	}
	send := func(offset uint64, reply *wire.Reply) {
		reply.Attempt = submit.GetAttempt()
		if f == crossesAttempt {
			reply.Attempt = "another"
		}
		if f == shiftsOffset {
			offset += 3
		}
		reply.Offset = offset
		_ = stream.Send(reply)
	}
	if f == answersNothing {
		return
	}
	if f == refuses {
		send(0, &wire.Reply{Body: &wire.Reply_Refusal{Refusal: &wire.Refusal{Reason: wire.RefusalReason_REFUSAL_REASON_OVERLOADED}}})
		return
	}
	send(0, &wire.Reply{Body: &wire.Reply_Head{Head: &wire.Head{Status: 200}}})
	offset := submit.GetResumeOffset()
	for offset < uint64(len(body)) {
		next := min(offset+uint64(1+r.draw(100)), uint64(len(body)))
		if r.draw(4) == 0 {
			switch f {
			case breaksOff:
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
	if f == claimsMore {
		offset += 7
	}
	send(offset, &wire.Reply{Body: &wire.Reply_End{End: &wire.End{Outcome: wire.Outcome_OUTCOME_RAN, Length: offset}}})
}

// directory knows the rogue sidecars by name.
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

// plan proposes its names in order.
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

// caller keeps what it is given.
type caller struct {
	status int
	body   []byte
}

func (c *caller) WriteHead(status int, _ []*wire.Header) { c.status = status }
func (c *caller) WriteData(data []byte) error {
	c.body = append(c.body, data...)
	return nil
}

// held is a caller that shows nothing before the answer is whole.
type held struct{ caller }

func (h *held) Reset() { h.caller = caller{} }

// serve starts a sidecar that ends with the test and returns its address.
func serve(t *testing.T, sidecar link.Handler) string {
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

// configure returns a configuration by which one sidecar stands for all the
// named targets.
func configure(t *testing.T, sidecar link.Handler, targets ...ident.TargetName) relay.Config {
	t.Helper()
	d := &directory{addresses: make(map[ident.TargetName]string)}
	address := serve(t, sidecar)
	for _, target := range targets {
		d.addresses[target] = address
	}
	links := link.NewClient(link.Config{Clock: clock.System{}})
	t.Cleanup(func() { _ = links.Close() })
	return relay.Config{Clock: clock.System{}, Tracer: trace.NewNoop(), Links: links, Directory: d}
}

// ask returns a request that is tried at the named targets.
func ask(id string, targets ...ident.TargetName) relay.Request {
	return relay.Request{
		Tries:    tries.Config{Request: ident.RequestID(id), Deadline: clock.System{}.Now().Add(5 * time.Second)},
		Plan:     &plan{names: targets},
		Submit:   &wire.Submit{Request: id},
		Revision: func() ident.Revision { return 1 },
	}
}

// TestRandomisedRogueSidecars has requests run at sidecars that cross, shift,
// repeat, cut and misreport their frames. What a caller gets is always a prefix
// of its own answer, and all of it if the request is said to have ended well.
func TestRandomisedRogueSidecars(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 40}, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 1))
		d := &directory{addresses: make(map[ident.TargetName]string)}
		for _, name := range d.plan().names {
			d.addresses[name] = serve(t, &rogue{random: rand.New(rand.NewPCG(random.Uint64(), 2))})
		}
		links := link.NewClient(link.Config{Clock: clock.System{}})
		defer links.Close()
		cfg := relay.Config{Clock: clock.System{}, Tracer: trace.NewNoop(), Links: links, Directory: d}
		var wg sync.WaitGroup
		var whole atomic.Int64
		for i := range 20 {
			wg.Go(func() {
				if runOne(t, cfg, d, fmt.Sprintf("request-%d-%d", seed, i)) {
					whole.Add(1)
				}
			})
		}
		wg.Wait()
		assert.Check(t, whole.Load() > 0, "no request got its answer")
	})
}

func runOne(t *testing.T, cfg relay.Config, d *directory, id string) bool {
	h := &held{}
	c := &h.caller
	var to relay.AnswerWriter = c
	if len(id)%2 == 0 {
		to = h
	}
	request := ask(id, d.plan().names...)
	request.Tries.JoinDelay = time.Millisecond
	result := relay.Run(t.Context(), cfg, request, to)
	want := answerOf(id)
	assert.Check(t, bytes.HasPrefix(want, c.body), "%s got what is not its own: %q", id, c.body)
	whole := result.Outcome == wire.Outcome_OUTCOME_RAN && !result.Truncated
	assert.Check(t, !whole || bytes.Equal(want, c.body), "%s is said to be whole at %d of %d bytes", id, len(c.body), len(want))
	return whole
}
