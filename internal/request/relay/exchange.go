package relay

import (
	"context"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

// eventBacklog is the capacity of an exchange's event channel.
const eventBacklog = 16

// Request is one request and the plan of its targets.
type Request struct {
	// MachineConfig configures the state machine. Run sets its Plan and
	// Buffered fields.
	MachineConfig tries.Config
	// Plan proposes the targets.
	Plan Plan
	// Submit is the template of the message that each sidecar receives.
	Submit *wire.Submit
	// Revision returns the revision of the records from which the candidates
	// were chosen.
	Revision func() ident.Revision
	// Fingerprint is the hash of the request's content.
	Fingerprint ident.Fingerprint
}

// exchange is one request in progress. Only the goroutine of Run modifies it.
// Other goroutines read cfg and request, and send to events.
type exchange struct {
	cfg     Config
	request Request
	writer  AnswerWriter
	machine *tries.Machine
	streams []*attemptStream
	events  chan event
	// done is closed when the request has ended.
	done chan struct{}

	// incarnations holds the sidecar incarnation with which each attempt was
	// claimed or tombstoned.
	incarnations map[ident.AttemptID]ident.Incarnation

	// answer holds the status and headers written so far. It also collects the
	// body if the ledger records the answer.
	answer Answer
	// ledgerAnswer is the answer that the ledger replied with, if any.
	ledgerAnswer *Answer
	result       Result
}

// event is an event for the state machine together with its payload.
type event struct {
	tries.Event
	head *wire.Head
	data []byte
	// refusal is set for EventRefused.
	refusal     *wire.Refusal
	ledgerReply LedgerReply
}

// Run executes the request and returns once it has ended. The end of ctx means
// that the caller has disconnected.
func Run(ctx context.Context, cfg Config, request Request, writer AnswerWriter) Result {
	x := &exchange{
		cfg:     cfg,
		request: request,
		writer:  writer,
		events:  make(chan event, eventBacklog),
		done:    make(chan struct{}),

		incarnations: make(map[ident.AttemptID]ident.Incarnation),
	}
	defer close(x.done)
	// Calls continue after the caller disconnects, so that a request that is
	// not idempotent runs to its end.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	_, x.request.MachineConfig.Buffered = writer.(BufferedWriter)
	x.request.MachineConfig.Plan = &incarnationPlan{Plan: request.Plan, exchange: x, ctx: workCtx}
	x.machine = tries.New(x.request.MachineConfig)
	x.handleEvent(workCtx, event{Event: tries.Event{Kind: tries.EventStart}})
	x.eventLoop(ctx, workCtx)
	x.closeStreams()
	x.result.Record = x.machine.Record()
	return x.result
}

// eventLoop passes events to the machine until it is done.
func (x *exchange) eventLoop(ctx, workCtx context.Context) {
	callerGone := ctx.Done()
	var wakeAt time.Time
	var wakeTimer <-chan time.Time
	for !x.machine.Done() {
		if next := x.machine.NextTimeout(); !next.Equal(wakeAt) {
			wakeAt = next
			wakeTimer = x.timerAt(wakeAt)
		}
		select {
		case e := <-x.events:
			x.handleEvent(workCtx, e)
		case <-callerGone:
			callerGone = nil
			x.handleEvent(workCtx, event{Event: tries.Event{Kind: tries.EventCallerGone}})
		case <-wakeTimer:
			wakeAt = time.Time{}
			x.handleEvent(workCtx, event{Event: tries.Event{Kind: tries.EventTimeout}})
		}
	}
}

func (x *exchange) timerAt(at time.Time) <-chan time.Time {
	if at.IsZero() {
		return nil
	}
	return x.cfg.Clock.After(at.Sub(x.cfg.Clock.Now()))
}

func (x *exchange) handleEvent(ctx context.Context, e event) {
	if e.head != nil {
		x.storeHead(&e)
	}
	x.reportTargetFailure(&e)
	if e.ledgerReply.KeyConflict {
		x.result.KeyConflict = true
	}
	if e.ledgerReply.Answer != nil {
		x.ledgerAnswer = e.ledgerReply.Answer
	}
	for _, action := range x.machine.Step(x.cfg.Clock.Now(), e.Event) {
		x.perform(ctx, &action, &e)
	}
}

// perform carries out one action of the machine.
func (x *exchange) perform(ctx context.Context, action *tries.Action, e *event) {
	switch action.Kind {
	case tries.ActionSend:
		x.startAttempt(ctx, action)
	case tries.ActionWriteHead:
		x.writeHead(action.Stream)
	case tries.ActionWriteData:
		x.writeData(e.data)
	case tries.ActionCancel:
		x.closeStream(action)
	case tries.ActionClaimLedger:
		x.claim(ctx, action)
	case tries.ActionReleaseLedger:
		x.release(ctx, action)
	case tries.ActionSettleLedger:
		x.settle(ctx, action)
	case tries.ActionTombstone:
		x.tombstone(ctx, action)
	case tries.ActionWriteRecorded:
		x.writeLedgerAnswer()
	case tries.ActionDiscard:
		x.discardAnswer()
	case tries.ActionFinish:
		x.result.Outcome = action.Outcome
		x.result.Status = action.Status
		x.result.RetryAfter = action.RetryAfter
		x.result.Truncated = action.Truncated
	}
}

// post sends an event to the event loop, unless the request has ended.
func (x *exchange) post(e event) {
	select {
	case x.events <- e:
	case <-x.done:
	}
}

// writeHead writes the head that was received on a stream. The machine requests
// it only once the first bytes of the body have arrived. Until then the request
// may still be retried at another target.
func (x *exchange) writeHead(stream tries.StreamID) {
	head := x.streamHead(stream)
	x.result.HeadSent = true
	x.result.CachedTokens = ident.Tokens(head.GetWarmTokens())
	x.answer.Status = int(head.GetStatus())
	x.answer.Headers = head.GetHeaders()
	x.writer.WriteHead(x.answer.Status, x.answer.Headers)
}

func (x *exchange) streamHead(stream tries.StreamID) *wire.Head {
	for _, s := range x.streams {
		if s.id == stream {
			return s.head
		}
	}
	return nil
}

func (x *exchange) storeHead(e *event) {
	for _, s := range x.streams {
		if s.id == e.Stream {
			s.head = e.head
		}
	}
}

// writeData writes the data of the event that the machine is handling, which is
// always the EventData that led to the action.
func (x *exchange) writeData(data []byte) {
	x.collectBody(data)
	// The context of Run ends if the write fails; see AnswerWriter.
	_ = x.writer.WriteData(data)
}

// discardAnswer drops a partly received answer.
func (x *exchange) discardAnswer() {
	x.result.HeadSent = false
	x.answer = Answer{}
	if buffered, ok := x.writer.(BufferedWriter); ok {
		buffered.Reset()
	}
}

// collectBody appends to the body that the ledger is to record. A body longer
// than MaxRecordedBytes is dropped as a whole.
func (x *exchange) collectBody(data []byte) {
	if !x.request.MachineConfig.Once || x.answer.Truncated {
		return
	}
	if ident.Bytes(len(x.answer.Body)+len(data)) > x.cfg.MaxRecordedBytes {
		x.answer.Truncated = true
		x.answer.Body = nil
		return
	}
	x.answer.Body = append(x.answer.Body, data...)
}

// writeLedgerAnswer writes the answer that the ledger replied with. It never
// writes a truncated one, which the caller would take for complete.
func (x *exchange) writeLedgerAnswer() {
	if x.ledgerAnswer == nil || x.ledgerAnswer.Truncated {
		x.result.AnswerUnavailable = true
		return
	}
	x.result.HeadSent = true
	x.writer.WriteHead(x.ledgerAnswer.Status, x.ledgerAnswer.Headers)
	_ = x.writer.WriteData(x.ledgerAnswer.Body)
}
