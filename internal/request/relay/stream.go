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

const askTimeout = time.Second

// Message is a protobuf message.
type Message = proto.Message

// attemptStream is one stream that the machine opened.
type attemptStream struct {
	id      tries.StreamID
	attempt ident.AttemptID
	target  ident.TargetName
	cancel  context.CancelFunc
	stop    chan struct{}
	// head came on the stream; only the loop touches it.
	head *wire.Head
}

// send submits an attempt on a stream of its own.
func (x *exchange) send(ctx context.Context, action *tries.Action) {
	ctx, span := x.cfg.Tracer.Start(ctx, "", "router.attempt",
		attribute.String("attempt", string(action.Attempt)),
		attribute.String("target", string(action.Target)))
	// A stream outlives the exchange while its sidecar is told to stop.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &attemptStream{
		id:      action.Stream,
		attempt: action.Attempt,
		target:  action.Target,
		cancel:  cancel,
		stop:    make(chan struct{}),
	}
	x.streams = append(x.streams, s)
	call := x.call(ctx, action)
	go func() {
		defer span.End()
		x.run(ctx, s, call)
	}()
}

func (x *exchange) call(ctx context.Context, action *tries.Action) *wire.Call {
	submit := proto.CloneOf(x.request.Submit)
	submit.Attempt = string(action.Attempt)
	submit.Target = string(action.Target)
	submit.TimeoutMs = x.timeLeft()
	submit.Incarnation = uint64(action.Incarnation)
	submit.ResumeOffset = action.Offset
	submit.Join = action.Join
	step := x.request.Plan.Offer()
	submit.Final = step.Final
	submit.Moved = step.Redirected
	submit.Stay = step.NoSpill
	return &wire.Call{
		TraceParent: trace.Traceparent(ctx),
		Revision:    uint64(x.request.Revision()),
		Body:        &wire.Call_Submit{Submit: submit},
	}
}

// timeLeft returns the milliseconds until the request's deadline, at least 1;
// 0 stands for no deadline.
func (x *exchange) timeLeft() uint32 {
	deadline := x.request.Tries.Deadline
	if deadline.IsZero() {
		return 0
	}
	left := deadline.Sub(x.cfg.Clock.Now()).Milliseconds()
	return uint32(min(max(1, left), math.MaxUint32))
}

// cancel closes a stream. With Stop the sidecar is told that nobody wants the
// answer; without, it sees a broken link.
func (x *exchange) cancel(action *tries.Action) {
	for _, s := range x.streams {
		if s.id != action.Stream {
			continue
		}
		if action.Stop {
			s.tellStop()
			return
		}
		s.cancel()
	}
}

func (s *attemptStream) tellStop() {
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
}

func (x *exchange) closeStreams() {
	for _, s := range x.streams {
		select {
		case <-s.stop:
			// The sender closes it once the sidecar has been told.
		default:
			s.cancel()
		}
	}
}

// run opens the stream, posts what comes on it and closes it.
func (x *exchange) run(ctx context.Context, s *attemptStream, call *wire.Call) {
	defer s.cancel()
	stream, err := x.open(ctx, s, call)
	if err != nil {
		var dial *link.DialError
		unsent := errors.As(err, &dial) || errors.Is(err, errNoAddress)
		x.cfg.Directory.ReportFailure(s.target)
		x.post(event{Event: tries.Event{Kind: tries.EventStreamBroken, Stream: s.id, Attempt: s.attempt, Unsent: unsent}})
		return
	}
	defer func() { _ = stream.Close() }()
	x.post(event{Event: tries.Event{Kind: tries.EventSubmitted, Stream: s.id, Attempt: s.attempt}})
	unguard := x.cfg.Links.Guard(ctx, stream)
	defer unguard()
	finished := make(chan struct{})
	defer close(finished)
	go s.awaitStop(stream, finished, x.cfg.Clock)
	x.receive(ctx, s, stream)
}

var errNoAddress = errors.New("target has no address")

func (x *exchange) open(ctx context.Context, s *attemptStream, call *wire.Call) (*link.Stream, error) {
	address, ok := x.cfg.Directory.Address(s.target)
	if !ok {
		return nil, errNoAddress
	}
	return x.cfg.Links.Open(ctx, address, call)
}

// awaitStop tells the sidecar that the caller has gone.
func (s *attemptStream) awaitStop(stream *link.Stream, finished <-chan struct{}, clock Clock) {
	select {
	case <-s.stop:
		_ = stream.SetDeadline(clock.Now().Add(askTimeout))
		_ = stream.Send(new(wire.Cancel))
		s.cancel()
	case <-finished:
	}
}

// receive posts the frames of a stream until it ends.
func (x *exchange) receive(ctx context.Context, s *attemptStream, stream *link.Stream) {
	for {
		reply := new(wire.Reply)
		if err := stream.Receive(reply); err != nil {
			x.cfg.Directory.ReportFailure(s.target)
			x.post(event{Event: tries.Event{Kind: tries.EventStreamBroken, Stream: s.id, Attempt: s.attempt}})
			return
		}
		x.observe(ctx, s, reply)
		e, last := translate(s, reply)
		x.post(e)
		if last {
			return
		}
	}
}

// observe passes on the news that ride on a reply. A refusal for a stale
// revision is passed to the machine only after this process has caught up.
func (x *exchange) observe(ctx context.Context, s *attemptStream, reply *wire.Reply) {
	revision := ident.Revision(reply.GetRevision())
	switch body := reply.GetBody().(type) {
	case *wire.Reply_Refusal:
		x.cfg.Directory.ObserveLoad(s.target, body.Refusal.GetLoad(), revision)
		x.cfg.Directory.ObservePoolLoad(body.Refusal.GetDigest())
		if body.Refusal.GetReason() == wire.RefusalReason_REFUSAL_REASON_STALE_REVISION {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// translate turns a reply into an event and reports whether it is the last
// one of its stream.
func translate(s *attemptStream, reply *wire.Reply) (event, bool) {
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

func (x *exchange) probe(ctx context.Context, target ident.TargetName) ident.Incarnation {
	address, ok := x.cfg.Directory.Address(target)
	if !ok {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
