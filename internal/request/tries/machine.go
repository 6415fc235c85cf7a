package tries

import (
	"strconv"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// phase is the state of a Machine. The order matters: onQuarantined tests for
// the phases up to phaseAttempting.
type phase uint8

const (
	phaseNotStarted  phase = iota // before EventStart
	phaseAttempting               // attempts are sent or joined
	phaseClaiming                 // waits for the ledger's reply to a claim
	phaseTombstoning              // waits for tombstoneAt or the reply to a tombstone request
	phaseReleasing                // waits for the ledger's reply to a release
	phaseDone                     // after ActionFinish
)

// attempt is one attempt at a target and its latest stream.
type attempt struct {
	id          ident.AttemptID
	target      ident.TargetName
	incarnation ident.Incarnation
	stream      StreamID
	status      int
	// idleDeadline is when an idempotent attempt is given up unless it sends a
	// frame first.
	idleDeadline time.Time
	// rejoinAt is when an attempt with awaitingRejoin is joined again.
	rejoinAt       time.Time
	streamOpen     bool
	awaitingRejoin bool
	// headReceived says that a response head arrived on the latest stream.
	headReceived bool
	// joined says that the attempt was sent with Join.
	joined bool
	// fromOtherRouter marks an attempt of another router under the same ledger
	// key.
	fromOtherRouter bool
	// notRun marks an attempt that is known not to run.
	notRun bool
	// targetRetryable says that the target may be tried once more.
	targetRetryable bool
}

// Machine is the state machine of one request. It is not safe for concurrent
// use.
type Machine struct {
	cfg   Config
	phase phase
	// remaining holds the candidates not tried yet. It is used if there is no
	// Plan.
	remaining []Candidate
	// preferred, if set, is tried before all other candidates.
	preferred Candidate
	attempts  []attempt
	record    Record
	actions   []Action

	// lastStream is the ID of the newest stream.
	lastStream StreamID
	// assignedIDs counts the attempt IDs assigned so far.
	assignedIDs int
	// winner is the index in attempts of the one whose response goes to the
	// caller, or noAttempt.
	winner int
	// joins counts the joins of all attempts.
	joins    int
	deadline time.Time
	hedgeAt  time.Time

	// pending is the candidate for which the ledger key is being claimed, and
	// pendingID the ID of its attempt.
	pending   Candidate
	pendingID ident.AttemptID
	// claimHolder is the attempt that holds the ledger key, if known.
	claimHolder ident.AttemptID
	// tombstoneIndex is the index in attempts of the one whose target is asked
	// for a tombstone.
	tombstoneIndex int
	// tombstoneAt is when the tombstone is requested. It is zero once it has
	// been.
	tombstoneAt time.Time
	takeovers   int
	refusal     refusal

	// mayReleaseClaim says that this router may release the ledger claim of
	// claimHolder.
	mayReleaseClaim bool
	// heldOnRelease says that a release found the ledger key held by another
	// attempt. That attempt may still be joined. If it never runs, its claim is
	// released and the request ends, as there is no target left to try.
	heldOnRelease bool
	// mayHaveRun says that an attempt without a known outcome may have run.
	mayHaveRun bool
	callerGone bool
	// retriedStale says that a target was tried again after it refused because
	// the router's information was out of date.
	retriedStale bool
}

// noAttempt is the index that stands for no attempt.
const noAttempt = -1

// New returns the state machine of one request.
func New(cfg Config) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg:            cfg,
		winner:         noAttempt,
		tombstoneIndex: noAttempt,
		attempts:       make([]attempt, 0, cfg.MaxAttempts+cfg.MaxTakeovers),
		actions:        make([]Action, 0, MaxAttemptsLimit),
	}
	m.record.Attempts = make([]AttemptRecord, 0, cap(m.attempts))
	m.record.Request, m.record.Customer, m.record.Once = cfg.Request, cfg.Customer, cfg.Once
	return m
}

// Record returns the decisions made so far. It shares memory with the machine.
func (m *Machine) Record() *Record { return &m.record }

