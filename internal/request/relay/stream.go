package relay

import (
	"context"
	"errors"
	"math"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

// callTimeout bounds a probe, a tombstone call, the wait for a newer revision
// and the sending of a Cancel.
const callTimeout = time.Second

// Message is the protobuf message type of the replies that Links decodes.
type Message = proto.Message

// attemptStream is the stream of one attempt to a sidecar.
type attemptStream struct {
	id      tries.StreamID
	attempt ident.AttemptID
	target  ident.TargetName
	// close ends the context of the stream, which closes the stream.
	close context.CancelFunc
	// cancelRequested is closed to request that a Cancel is sent before the
	// stream is closed.
	cancelRequested chan struct{}
	// head is the head received on the stream. Only the event loop accesses
	// it.
	head *wire.Head
}

// startAttempt submits an attempt on a new stream.
func (x *exchange) startAttempt(ctx context.Context, action *tries.Action) {
	ctx, span := x.cfg.Tracer.Start(ctx, "", "router.attempt",
		attribute.String("attempt", string(action.Attempt)),
		attribute.String("target", string(action.Target)))
	// The stream outlives the exchange until a requested Cancel has been sent
	// or callTimeout has passed.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &attemptStream{
		id:              action.Stream,
		attempt:         action.Attempt,
		target:          action.Target,
		close:           cancel,
		cancelRequested: make(chan struct{}),
	}
	x.streams = append(x.streams, s)
	call := x.submitCall(ctx, action)
	go func() {
		defer span.End()
		x.runStream(ctx, s, call)
	}()
}

func (x *exchange) submitCall(ctx context.Context, action *tries.Action) *wire.Call {
	submit := proto.CloneOf(x.request.Submit)
	submit.Attempt = string(action.Attempt)
	submit.Target = string(action.Target)
	submit.TimeoutMs = x.timeoutMs()
	submit.Incarnation = uint64(action.Incarnation)
	submit.ResumeOffset = action.Offset
	submit.Join = action.Join
	offer := x.request.Plan.Offer()
	submit.Final = offer.Final
	submit.Moved = offer.Redirected
	submit.Stay = offer.NoSpill
	return &wire.Call{
		TraceParent: trace.Traceparent(ctx),
		Revision:    uint64(x.request.Revision()),
		Body:        &wire.Call_Submit{Submit: submit},
	}
}

// timeoutMs returns the milliseconds until the request's deadline, at least 1,
// or 0 if there is no deadline.
func (x *exchange) timeoutMs() uint32 {
	deadline := x.request.MachineConfig.Deadline
	if deadline.IsZero() {
		return 0
	}
	left := deadline.Sub(x.cfg.Clock.Now()).Milliseconds()
	return uint32(min(max(1, left), math.MaxUint32))
}

// closeStream closes a stream. If action.Stop is set, a Cancel is sent first, since
// nobody needs the answer; otherwise the sidecar sees a broken link.
func (x *exchange) closeStream(action *tries.Action) {
	for _, s := range x.streams {
		if s.id != action.Stream {
			continue
		}
		if action.Stop {
			s.requestCancel()
			return
		}
		s.close()
	}
}

func (s *attemptStream) requestCancel() {
	select {
	case <-s.cancelRequested:
	default:
		close(s.cancelRequested)
	}
}

func (x *exchange) closeStreams() {
	for _, s := range x.streams {
		select {
		case <-s.cancelRequested:
			// sendCancelOnRequest closes the stream after the Cancel.
		default:
			s.close()
		}
	}
}

// runStream opens the stream, posts its replies as events and closes it.
func (x *exchange) runStream(ctx context.Context, s *attemptStream, call *wire.Call) {
	defer s.close()
	stream, err := x.openStream(ctx, s, call)
	if err != nil {
		var dialErr *link.DialError
		unsent := errors.As(err, &dialErr) || errors.Is(err, errNoAddress)
		x.cfg.Directory.ReportFailure(s.target)
		x.post(event{Event: tries.Event{Kind: tries.EventStreamBroken, Stream: s.id, Attempt: s.attempt, Unsent: unsent}})
		return
	}
	defer func() { _ = stream.Close() }()
	x.post(event{Event: tries.Event{Kind: tries.EventSubmitted, Stream: s.id, Attempt: s.attempt}})
	stopGuard := x.cfg.Links.Guard(ctx, stream)
	defer stopGuard()
	finished := make(chan struct{})
	defer close(finished)
	go s.sendCancelOnRequest(stream, finished, x.cfg.Clock)
	x.receiveReplies(ctx, s, stream)
}

var errNoAddress = errors.New("target has no address")

func (x *exchange) openStream(ctx context.Context, s *attemptStream, call *wire.Call) (*link.Stream, error) {
	address, ok := x.cfg.Directory.Address(s.target)
	if !ok {
		return nil, errNoAddress
	}
	return x.cfg.Links.Open(ctx, address, call)
}

