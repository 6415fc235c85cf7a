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

// serveSubmit runs an attempt, or joins one that has already begun, and relays
// its answer to the router.
func (s *Sidecar) serveSubmit(call *wire.Call, submit *wire.Submit, stream *link.Stream) {
	s.openSubmits.Add(1)
	defer s.openSubmits.Add(-1)
	replies := &replyWriter{
		stream:    stream,
		attempt:   submit.GetAttempt(),
		offset:    submit.GetResumeOffset(),
		revision:  s.revision,
		logger:    s.cfg.Logger,
		onRefusal: s.countRefusal,
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	watcher := &routerWatcher{stream: stream, cancel: cancel}
	go watcher.watch()
	if refusal := s.preAdmissionRefusal(call, submit); refusal != nil {
		_ = replies.sendRefusal(refusal)
		return
	}
	if submit.GetJoin() {
		s.relayAnswer(ctx, submit, replies, watcher)
		return
	}
	id := ident.AttemptID(submit.GetAttempt())
	beginAttempt := s.attempts.BeginIdempotent
	if submit.GetOnce() {
		beginAttempt = s.attempts.Begin
	}
	switch beginAttempt(s.cfg.Clock.Now(), id) {
	case replay.RunAttempt:
		s.admitAndStart(ctx, call, submit, replies, watcher)
	case replay.JoinAttempt:
		s.relayAnswer(ctx, submit, replies, watcher)
	case replay.RefuseAttempt:
		_ = replies.sendRefusal(&wire.Refusal{Reason: wire.RefusalReason_REFUSAL_REASON_TOMBSTONED, Load: s.Load()})
	default: // replay.TableFull
		_ = replies.sendRefusal(&wire.Refusal{Reason: wire.RefusalReason_REFUSAL_REASON_OVERLOADED, Load: s.Load()})
	}
}

// preAdmissionRefusal returns the refusal of an attempt that must not be offered
// to admission, or nil if it may be.
func (s *Sidecar) preAdmissionRefusal(call *wire.Call, submit *wire.Submit) *wire.Refusal {
	var reason wire.RefusalReason
	incarnation := submit.GetIncarnation()
	switch {
	// Only an idempotent attempt may leave the incarnation unset.
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
	case s.verdicts.Quarantined(ident.Fingerprint(submit.GetFingerprint())):
		reason = wire.RefusalReason_REFUSAL_REASON_QUARANTINED
	case s.crashBlocklist.Blocked(s.cfg.Clock.Now(), ident.Fingerprint(submit.GetFingerprint())):
		reason = wire.RefusalReason_REFUSAL_REASON_TARGET_DOWN
	case s.modelPending(ident.ModelName(submit.GetModel())):
		reason = wire.RefusalReason_REFUSAL_REASON_WRONG_TARGET
	default:
		return nil
	}
	return &wire.Refusal{Reason: reason, Load: s.Load()}
}

// admitAndStart asks for admission of a new attempt, then starts it and relays
// its answer, or sends the refusal.
func (s *Sidecar) admitAndStart(ctx context.Context, call *wire.Call, submit *wire.Submit, replies *replyWriter, watcher *routerWatcher) {
	id := ident.AttemptID(submit.GetAttempt())
	alone := s.mustRunAlone(ident.Fingerprint(submit.GetFingerprint()))
	model := ident.ModelName(submit.GetModel())
	if !s.runs.reserveSlot(model, alone) {
		s.attempts.Withdraw(s.cfg.Clock.Now(), id)
		_ = replies.sendRefusal(&wire.Refusal{
			Reason:       wire.RefusalReason_REFUSAL_REASON_OVERLOADED,
			RetryAfterMs: aloneRetryMs,
			Load:         s.Load(),
		})
		return
	}
	work := s.admissionWork(submit)
	decision := s.awaitAdmission(ctx, work)
	if decision.Kind != admit.Admitted {
		s.runs.releaseSlot(model)
		s.attempts.Withdraw(s.cfg.Clock.Now(), id)
		refusal := s.admissionRefusal(decision)
		refusal.Digest = s.digestIfNewer(submit.GetDigestStamp())
		_ = replies.sendRefusal(refusal)
		return
	}
	s.startRun(call, submit, work.Deadline, alone, decision.Urgent)
	replies.digest = s.digestIfNewer(submit.GetDigestStamp())
	s.relayAnswer(ctx, submit, replies, watcher)
}

// aloneRetryMs is the retry time, in milliseconds, of an attempt that was refused
// because it must run alone and others hold slots, or because a request that
// must run alone holds the only slot.
const aloneRetryMs = 1000

// admissionWork returns the description of an attempt that admission needs.
func (s *Sidecar) admissionWork(submit *wire.Submit) admit.Work {
	work := admit.Work{
		Attempt:    ident.AttemptID(submit.GetAttempt()),
		Customer:   ident.CustomerName(submit.GetCustomer()),
		Chat:       ident.ChatKey(submit.GetChat()),
		Tokens:     ident.Tokens(submit.GetPromptTokens()) + ident.Tokens(submit.GetOutputTokens()),
		WarmTokens: min(s.cachedPrefixes.CachedTokens(ident.ChatKey(submit.GetChat())), ident.Tokens(submit.GetPrefixTokens())),
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

// refusalReasons maps the reasons of package admit to those on the wire.
var refusalReasons = [...]wire.RefusalReason{
	admit.Overloaded:     wire.RefusalReason_REFUSAL_REASON_OVERLOADED,
	admit.Leaving:        wire.RefusalReason_REFUSAL_REASON_LEAVING,
	admit.Moved:          wire.RefusalReason_REFUSAL_REASON_MOVED,
	admit.DeadlinePassed: wire.RefusalReason_REFUSAL_REASON_DEADLINE,
	admit.Down:           wire.RefusalReason_REFUSAL_REASON_TARGET_DOWN,
	admit.Duplicate:      wire.RefusalReason_REFUSAL_REASON_INVALID,
}

func (s *Sidecar) admissionRefusal(decision admit.Decision) *wire.Refusal {
	refusal := &wire.Refusal{
		RetryAfterMs:  uint32(decision.RetryAfter.Milliseconds()),
		Load:          s.Load(),
		Forward:       string(decision.ChatLocation.Target),
		Lighter:       string(decision.LessLoaded),
		ForwardTokens: uint32(decision.ChatLocation.Tokens),
	}
	if int(decision.Reason) < len(refusalReasons) {
		refusal.Reason = refusalReasons[decision.Reason]
	}
	return refusal
}

// relayAnswer sends the answer of an attempt to the router, from the offset that
// the router asked for, until the answer ends or the router is gone.
func (s *Sidecar) relayAnswer(ctx context.Context, submit *wire.Submit, replies *replyWriter, watcher *routerWatcher) {
	id := ident.AttemptID(submit.GetAttempt())
	reader := s.runs.addReader(id)
	defer func() { s.detachReader(reader, watcher.canceled.Load()) }()
	chunk := chunkPool.Get().(*[answerChunkBytes]byte)
	defer chunkPool.Put(chunk)
	buffer := chunk[:]
	headSent := false
	for {
		read, err := s.attempts.ReadFrom(id, replies.offset, buffer)
		if err != nil {
			s.reportUnavailableAnswer(id, replies, err)
			return
		}
		if read.Head != nil && !headSent {
			headSent = true
			if replies.sendHead(read.Head) != nil {
				return
			}
		}
		if read.Copied > 0 && replies.sendData(buffer[:read.Copied]) != nil {
			return
		}
		reader.advance(replies.offset)
		if read.End != nil {
			_ = replies.sendEnd(read.End, s.Load())
			return
		}
		if read.Notify == nil {
			continue // more of the answer can be read at once
		}
		select {
		case <-read.Notify:
		case <-ctx.Done():
			return
		}
	}
}

// routerWatcher waits for what follows a Submit call on its stream: a Cancel
// frame, or the end of the link.
type routerWatcher struct {
	stream   *link.Stream
	cancel   context.CancelFunc
	canceled atomic.Bool
}

func (w *routerWatcher) watch() {
	if w.stream.Receive(new(wire.Cancel)) == nil {
		w.canceled.Store(true)
	}
	w.cancel()
	// Fails a reply that waits for the router, which reads no more.
	w.stream.Abort()
}

// replyWriter sends the replies to one Submit call.
type replyWriter struct {
	stream  *link.Stream
	attempt string
	// offset is the offset in the answer of the next byte to send.
	offset   uint64
	revision func() ident.Revision
	logger   log.Logger
	// onRefusal is called with the reason of each refusal sent.
	onRefusal func(wire.RefusalReason)
	// digest, if not nil, is sent with the head of the answer.
	digest *wire.LoadDigest
}

func (w *replyWriter) sendRefusal(refusal *wire.Refusal) error {
	w.onRefusal(refusal.GetReason())
	_ = level.Debug(w.logger).Log("msg", "attempt refused", "attempt", w.attempt, "reason", refusal.GetReason(),
		"running", refusal.GetLoad().GetRequests(), "queued", refusal.GetLoad().GetQueued())
	return w.send(&wire.Reply{Body: &wire.Reply_Refusal{Refusal: refusal}})
}

func (w *replyWriter) sendHead(head *wire.Head) error {
	return w.send(&wire.Reply{Body: &wire.Reply_Head{Head: &wire.Head{
		Status:      head.GetStatus(),
		Headers:     head.GetHeaders(),
		WarmTokens:  head.GetWarmTokens(),
		Load:        head.GetLoad(),
		Incarnation: head.GetIncarnation(),
		Digest:      w.digest,
	}}})
}

func (w *replyWriter) sendData(data []byte) error {
	if err := w.send(&wire.Reply{Body: &wire.Reply_Data{Data: data}}); err != nil {
		return err
	}
	w.offset += uint64(len(data))
	return nil
}

func (w *replyWriter) sendEnd(end *wire.End, load *wire.Load) error {
	return w.send(&wire.Reply{Body: &wire.Reply_End{End: &wire.End{
		Length:        end.GetLength(),
		Outcome:       end.GetOutcome(),
		Error:         end.GetError(),
		TargetCrashed: end.GetTargetCrashed(),
		Load:          load,
	}}})
}

// reportUnavailableAnswer tells the router what became of an attempt whose answer
// cannot be read, and tombstones the attempt if possible, so that it never runs
// here. An attempt that was withdrawn or never seen here has not run and is
// refused. An attempt whose bytes are no longer kept has run; it ends with an
// unknown outcome.
func (s *Sidecar) reportUnavailableAnswer(id ident.AttemptID, replies *replyWriter, err error) {
	refusal := &wire.Refusal{Detail: err.Error(), Load: s.Load()}
	var unknown *replay.UnknownAttemptError
	switch {
	case errors.As(err, &unknown):
		s.attempts.Tombstone(s.cfg.Clock.Now(), id)
		refusal.Reason = wire.RefusalReason_REFUSAL_REASON_TOMBSTONED
	case s.attempts.Tombstone(s.cfg.Clock.Now(), id):
		refusal.Reason = wire.RefusalReason_REFUSAL_REASON_TARGET_DOWN
	default:
		end := &wire.End{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Error: err.Error(), Length: replies.offset}
		_ = replies.sendEnd(end, s.Load())
		return
	}
	_ = replies.sendRefusal(refusal)
}

func (w *replyWriter) send(reply *wire.Reply) error {
	reply.Attempt = w.attempt
	reply.Offset = w.offset
	reply.Revision = uint64(w.revision())
	if err := w.stream.Send(reply); err != nil {
		return fmt.Errorf("send reply of attempt %s: %w", w.attempt, err)
	}
	return nil
}
