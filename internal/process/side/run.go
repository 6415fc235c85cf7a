package side

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"cactusline.dev/cactusline/internal/conn/pool"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	answerChunkBytes = 32 << 10
	// readAheadBytes is how far the reading of an answer from the target may run
	// ahead of the router that reads it from the sidecar.
	readAheadBytes = 128 << 10
	// orphanTimeout is how long an idempotent attempt keeps running after the
	// link to its last router has broken.
	orphanTimeout = 5 * time.Second
	// fairSharePriorityBoost is added to the priority of work of a customer that
	// runs less than its fair share. It exceeds every priority that a customer
	// can set itself.
	fairSharePriorityBoost = 1 << 20
)

// chunkPool holds the buffers used to copy answers.
var chunkPool = sync.Pool{New: func() any { return new([answerChunkBytes]byte) }}

// run is one attempt that was admitted and sent to the target.
type run struct {
	id          ident.AttemptID
	fingerprint ident.Fingerprint
	model       ident.ModelName
	// once says that the request is not idempotent, so that the attempt must
	// not run a second time.
	once bool
	// priority is sent to the engine, which starts attempts of higher priority
	// first.
	priority int32
	// alone says that the request must run alone, so that no other attempt runs
	// beside this one.
	alone bool
	// cachedTokens is how many prompt tokens the engine found in its cache, if
	// cachedTokensKnown is set.
	cachedTokens      ident.Tokens
	cachedTokensKnown bool
	ctx               context.Context
	cancel            context.CancelFunc

	mu      sync.Mutex
	readers int
	// readOffset is the highest offset in the answer that a reader has reached.
	// readersChanged is closed and replaced when readOffset advances or a reader
	// is removed.
	readOffset     uint64
	readersChanged chan struct{}
}

// startRun sends an admitted attempt to the target in a new goroutine.
func (s *Sidecar) startRun(call *wire.Call, submit *wire.Submit, deadline time.Time, alone, belowFairShare bool) {
	ctx, span := s.cfg.Tracer.Start(s.ctx, call.GetTraceParent(), "sidecar.attempt",
		attribute.String("request", submit.GetRequest()),
		attribute.String("attempt", submit.GetAttempt()))
	ctx, cancel := s.runContext(ctx, submit, deadline)
	r := &run{
		id:             ident.AttemptID(submit.GetAttempt()),
		fingerprint:    ident.Fingerprint(submit.GetFingerprint()),
		model:          ident.ModelName(submit.GetModel()),
		once:           submit.GetOnce(),
		alone:          alone,
		priority:       submit.GetPriority(),
		ctx:            ctx,
		cancel:         cancel,
		readersChanged: make(chan struct{}),
	}
	if belowFairShare {
		r.priority += fairSharePriorityBoost
	}
	s.runs.add(r)
	go func() {
		defer cancel()
		defer span.End()
		end := s.execute(ctx, submit, r)
		s.runs.remove(r)
		s.runs.releaseSlot(r.model)
		s.recordOutcome(submit, r, end)
		now := s.cfg.Clock.Now()
		if end == nil {
			s.attempts.Withdraw(now, r.id)
		} else {
			s.attempts.Finish(now, r.id, end)
		}
		s.deliverDecisions(s.admission.Done(now, r.id))
	}()
}

// runContext returns the context of a run. An attempt that may run again
// elsewhere ends at its caller's deadline, so that a stalled reader does not
// hold its slot for longer. An attempt that may run only once has no deadline,
// because its outcome must become known.
func (s *Sidecar) runContext(ctx context.Context, submit *wire.Submit, deadline time.Time) (context.Context, context.CancelFunc) {
	if submit.GetOnce() || deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, deadline.Sub(s.cfg.Clock.Now()))
}

// recordOutcome updates the cached prefix of the chat and the state of a suspect
// request after a run whose answer is complete.
func (s *Sidecar) recordOutcome(submit *wire.Submit, r *run, end *wire.End) {
	if end.GetOutcome() != wire.Outcome_OUTCOME_RAN {
		return
	}
	if submit.GetChat() != 0 {
		s.recordCachedPrefix(submit, r)
	}
	if r.alone {
		s.clearSuspect(r.fingerprint)
	}
}

// mustRunAlone reports whether a request is suspected of crashing targets, and
// so may run only while no other attempt does.
func (s *Sidecar) mustRunAlone(fingerprint ident.Fingerprint) bool {
	return s.verdicts.Verdict(fingerprint) == poison.VerdictSuspect
}

// execute sends the attempt to the target and stores the answer. It returns nil
// if no connection to the target could be made, so that the attempt has not run.
// After any other error the outcome is unknown.
func (s *Sidecar) execute(ctx context.Context, submit *wire.Submit, r *run) *wire.End {
	resp, err := s.target.sendAttempt(ctx, submit, r.priority, trace.Traceparent(ctx))
	if notSent(err) {
		s.markTargetDown()
		return nil
	}
	if err != nil {
		return s.handleFailure(ctx, r, 0, err)
	}
	defer func() { _ = resp.Body.Close() }()
	r.cachedTokens, r.cachedTokensKnown = parseCachedTokens(resp)
	s.attempts.SetHead(r.id, s.answerHead(resp))
	return s.storeAnswer(ctx, resp, r)
}

// errConnectionEnded is the failure of an answer that ended with its connection, whose
// target no longer responds.
var errConnectionEnded = errors.New("answer ended with its connection and the target does not respond")

