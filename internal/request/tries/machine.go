package tries

import (
	"strconv"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

type phase uint8

const (
	phaseIdle phase = iota
	phaseTrying
	phaseClaiming
	phaseBurying
	phaseReleasing
	phaseDone
)

// attempt is one attempt and, while live, its open stream.
type attempt struct {
	id          ident.AttemptID
	target      ident.TargetName
	incarnation ident.Incarnation
	stream      StreamID
	status      int
	// silentAt is when an idempotent attempt has been silent for too long.
	silentAt time.Time
	// joinAt is when a waiting attempt is joined again.
	joinAt  time.Time
	live    bool
	waiting bool
	head    bool
	joined  bool
	// foreign marks the attempt of another router under the same ledger key.
	foreign bool
	// void marks an attempt that provably does not run.
	void bool
	// again marks an attempt whose target may be tried once more.
	again bool
}

// Machine decides for one request. It is not safe for concurrent use.
type Machine struct {
	cfg       Config
	phase     phase
	remaining []Candidate
	forward   Candidate
	attempts  []attempt
	record    Record
	actions   []Action

	streams  StreamID
	named    int
	winner   int
	resumes  int
	deadline time.Time
	hedgeAt  time.Time

	// pending is the candidate for which the ledger key is being claimed, and
	// pendingID its attempt.
	pending   Candidate
	pendingID ident.AttemptID
	// holder is the attempt that holds the ledger key, if the router knows.
	holder ident.AttemptID
	// buried is the index in attempts of the one that is being buried.
	buried int
	// buryAt is when that is asked for, zero once it has been.
	buryAt    time.Time
	takeovers int
	refusal   refusal

	claimed bool
	// releasing says that the request has no target left, and that a claim is
	// looked into only for its answer.
	releasing bool
	doubt     bool
	gone      bool
	// stale says that a target was tried again with fresh news.
	stale bool
}

const nobody = -1

// New returns the machine of one request.
func New(cfg Config) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg:      cfg,
		winner:   nobody,
		buried:   nobody,
		attempts: make([]attempt, 0, cfg.MaxAttempts+cfg.MaxTakeovers),
		actions:  make([]Action, 0, MaxAttemptsLimit),
	}
	m.record.Attempts = make([]AttemptRecord, 0, cap(m.attempts))
	m.record.Request, m.record.Customer, m.record.Once = cfg.Request, cfg.Customer, cfg.Once
	return m
}

// Record returns how the request was decided so far. It shares memory with the
// machine.
func (m *Machine) Record() *Record { return &m.record }

// Done reports whether the request has ended.
func (m *Machine) Done() bool { return m.phase == phaseDone }

// NextTimeout returns when the machine must be given EventTimeout, unless it has
// ended by then.
func (m *Machine) NextTimeout() time.Time {
	wake := m.deadline
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.waiting && a.joinAt.Before(wake) {
			wake = a.joinAt
		}
		if a.live && !m.cfg.Once && a.silentAt.Before(wake) {
			wake = a.silentAt
		}
	}
	if m.mayHedge() && m.hedgeAt.Before(wake) {
		wake = m.hedgeAt
	}
	if !m.buryAt.IsZero() && m.buryAt.Before(wake) {
		wake = m.buryAt
	}
	return wake
}

// Step takes one event and returns what to do, in order. The slice is valid
// until the next Step.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.actions = m.actions[:0]
	if m.phase == phaseDone {
		return nil
	}
	if m.phase != phaseIdle && !now.Before(m.deadline) {
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
		m.onBlocked(now, e)
	case EventLedgerClaimed, EventLedgerHeld, EventLedgerSettled, EventLedgerReleased, EventLedgerUnknown:
		m.onLedger(now, e)
	case EventTombstoned, EventAttemptSeen, EventTombstoneUnknown:
		m.onBury(now, e)
	default:
		m.onStream(now, e)
	}
}

func (m *Machine) start(now time.Time, candidates []Candidate) {
	if m.phase != phaseIdle {
		return
	}
	m.phase = phaseTrying
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
	m.next(now)
}

