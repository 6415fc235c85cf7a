package side

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/admit"
	"cactusline.dev/cactusline/internal/request/replay"
	"cactusline.dev/cactusline/internal/version/ident"
)

// serveSubmit runs an attempt, or joins one that runs already, and relays its
// answer.
func (s *Sidecar) serveSubmit(call *wire.Call, submit *wire.Submit, stream *link.Stream) {
	s.serving.Add(1)
	defer s.serving.Add(-1)
	out := &answer{
		stream:   stream,
		attempt:  submit.GetAttempt(),
		offset:   submit.GetResumeOffset(),
		revision: s.revision,
		logger:   s.cfg.Logger,
		refused:  s.countRefused,
	}
	ctx, cancel := context.WithCancel(s.life)
	defer cancel()
	watcher := &callerWatch{stream: stream, cancel: cancel}
	go watcher.wait()
	if refusal := s.unfit(call, submit); refusal != nil {
		_ = out.refuse(refusal)
		return
	}
	if submit.GetJoin() {
		s.join(ctx, submit, out, watcher)
		return
	}
	id := ident.AttemptID(submit.GetAttempt())
	begin := s.attempts.BeginIdempotent
	if submit.GetOnce() {
		begin = s.attempts.Begin
	}
	switch begin(s.cfg.Clock.Now(), id) {
	case replay.RunAttempt:
		s.begin(ctx, call, submit, out, watcher)
	case replay.JoinAttempt:
		s.join(ctx, submit, out, watcher)
	case replay.RefuseAttempt:
		_ = out.refuse(&wire.Refusal{Reason: wire.RefusalReason_REFUSAL_REASON_TOMBSTONED, Load: s.Load()})
	default:
		_ = out.refuse(&wire.Refusal{Reason: wire.RefusalReason_REFUSAL_REASON_OVERLOADED, Load: s.Load()})
	}
}

// unfit returns why an attempt may not even be looked at, nil if it may.
func (s *Sidecar) unfit(call *wire.Call, submit *wire.Submit) *wire.Refusal {
	var reason wire.RefusalReason
	incarnation := submit.GetIncarnation()
	switch {
	case incarnation != uint64(s.cfg.Incarnation) && (incarnation != 0 || submit.GetOnce()):
		reason = wire.RefusalReason_REFUSAL_REASON_INCARNATION
	case submit.GetTarget() != "" && submit.GetTarget() != string(s.cfg.TargetName):
		reason = wire.RefusalReason_REFUSAL_REASON_WRONG_TARGET
	case submit.GetJoin():
		return nil
	case !s.confirmed():
		reason = wire.RefusalReason_REFUSAL_REASON_TARGET_DOWN
	case call.GetRevision() < uint64(s.revision()):
		reason = wire.RefusalReason_REFUSAL_REASON_STALE_REVISION
	case s.poisoned.Quarantined(ident.Fingerprint(submit.GetFingerprint())):
		reason = wire.RefusalReason_REFUSAL_REASON_QUARANTINED
	case s.recent.Blocked(s.cfg.Clock.Now(), ident.Fingerprint(submit.GetFingerprint())):
		reason = wire.RefusalReason_REFUSAL_REASON_TARGET_DOWN
	case s.unloaded(ident.ModelName(submit.GetModel())):
		reason = wire.RefusalReason_REFUSAL_REASON_WRONG_TARGET
	default:
		return nil
	}
	return &wire.Refusal{Reason: reason, Load: s.Load()}
}