// Done reports whether the request has ended.
func (m *Machine) Done() bool { return m.phase == phaseDone }

// NextTimeout returns when the machine must be given EventTimeout, unless the
// request ends before.
func (m *Machine) NextTimeout() time.Time {
	next := m.deadline
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.awaitingRejoin && a.rejoinAt.Before(next) {
			next = a.rejoinAt
		}
		if a.streamOpen && !m.cfg.Once && a.idleDeadline.Before(next) {
			next = a.idleDeadline
		}
	}
	if m.canHedge() && m.hedgeAt.Before(next) {
		next = m.hedgeAt
	}
	if !m.tombstoneAt.IsZero() && m.tombstoneAt.Before(next) {
		next = m.tombstoneAt
	}
	return next
}

// Step handles one event and returns the actions to carry out, in order. The
// slice is valid until the next call of Step.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.actions = m.actions[:0]
	if m.phase == phaseDone {
		return nil
	}
	if m.phase != phaseNotStarted && !now.Before(m.deadline) {
		m.expire(now)
		return m.actions
	}
	m.handle(now, &e)
	return m.actions
}

func (m *Machine) handle(now time.Time, e *Event) {
	switch e.Kind {
	case EventStart:
		m.start(now, e.Candidates)
	case EventTimeout:
		m.onTimeout(now)
	case EventCallerGone:
		m.onCallerGone(now)
	case EventQuarantined:
		m.onQuarantined(now, e)
	case EventLedgerClaimed, EventLedgerHeld, EventLedgerSettled, EventLedgerReleased, EventLedgerUnknown:
		m.onLedgerReply(now, e)
	case EventTombstoned, EventAttemptSeen, EventTombstoneUnknown:
		m.onTombstoneReply(now, e)
	default:
		m.onStreamEvent(now, e)
	}
}

func (m *Machine) start(now time.Time, candidates []Candidate) {
	if m.phase != phaseNotStarted {
		return
	}
	m.phase = phaseAttempting
	m.deadline = m.cfg.Deadline
	if m.deadline.IsZero() {
		m.deadline = now.Add(DefaultTimeout)
	}
	m.record.Started = now
	m.record.Candidates = candidates
	m.remaining = candidates
	if !now.Before(m.deadline) {
		m.expire(now)
		return
	}
	m.tryNext(now)
}

// tryNext sends the request to the next candidate, after claiming the ledger
// key if the request has one. It ends the request if no candidate is left.
func (m *Machine) tryNext(now time.Time) {
	if m.callerGone {
		m.finishRefused(now)
		return
	}
	candidate, ok := m.nextCandidate()
	if !ok {
		m.finishExhausted(now)
		return
	}
	if !m.usesLedger() {
		m.submit(now, candidate, m.newAttemptID(), false)
		return
	}
	m.pending, m.pendingID = candidate, m.newAttemptID()
	m.claimLedger()
}

// nextCandidate returns the next candidate to try, or false if there is none or
// MaxAttempts is reached.
func (m *Machine) nextCandidate() (Candidate, bool) {
	if m.assignedIDs >= m.cfg.MaxAttempts {
		return Candidate{}, false
	}
	if m.preferred.Target != "" {
		candidate := m.preferred
		m.preferred = Candidate{}
		return candidate, true
	}
	if m.cfg.Plan != nil {
		return m.nextPlanned()
	}
	for len(m.remaining) > 0 {
		candidate := m.remaining[0]
		m.remaining = m.remaining[1:]
		if !m.excluded(candidate.Target) {
			return candidate, true
		}
	}
	return Candidate{}, false
}

// excluded reports whether this router tried target and may not try it again.
func (m *Machine) excluded(target ident.TargetName) bool {
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.target == target && !a.fromOtherRouter && !a.targetRetryable {
			return true
		}
	}
	return false
}