// storeAnswer copies the answer's body into the table of attempts.
func (s *Sidecar) storeAnswer(ctx context.Context, resp *http.Response, r *run) *wire.End {
	chunk := chunkPool.Get().(*[answerChunkBytes]byte)
	defer chunkPool.Put(chunk)
	buffer := chunk[:]
	var length uint64
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			s.attempts.Append(r.id, buffer[:n])
			length += uint64(n)
			r.waitForReader(ctx, length)
		}
		if errors.Is(err, io.EOF) && pool.EndsWithConnection(resp) && !s.target.responds() {
			err = errConnectionEnded
		}
		if errors.Is(err, io.EOF) {
			return &wire.End{Outcome: wire.Outcome_OUTCOME_RAN, Length: length}
		}
		if err != nil {
			return s.handleFailure(ctx, r, length, err)
		}
	}
}

// handleFailure returns the end of an attempt whose answer is incomplete. If the
// target no longer responds, it also records a crash, unless ctx has ended:
// the failure of a canceled attempt says nothing about the target.
func (s *Sidecar) handleFailure(ctx context.Context, r *run, length uint64, err error) *wire.End {
	end := &wire.End{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Length: length, Error: err.Error()}
	if ctx.Err() != nil {
		return end
	}
	s.countBroken(err)
	if s.down.Load() || !s.target.responds() {
		end.TargetCrashed = true
		s.recordCrash(r.fingerprint)
	}
	return end
}

func (s *Sidecar) answerHead(resp *http.Response) *wire.Head {
	head := &wire.Head{
		Status:      int32(resp.StatusCode),
		Load:        s.Load(),
		Incarnation: uint64(s.cfg.Incarnation),
	}
	if cached, known := parseCachedTokens(resp); known {
		head.WarmTokens = uint32(cached)
	}
	for name, values := range resp.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return head
}

// waitForReader blocks while the run has readers and even the furthest of them
// is more than readAheadBytes behind the answer's length so far.
func (r *run) waitForReader(ctx context.Context, length uint64) {
	for {
		r.mu.Lock()
		readersChanged := r.readersChanged
		proceed := r.readers == 0 || length <= r.readOffset+readAheadBytes
		r.mu.Unlock()
		if proceed {
			return
		}
		select {
		case <-readersChanged:
		case <-ctx.Done():
			return
		}
	}
}

// wake wakes the goroutine in waitForReader. The caller must hold r.mu.
func (r *run) wake() {
	close(r.readersChanged)
	r.readersChanged = make(chan struct{})
}

// runTable holds the attempts at the target and counts the slots in use. Its
// zero value is empty.
type runTable struct {
	mu   sync.Mutex
	byID map[ident.AttemptID]*run
	// held counts the slots in use. An attempt holds one from before its
	// admission until it ends.
	held int
	// heldByModel counts the slots in use by model.
	heldByModel map[ident.ModelName]int
	// aloneHeld says that the only slot in use belongs to a request that must run
	// alone.
	aloneHeld bool
}

// reserveSlot takes a slot and reports whether it got one. The number of slots is
// not limited, but a request that must run alone gets one only if none is in
// use, and no other slot is given out until it ends.
func (t *runTable) reserveSlot(model ident.ModelName, alone bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.aloneHeld || (alone && t.held > 0) {
		return false
	}
	if t.heldByModel == nil {
		t.heldByModel = make(map[ident.ModelName]int)
	}
	t.held++
	t.heldByModel[model]++
	t.aloneHeld = alone
	return true
}

// releaseSlot gives back a slot taken with reserveSlot.
func (t *runTable) releaseSlot(model ident.ModelName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held--
	t.heldByModel[model]--
	if t.heldByModel[model] == 0 {
		delete(t.heldByModel, model)
	}
	t.aloneHeld = false
}

func (t *runTable) add(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = make(map[ident.AttemptID]*run)
	}
	t.byID[r.id] = r
}

func (t *runTable) remove(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, r.id)
}

// inFlight returns the fingerprints of all attempts at the target.
func (t *runTable) inFlight() []ident.Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	fingerprints := make([]ident.Fingerprint, 0, len(t.byID))
	for _, r := range t.byID {
		fingerprints = append(fingerprints, r.fingerprint)
	}
	return fingerprints
}

// usesModel reports whether an attempt on the model holds a slot, whether it
// runs already or still waits for admission.
func (t *runTable) usesModel(model ident.ModelName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heldByModel[model] > 0
}

// answerReader is one router that reads the answer of a run. Its run is nil if
// the run had already ended.
type answerReader struct{ run *run }

// advance records that the reader has reached offset.
func (r *answerReader) advance(offset uint64) {
	if r.run == nil {
		return
	}
	r.run.mu.Lock()
	defer r.run.mu.Unlock()
	if offset > r.run.readOffset {
		r.run.readOffset = offset
		r.run.wake()
	}
}

// addReader registers a reader with the run of an attempt, unless the run has
// ended.
func (t *runTable) addReader(id ident.AttemptID) *answerReader {
	t.mu.Lock()
	r := t.byID[id]
	t.mu.Unlock()
	if r == nil {
		return &answerReader{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	return &answerReader{run: r}
}

// detachReader removes a reader from its run. An idempotent run without readers
// is canceled: at once if the router sent a Cancel, otherwise if no router has
// come back after orphanTimeout.
func (s *Sidecar) detachReader(reader *answerReader, canceled bool) {
	r := reader.run
	if r == nil || !r.removeReader() || r.once {
		return
	}
	if canceled {
		r.cancel()
		return
	}
	go func() {
		if s.cfg.Clock.Sleep(r.ctx, orphanTimeout) == nil && r.hasNoReaders() {
			r.cancel()
		}
	}()
}

// removeReader removes one reader and reports whether it was the last.
func (r *run) removeReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.wake()
	return r.readers == 0
}

func (r *run) hasNoReaders() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0
}

// slotsHeld returns the number of slots in use.
func (t *runTable) slotsHeld() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held
}