// begin admits an attempt and starts it.
func (s *Sidecar) begin(ctx context.Context, call *wire.Call, submit *wire.Submit, out *answer, watcher *callerWatch) {
	id := ident.AttemptID(submit.GetAttempt())
	solo := s.suspect(ident.Fingerprint(submit.GetFingerprint()))
	model := ident.ModelName(submit.GetModel())
	if !s.runs.reserve(model, solo) {
		s.attempts.Withdraw(s.cfg.Clock.Now(), id)
		_ = out.refuse(&wire.Refusal{
			Reason:       wire.RefusalReason_REFUSAL_REASON_OVERLOADED,
			RetryAfterMs: soloRetryMs,
			Load:         s.Load(),
		})
		return
	}
	work := s.work(submit)
	decision := s.offer(ctx, work)
	if decision.Kind != admit.Admitted {
		s.runs.release(model)
		s.attempts.Withdraw(s.cfg.Clock.Now(), id)
		refusal := s.refusalOf(decision)
		refusal.Digest = s.digestAbove(submit.GetDigestStamp())
		_ = out.refuse(refusal)
		return
	}
	s.start(call, submit, work.Deadline, solo, decision.Urgent)
	out.digest = s.digestAbove(submit.GetDigestStamp())
	s.join(ctx, submit, out, watcher)
}

// soloRetryMs is when to come back to a target on which a request runs alone.
const soloRetryMs = 1000

// work is what admission sees of an attempt.
func (s *Sidecar) work(submit *wire.Submit) admit.Work {
	work := admit.Work{
		Attempt:    ident.AttemptID(submit.GetAttempt()),
		Customer:   ident.CustomerName(submit.GetCustomer()),
		Chat:       ident.ChatKey(submit.GetChat()),
		Tokens:     ident.Tokens(submit.GetPromptTokens()) + ident.Tokens(submit.GetOutputTokens()),
		WarmTokens: min(s.warm.CachedTokens(ident.ChatKey(submit.GetChat())), ident.Tokens(submit.GetPrefixTokens())),
		NoRedirect: submit.GetMoved(),
		Weight:     submit.GetWeight(),
		Priority:   submit.GetPriority(),
		Final:      submit.GetFinal(),
		NoSpill:    submit.GetStay(),
	}
	if submit.GetTimeoutMs() > 0 {
		work.Deadline = s.cfg.Clock.Now().Add(time.Duration(submit.GetTimeoutMs()) * time.Millisecond)
	}
	return work
}

// reasons maps admission's reasons to those of the frames.
var reasons = [...]wire.RefusalReason{
	admit.Overloaded:     wire.RefusalReason_REFUSAL_REASON_OVERLOADED,
	admit.Leaving:        wire.RefusalReason_REFUSAL_REASON_LEAVING,
	admit.Moved:          wire.RefusalReason_REFUSAL_REASON_MOVED,
	admit.DeadlinePassed: wire.RefusalReason_REFUSAL_REASON_DEADLINE,
	admit.Down:           wire.RefusalReason_REFUSAL_REASON_TARGET_DOWN,
	admit.Duplicate:      wire.RefusalReason_REFUSAL_REASON_INVALID,
}

func (s *Sidecar) refusalOf(decision admit.Decision) *wire.Refusal {
	refusal := &wire.Refusal{
		RetryAfterMs:  uint32(decision.RetryAfter.Milliseconds()),
		Load:          s.Load(),
		Forward:       string(decision.ChatLocation.Target),
		Lighter:       string(decision.LessLoaded),
		ForwardTokens: uint32(decision.ChatLocation.Tokens),
	}
	if int(decision.Reason) < len(reasons) {
		refusal.Reason = reasons[decision.Reason]
	}
	return refusal
}

// join relays the answer of an attempt that was begun, from an offset on.
func (s *Sidecar) join(ctx context.Context, submit *wire.Submit, out *answer, watcher *callerWatch) {
	id := ident.AttemptID(submit.GetAttempt())
	reader := s.runs.attach(id)
	defer func() { s.detach(reader, watcher.canceled.Load()) }()
	chunk := chunks.Get().(*[answerChunkBytes]byte)
	defer chunks.Put(chunk)
	buffer := chunk[:]
	headSent := false
	for {
		read, err := s.attempts.ReadFrom(id, out.offset, buffer)
		if err != nil {
			s.relayGone(id, out, err)
			return
		}
		if read.Head != nil && !headSent {
			headSent = true
			if out.head(read.Head) != nil {
				return
			}
		}
		if read.Copied > 0 && out.data(buffer[:read.Copied]) != nil {
			return
		}
		reader.at(out.offset)
		if read.End != nil {
			_ = out.end(read.End, s.Load())
			return
		}
		if read.Notify == nil {
			continue
		}
		select {
		case <-read.Notify:
		case <-ctx.Done():
			return
		}
	}
}

