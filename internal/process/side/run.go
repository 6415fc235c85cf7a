package side

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	answerChunkBytes = 32 << 10
	// windowBytes is how far an answer may run ahead of its reader.
	windowBytes = 128 << 10
	// orphanTimeout is how long an idempotent attempt goes on when the link
	// to its router has broken.
	orphanTimeout = 5 * time.Second
	// urgentPriority lifts the work of a customer that runs less than its fair
	// share above all customers' own priorities.
	urgentPriority = 1 << 20
)

// chunks keeps the buffers through which answers are copied.
var chunks = sync.Pool{New: func() any { return new([answerChunkBytes]byte) }}

// run is one attempt at the target.
type run struct {
	id          ident.AttemptID
	fingerprint ident.Fingerprint
	model       ident.ModelName
	once        bool
	// priority goes to the engine, which starts higher ones first.
	priority int32
	// solo says that nothing ran beside it.
	solo bool
	// cached is how much of the prompt the engine found in its cache, if it
	// counted that.
	cached  ident.Tokens
	counted bool
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	readers int
	// read is how far the newest reader has come; moved is closed when it
	// goes on.
	read  uint64
	moved chan struct{}
}

// start runs an admitted attempt in the background.
func (s *Sidecar) start(call *wire.Call, submit *wire.Submit, deadline time.Time, solo, urgent bool) {
	ctx, span := s.cfg.Tracer.Start(s.life, call.GetTraceParent(), "sidecar.attempt",
		attribute.String("request", submit.GetRequest()),
		attribute.String("attempt", submit.GetAttempt()))
	ctx, cancel := s.bounded(ctx, submit, deadline)
	r := &run{
		id:          ident.AttemptID(submit.GetAttempt()),
		fingerprint: ident.Fingerprint(submit.GetFingerprint()),
		model:       ident.ModelName(submit.GetModel()),
		once:        submit.GetOnce(),
		solo:        solo,
		priority:    submit.GetPriority(),
		ctx:         ctx,
		cancel:      cancel,
		moved:       make(chan struct{}),
	}
	if urgent {
		r.priority += urgentPriority
	}
	s.runs.add(r)
	go func() {
		defer cancel()
		defer span.End()
		end := s.perform(ctx, submit, r)
		s.runs.remove(r)
		s.runs.release(r.model)
		s.learn(submit, r, end)
		now := s.cfg.Clock.Now()
		if end == nil {
			s.attempts.Withdraw(now, r.id)
		} else {
			s.attempts.Finish(now, r.id, end)
		}
		s.settle(s.admitted.Done(now, r.id))
	}()
}

// bounded returns the context of a run. One that may run again elsewhere ends
// with its caller's patience, so that no reader holds its place for longer;
// the end of one that runs only once must stay known.
func (s *Sidecar) bounded(ctx context.Context, submit *wire.Submit, deadline time.Time) (context.Context, context.CancelFunc) {
	if submit.GetOnce() || deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, deadline.Sub(s.cfg.Clock.Now()))
}

// learn notes what the end of a run says about its chat and its request.
func (s *Sidecar) learn(submit *wire.Submit, r *run, end *wire.End) {
	if end.GetOutcome() != wire.Outcome_OUTCOME_RAN {
		return
	}
	if submit.GetChat() != 0 {
		s.believe(submit, r)
	}
	if r.solo {
		s.ranAlone(r.fingerprint)
	}
}

// suspect reports whether a request may only run with nothing beside it.
func (s *Sidecar) suspect(fingerprint ident.Fingerprint) bool {
	return s.poisoned.Verdict(fingerprint) == poison.VerdictSuspect
}

// perform sends the attempt to the target and keeps the answer. It returns
// nil if the target never saw the attempt.
func (s *Sidecar) perform(ctx context.Context, submit *wire.Submit, r *run) *wire.End {
	resp, err := s.target.do(ctx, submit, r.priority, trace.Traceparent(ctx))
	if notSent(err) {
		s.targetDown()
		return nil
	}
	if err != nil {
		return s.failed(ctx, r, 0, err)
	}
	defer func() { _ = resp.Body.Close() }()
	r.cached, r.counted = cachedTokens(resp)
	s.attempts.SetHead(r.id, s.headOf(resp))
	return s.keep(ctx, resp.Body, r)
}

