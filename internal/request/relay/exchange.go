package relay

import (
	"context"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

const eventBacklog = 16

// Request is one request and where it may go.
type Request struct {
	// Tries describes the request to the state machine.
	Tries tries.Config
	// Plan proposes the targets; the machine gets it too.
	Plan Plan
	// Submit is the template of what the sidecars get.
	Submit *wire.Submit
	// Revision is the one under which the candidates were chosen.
	Revision func() ident.Revision
	// Fingerprint is that of the content.
	Fingerprint ident.Fingerprint
}

// exchange is one request under way. Only the goroutine in Run touches it,
// but for the channel of events.
type exchange struct {
	cfg     Config
	request Request
	caller  AnswerWriter
	machine *tries.Machine
	streams []*attemptStream
	events  chan event
	done    chan struct{}

	// incarnations are those under which attempts were claimed or buried.
	incarnations map[ident.AttemptID]ident.Incarnation

	answer Answer
	held   *Answer
	result Result
}

// event is an event for the state machine with what it refers to.
type event struct {
	tries.Event
	head *wire.Head
	data []byte
	// refusal is set with EventRefused.
	refusal *wire.Refusal
	held    LedgerReply
}

// Run carries the request out and returns once it has ended. When ctx ends
// the caller has gone.
func Run(ctx context.Context, cfg Config, request Request, caller AnswerWriter) Result {
	x := &exchange{
		cfg:     cfg,
		request: request,
		caller:  caller,
		events:  make(chan event, eventBacklog),
		done:    make(chan struct{}),

		incarnations: make(map[ident.AttemptID]ident.Incarnation),
	}
	defer close(x.done)
	// The calls outlive the caller: what is not idempotent is seen through.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	_, x.request.Tries.Buffered = caller.(BufferedWriter)
	x.request.Tries.Plan = &plan{Plan: request.Plan, exchange: x, ctx: work}
	x.machine = tries.New(x.request.Tries)
	x.step(work, event{Event: tries.Event{Kind: tries.EventStart}})
	x.loop(ctx, work)
	x.closeStreams()
	x.result.Record = x.machine.Record()
	return x.result
}

// loop feeds events to the machine until it is done.
func (x *exchange) loop(ctx, work context.Context) {
	gone := ctx.Done()
	var wake time.Time
	var alarm <-chan time.Time
	for !x.machine.Done() {
		if next := x.machine.NextTimeout(); !next.Equal(wake) {
			wake = next
			alarm = x.alarm(wake)
		}
		select {
		case e := <-x.events:
			x.step(work, e)
		case <-gone:
			gone = nil
			x.step(work, event{Event: tries.Event{Kind: tries.EventCallerGone}})
		case <-alarm:
			wake = time.Time{}
			x.step(work, event{Event: tries.Event{Kind: tries.EventTimeout}})
		}
	}
}

func (x *exchange) alarm(at time.Time) <-chan time.Time {
	if at.IsZero() {
		return nil
	}
	return x.cfg.Clock.After(at.Sub(x.cfg.Clock.Now()))
}

func (x *exchange) step(ctx context.Context, e event) {
	if e.head != nil {
		x.keepHead(&e)
	}
	x.tellPlan(&e)
	if e.held.KeyConflict {
		x.result.KeyConflict = true
	}
	if e.held.Answer != nil {
		x.held = e.held.Answer
	}
	for _, action := range x.machine.Step(x.cfg.Clock.Now(), e.Event) {
		x.do(ctx, &action, &e)
	}
}

// do carries out one action.
func (x *exchange) do(ctx context.Context, action *tries.Action, e *event) {
	switch action.Kind {
	case tries.ActionSend:
		x.send(ctx, action)
	case tries.ActionWriteHead:
		x.head(action.Stream)
	case tries.ActionWriteData:
		x.deliver(e.data)
	case tries.ActionCancel:
		x.cancel(action)
	case tries.ActionClaimLedger:
		x.claim(ctx, action)
	case tries.ActionReleaseLedger:
		x.release(ctx, action)
	case tries.ActionSettleLedger:
		x.settle(ctx, action)
	case tries.ActionTombstone:
		x.bury(ctx, action)
	case tries.ActionWriteRecorded:
		x.recorded()
	case tries.ActionDiscard:
		x.reset()
	case tries.ActionFinish:
		x.result.Outcome = action.Outcome
		x.result.Status = action.Status
		x.result.RetryAfter = action.RetryAfter
		x.result.Truncated = action.Truncated
	}
}

// post hands an event to the loop, unless the request has ended.
func (x *exchange) post(e event) {
	select {
	case x.events <- e:
	case <-x.done:
	}
}

// head writes the head that came on a stream. The machine asks for it only
// once the first bytes have come, since until then the attempt may be run
// again elsewhere.
func (x *exchange) head(stream tries.StreamID) {
	head := x.headOf(stream)
	x.result.HeadSent = true
	x.result.CachedTokens = ident.Tokens(head.GetWarmTokens())
	x.answer.Status = int(head.GetStatus())
	x.answer.Headers = head.GetHeaders()
	x.caller.WriteHead(x.answer.Status, x.answer.Headers)
}

func (x *exchange) headOf(stream tries.StreamID) *wire.Head {
	for _, s := range x.streams {
		if s.id == stream {
			return s.head
		}
	}
	return nil
}

func (x *exchange) keepHead(e *event) {
	for _, s := range x.streams {
		if s.id == e.Stream {
			s.head = e.head
		}
	}
}

func (x *exchange) deliver(data []byte) {
	x.keep(data)
	// A caller that can't be written to ends the context, which the loop sees.
	_ = x.caller.WriteData(data)
}

// reset drops an answer of which only a part has come.
func (x *exchange) reset() {
	x.result.HeadSent = false
	x.answer = Answer{}
	if caller, ok := x.caller.(BufferedWriter); ok {
		caller.Reset()
	}
}

// keep collects the answer for the ledger, all of it or nothing.
func (x *exchange) keep(data []byte) {
	if !x.request.Tries.Once || x.answer.Truncated {
		return
	}
	if ident.Bytes(len(x.answer.Body)+len(data)) > x.cfg.MaxRecordedBytes {
		x.answer.Truncated = true
		x.answer.Body = nil
		return
	}
	x.answer.Body = append(x.answer.Body, data...)
}

// recorded writes the answer that the ledger kept. One that is not whole is
// never written: a caller would take it for the whole one.
func (x *exchange) recorded() {
	if x.held == nil || x.held.Truncated {
		x.result.AnswerUnavailable = true
		return
	}
	x.result.HeadSent = true
	x.caller.WriteHead(x.held.Status, x.held.Headers)
	_ = x.caller.WriteData(x.held.Body)
}