// callerWatch reads what the router sends after its call: a Cancel, or the
// end of the link.
type callerWatch struct {
	stream   *link.Stream
	cancel   context.CancelFunc
	canceled atomic.Bool
}

func (c *callerWatch) wait() {
	if c.stream.Receive(new(wire.Cancel)) == nil {
		c.canceled.Store(true)
	}
	c.cancel()
}

// answer writes the replies of one attempt in order.
type answer struct {
	stream   *link.Stream
	attempt  string
	offset   uint64
	revision func() ident.Revision
	logger   log.Logger
	// refused counts a refusal.
	refused func(wire.RefusalReason)
	// digest goes with the head.
	digest *wire.LoadDigest
}

func (a *answer) refuse(refusal *wire.Refusal) error {
	a.refused(refusal.GetReason())
	_ = level.Debug(a.logger).Log("msg", "attempt refused", "attempt", a.attempt, "reason", refusal.GetReason(),
		"running", refusal.GetLoad().GetRequests(), "queued", refusal.GetLoad().GetQueued())
	return a.send(&wire.Reply{Body: &wire.Reply_Refusal{Refusal: refusal}})
}

func (a *answer) head(head *wire.Head) error {
	return a.send(&wire.Reply{Body: &wire.Reply_Head{Head: &wire.Head{
		Status:      head.GetStatus(),
		Headers:     head.GetHeaders(),
		WarmTokens:  head.GetWarmTokens(),
		Load:        head.GetLoad(),
		Incarnation: head.GetIncarnation(),
		Digest:      a.digest,
	}}})
}

func (a *answer) data(data []byte) error {
	if err := a.send(&wire.Reply{Body: &wire.Reply_Data{Data: data}}); err != nil {
		return err
	}
	a.offset += uint64(len(data))
	return nil
}

func (a *answer) end(end *wire.End, load *wire.Load) error {
	return a.send(&wire.Reply{Body: &wire.Reply_End{End: &wire.End{
		Length:        end.GetLength(),
		Outcome:       end.GetOutcome(),
		Error:         end.GetError(),
		TargetCrashed: end.GetTargetCrashed(),
		Load:          load,
	}}})
}

// relayGone ends the relay of an answer that is not there. An attempt that
// was withdrawn, or was never seen here, did not run; one whose bytes are no
// longer kept did.
func (s *Sidecar) relayGone(id ident.AttemptID, out *answer, err error) {
	refusal := &wire.Refusal{Detail: err.Error(), Load: s.Load()}
	var unseen *replay.UnknownAttemptError
	switch {
	case errors.As(err, &unseen):
		s.attempts.Tombstone(s.cfg.Clock.Now(), id)
		refusal.Reason = wire.RefusalReason_REFUSAL_REASON_TOMBSTONED
	case s.attempts.Tombstone(s.cfg.Clock.Now(), id):
		refusal.Reason = wire.RefusalReason_REFUSAL_REASON_TARGET_DOWN
	default:
		end := &wire.End{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Error: err.Error(), Length: out.offset}
		_ = out.end(end, s.Load())
		return
	}
	_ = out.refuse(refusal)
}

func (a *answer) send(reply *wire.Reply) error {
	reply.Attempt = a.attempt
	reply.Offset = a.offset
	reply.Revision = uint64(a.revision())
	if err := a.stream.Send(reply); err != nil {
		return fmt.Errorf("answer attempt %s: %w", a.attempt, err)
	}
	return nil
}