// sendCancelOnRequest sends a Cancel to the sidecar and closes the stream when
// requestCancel is called. It returns without sending once the stream has
// finished.
func (s *attemptStream) sendCancelOnRequest(stream *link.Stream, finished <-chan struct{}, clock Clock) {
	select {
	case <-s.cancelRequested:
		_ = stream.SetDeadline(clock.Now().Add(callTimeout))
		_ = stream.Send(new(wire.Cancel))
		s.close()
	case <-finished:
	}
}

// receiveReplies posts the replies of a stream as events until it ends.
func (x *exchange) receiveReplies(ctx context.Context, s *attemptStream, stream *link.Stream) {
	for {
		reply := new(wire.Reply)
		if err := stream.Receive(reply); err != nil {
			x.cfg.Directory.ReportFailure(s.target)
			x.post(event{Event: tries.Event{Kind: tries.EventStreamBroken, Stream: s.id, Attempt: s.attempt}})
			return
		}
		x.observeReply(ctx, s, reply)
		e, last := eventFromReply(s, reply)
		x.post(e)
		if last {
			return
		}
	}
}

// observeReply passes the load and revision in a reply to the directory. After a
// refusal for a stale revision it waits until this process has the newer
// records, so that the retry that follows uses them.
func (x *exchange) observeReply(ctx context.Context, s *attemptStream, reply *wire.Reply) {
	revision := ident.Revision(reply.GetRevision())
	switch body := reply.GetBody().(type) {
	case *wire.Reply_Refusal:
		x.cfg.Directory.ObserveLoad(s.target, body.Refusal.GetLoad(), revision)
		x.cfg.Directory.ObservePoolLoad(body.Refusal.GetDigest())
		if body.Refusal.GetReason() == wire.RefusalReason_REFUSAL_REASON_STALE_REVISION {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			x.cfg.Directory.WaitForRevision(ctx, s.target, revision)
		}
	case *wire.Reply_Head:
		x.cfg.Directory.ObserveLoad(s.target, body.Head.GetLoad(), revision)
		x.cfg.Directory.ObservePoolLoad(body.Head.GetDigest())
	case *wire.Reply_End:
		x.cfg.Directory.ObserveLoad(s.target, body.End.GetLoad(), revision)
	}
}

// eventFromReply converts a reply to an event and reports whether it is the last
// one of its stream.
func eventFromReply(s *attemptStream, reply *wire.Reply) (event, bool) {
	e := event{Event: tries.Event{
		Stream:  s.id,
		Attempt: ident.AttemptID(reply.GetAttempt()),
		Offset:  reply.GetOffset(),
	}}
	switch body := reply.GetBody().(type) {
	case *wire.Reply_Refusal:
		e.Kind = tries.EventRefused
		e.Reason = body.Refusal.GetReason()
		e.RetryAfter = time.Duration(body.Refusal.GetRetryAfterMs()) * time.Millisecond
		e.Forward = ident.TargetName(body.Refusal.GetForward())
		e.Incarnation = ident.Incarnation(body.Refusal.GetLoad().GetIncarnation())
		e.refusal = body.Refusal
		return e, true
	case *wire.Reply_Head:
		e.Kind = tries.EventHead
		e.Status = int(body.Head.GetStatus())
		e.Incarnation = ident.Incarnation(body.Head.GetIncarnation())
		e.head = body.Head
		return e, false
	case *wire.Reply_Data:
		e.Kind = tries.EventData
		e.Length = uint64(len(body.Data))
		e.data = body.Data
		return e, false
	case *wire.Reply_End:
		e.Kind = tries.EventEnd
		e.Length = body.End.GetLength()
		e.Outcome = body.End.GetOutcome()
		e.Failed = body.End.GetError() != ""
		e.TargetCrashed = body.End.GetTargetCrashed()
		return e, true
	default:
		e.Kind = tries.EventStreamBroken
		return e, true
	}
}

// probeIncarnation asks the target's sidecar for its incarnation. It returns
// zero if the sidecar does not respond or serves another target.
func (x *exchange) probeIncarnation(ctx context.Context, target ident.TargetName) ident.Incarnation {
	address, ok := x.cfg.Directory.Address(target)
	if !ok {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := new(wire.ProbeReply)
	call := &wire.Call{Body: &wire.Call_Probe{Probe: new(wire.Probe)}}
	if err := x.cfg.Links.Ask(ctx, address, call, reply); err != nil || reply.GetTarget() != string(target) {
		x.cfg.Directory.ReportFailure(target)
		return 0
	}
	x.cfg.Directory.ObserveLoad(target, reply.GetLoad(), ident.Revision(reply.GetRevision()))
	return ident.Incarnation(reply.GetLoad().GetIncarnation())
}