// keep copies the answer into the table of attempts.
func (s *Sidecar) keep(ctx context.Context, body io.Reader, r *run) *wire.End {
	chunk := chunks.Get().(*[answerChunkBytes]byte)
	defer chunks.Put(chunk)
	buffer := chunk[:]
	var length uint64
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			s.attempts.Append(r.id, buffer[:n])
			length += uint64(n)
			r.await(ctx, length)
		}
		if errors.Is(err, io.EOF) {
			return &wire.End{Outcome: wire.Outcome_OUTCOME_RAN, Length: length}
		}
		if err != nil {
			return s.failed(ctx, r, length, err)
		}
	}
}

// failed words the end of an attempt whose answer is not whole.
func (s *Sidecar) failed(ctx context.Context, r *run, length uint64, err error) *wire.End {
	end := &wire.End{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Length: length, Error: err.Error()}
	if ctx.Err() == nil && (s.down.Load() || !s.target.answers()) {
		end.TargetCrashed = true
		s.targetCrashed(r.fingerprint)
	}
	return end
}

func (s *Sidecar) headOf(resp *http.Response) *wire.Head {
	head := &wire.Head{
		Status:      int32(resp.StatusCode),
		Load:        s.Load(),
		Incarnation: uint64(s.cfg.Incarnation),
	}
	if cached, counted := cachedTokens(resp); counted {
		head.WarmTokens = uint32(cached)
	}
	for name, values := range resp.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return head
}

// await holds the run back while its reader is far behind.
func (r *run) await(ctx context.Context, length uint64) {
	for {
		r.mu.Lock()
		moved := r.moved
		free := r.readers == 0 || length <= r.read+windowBytes
		r.mu.Unlock()
		if free {
			return
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return
		}
	}
}

// wake tells the run that its readers changed. The caller holds mu.
func (r *run) wake() {
	close(r.moved)
	r.moved = make(chan struct{})
}

// runs holds the attempts that are at the target now. Its zero value is
// empty.
type runs struct {
	mu   sync.Mutex
	byID map[ident.AttemptID]*run
	// places are held by attempts from before admission until they end.
	places int
	// models counts the places by model.
	models map[ident.ModelName]int
	// solo says that the one place is held by a request that may only run
	// alone.
	solo bool
}

// reserve takes a place. A request that may only run alone gets one if there
// is no other, and then there is no other until it ends.
func (s *runs) reserve(model ident.ModelName, solo bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.solo || (solo && s.places > 0) {
		return false
	}
	if s.models == nil {
		s.models = make(map[ident.ModelName]int)
	}
	s.places++
	s.models[model]++
	s.solo = solo
	return true
}

// release gives a place back.
func (s *runs) release(model ident.ModelName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.places--
	s.models[model]--
	if s.models[model] == 0 {
		delete(s.models, model)
	}
	s.solo = false
}

func (s *runs) add(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = make(map[ident.AttemptID]*run)
	}
	s.byID[r.id] = r
}

func (s *runs) remove(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, r.id)
}

// inFlight returns the fingerprints of what is at the target.
func (s *runs) inFlight() []ident.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	fingerprints := make([]ident.Fingerprint, 0, len(s.byID))
	for _, r := range s.byID {
		fingerprints = append(fingerprints, r.fingerprint)
	}
	return fingerprints
}

// uses reports whether an attempt that holds a place runs on the model, or may
// once it is admitted.
func (s *runs) uses(model ident.ModelName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.models[model] > 0
}

// reader is one router's place in an answer.
type reader struct{ run *run }

// at notes how far the reader has come.
func (r *reader) at(offset uint64) {
	if r.run == nil {
		return
	}
	r.run.mu.Lock()
	defer r.run.mu.Unlock()
	if offset > r.run.read {
		r.run.read = offset
		r.run.wake()
	}
}

// attach adds a reader to a run. A run that has ended needs none.
func (s *runs) attach(id ident.AttemptID) *reader {
	s.mu.Lock()
	r := s.byID[id]
	s.mu.Unlock()
	if r == nil {
		return &reader{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	return &reader{run: r}
}

// detach takes a reader away. An idempotent run that nobody reads ends: at
// once if its caller has gone, else when no router comes back in time.
func (s *Sidecar) detach(reader *reader, canceled bool) {
	r := reader.run
	if r == nil || !r.leave() || r.once {
		return
	}
	if canceled {
		r.cancel()
		return
	}
	go func() {
		if s.cfg.Clock.Sleep(r.ctx, orphanTimeout) == nil && r.orphaned() {
			r.cancel()
		}
	}()
}

// leave takes one reader away and reports whether it was the last.
func (r *run) leave() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.wake()
	return r.readers == 0
}

func (r *run) orphaned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0
}

// held returns how many places are held.
func (s *runs) held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.places
}