// next sends the request to the next candidate, after claiming the ledger key
// where there is one, or ends it when there is none.
func (m *Machine) next(now time.Time) {
	if m.gone {
		m.finishNotRun(now)
		return
	}
	candidate, ok := m.pick()
	if !ok {
		m.exhausted(now)
		return
	}
	if !m.keyed() {
		m.send(now, candidate, m.nextID(), false)
		return
	}
	m.pending, m.pendingID = candidate, m.nextID()
	m.claim()
}

// pick takes the first candidate that was not tried yet.
func (m *Machine) pick() (Candidate, bool) {
	if m.named >= m.cfg.MaxAttempts {
		return Candidate{}, false
	}
	if m.forward.Target != "" {
		candidate := m.forward
		m.forward = Candidate{}
		return candidate, true
	}
	if m.cfg.Plan != nil {
		return m.proposed()
	}
	for len(m.remaining) > 0 {
		candidate := m.remaining[0]
		m.remaining = m.remaining[1:]
		if !m.tried(candidate.Target) {
			return candidate, true
		}
	}
	return Candidate{}, false
}

func (m *Machine) tried(target ident.TargetName) bool {
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.target == target && !a.foreign && !a.again {
			return true
		}
	}
	return false
}

// nextID names the next attempt; the first one costs no allocation.
func (m *Machine) nextID() ident.AttemptID {
	m.named++
	if m.named == 1 {
		return ident.AttemptID(m.cfg.Request)
	}
	return ident.AttemptID(string(m.cfg.Request) + "." + strconv.Itoa(m.named))
}

// send submits a new attempt. Each attempt is submitted once; what is sent
// again only joins, and so a refusal of the Submit proves that it never runs.
func (m *Machine) send(now time.Time, candidate Candidate, id ident.AttemptID, hedge bool) {
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

func (m *Machine) openStream(now time.Time, index int) {
	a := &m.attempts[index]
	m.phase = phaseTrying
	m.streams++
	a.stream = m.streams
	a.live = true
	a.waiting = false
	a.head = false
	a.silentAt = now.Add(m.cfg.IdleTimeout)
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

// join opens another stream of an attempt, from where the answer broke off.
func (m *Machine) join(now time.Time, index int) {
	m.resumes++
	m.attempts[index].joined = true
	m.record.Attempts[index].Joined = true
	m.record.Attempts[index].Resumes++
	m.record.Attempts[index].Result = ResultOpen
	m.openStream(now, index)
}

func (m *Machine) keyed() bool { return m.cfg.Once && m.cfg.LedgerKey != "" }

func (m *Machine) anyLive() bool {
	for i := range m.attempts {
		if m.attempts[i].live || m.attempts[i].waiting {
			return true
		}
	}
	return false
}

// close ends the router's interest in a stream.
func (m *Machine) close(now time.Time, index int, result Result) {
	m.attempts[index].live = false
	m.attempts[index].waiting = false
	m.attempts[index].void = result == ResultRefused || result == ResultUnsent || result == ResultTombstoned
	m.record.Attempts[index].Result = result
	m.record.Attempts[index].Ended = now
}

// cancel closes an open stream from the router's side.
func (m *Machine) cancel(now time.Time, index int, result Result, stop bool) {
	a := &m.attempts[index]
	m.close(now, index, result)
	m.actions = append(m.actions, Action{
		Kind:    ActionCancel,
		Stream:  a.stream,
		Attempt: a.id,
		Target:  a.target,
		Stop:    stop,
	})
}

func (m *Machine) cancelOthers(now time.Time, keep int, stop bool) {
	for i := range m.attempts {
		if i == keep {
			continue
		}
		if m.attempts[i].waiting {
			m.doubt = true
			m.close(now, i, ResultBroken)
		}
		if m.attempts[i].live {
			m.doubt = true
			m.cancel(now, i, ResultCanceled, stop)
		}
	}
}