// newAttemptID returns the ID of the next attempt. The first ID is that of the
// request, which needs no allocation.
func (m *Machine) newAttemptID() ident.AttemptID {
	m.assignedIDs++
	if m.assignedIDs == 1 {
		return ident.AttemptID(m.cfg.Request)
	}
	return ident.AttemptID(string(m.cfg.Request) + "." + strconv.Itoa(m.assignedIDs))
}

// submit starts a new attempt. Each attempt is submitted only once and then
// only joined, so a refusal of the Submit proves that it never runs.
func (m *Machine) submit(now time.Time, candidate Candidate, id ident.AttemptID, hedge bool) {
	m.attempts = append(m.attempts, attempt{
		id:          id,
		target:      candidate.Target,
		incarnation: candidate.Incarnation,
	})
	m.record.Attempts = append(m.record.Attempts, AttemptRecord{
		Attempt: id,
		Target:  candidate.Target,
		Hedge:   hedge,
		Result:  ResultOpen,
		Sent:    now,
	})
	m.openStream(now, len(m.attempts)-1)
	if m.cfg.HedgeAfter > 0 {
		m.hedgeAt = now.Add(m.cfg.HedgeAfter)
	}
}

// openStream sends an attempt on a new stream and enters phaseAttempting.
func (m *Machine) openStream(now time.Time, index int) {
	a := &m.attempts[index]
	m.phase = phaseAttempting
	m.lastStream++
	a.stream = m.lastStream
	a.streamOpen = true
	a.awaitingRejoin = false
	a.headReceived = false
	a.idleDeadline = now.Add(m.cfg.IdleTimeout)
	m.actions = append(m.actions, Action{
		Kind:        ActionSend,
		Stream:      a.stream,
		Attempt:     a.id,
		Target:      a.target,
		Incarnation: a.incarnation,
		Offset:      uint64(m.record.Delivered),
		Join:        a.joined,
	})
}

// join sends an attempt on another stream, for the response from the next byte
// that the caller needs.
func (m *Machine) join(now time.Time, index int) {
	m.joins++
	m.attempts[index].joined = true
	m.record.Attempts[index].Joined = true
	m.record.Attempts[index].Joins++
	m.record.Attempts[index].Result = ResultOpen
	m.openStream(now, index)
}

// usesLedger reports whether the request runs under a ledger key.
func (m *Machine) usesLedger() bool { return m.cfg.Once && m.cfg.LedgerKey != "" }

// anyActive reports whether any attempt has an open stream or is to be joined
// again.
func (m *Machine) anyActive() bool {
	for i := range m.attempts {
		if m.attempts[i].streamOpen || m.attempts[i].awaitingRejoin {
			return true
		}
	}
	return false
}

// endAttempt records the result of an attempt. Later events of its stream are
// ignored.
func (m *Machine) endAttempt(now time.Time, index int, result Result) {
	m.attempts[index].streamOpen = false
	m.attempts[index].awaitingRejoin = false
	m.attempts[index].notRun = result == ResultRefused || result == ResultUnsent || result == ResultTombstoned
	m.record.Attempts[index].Result = result
	m.record.Attempts[index].Ended = now
}

// cancelAttempt closes the open stream of an attempt. With stop, the target is
// also asked to stop the attempt.
func (m *Machine) cancelAttempt(now time.Time, index int, result Result, stop bool) {
	a := &m.attempts[index]
	m.endAttempt(now, index, result)
	m.actions = append(m.actions, Action{
		Kind:    ActionCancel,
		Stream:  a.stream,
		Attempt: a.id,
		Target:  a.target,
		Stop:    stop,
	})
}

// cancelAllExcept cancels all active attempts except the one at index keep. It
// sets mayHaveRun if it cancels any.
func (m *Machine) cancelAllExcept(now time.Time, keep int, stop bool) {
	for i := range m.attempts {
		if i == keep {
			continue
		}
		if m.attempts[i].awaitingRejoin {
			m.mayHaveRun = true
			m.endAttempt(now, i, ResultBroken)
		}
		if m.attempts[i].streamOpen {
			m.mayHaveRun = true
			m.cancelAttempt(now, i, ResultCanceled, stop)
		}
	}
}
