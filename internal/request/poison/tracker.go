package poison

import (
	"cmp"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults of Config.
const (
	DefaultWindow          = 10 * time.Minute
	DefaultQuarantine      = time.Hour
	DefaultMaxFingerprints = 1 << 14
)

// Config sets the limits of a Tracker.
type Config struct {
	// Window is how long a crash counts against a request that is not under
	// quarantine.
	Window time.Duration
	// Quarantine is how long a request is blocked after its last crash.
	Quarantine time.Duration
	// MaxFingerprints bounds the memory. The least severe and oldest entries
	// go first.
	MaxFingerprints int
}

// Tracker holds the crashes of all targets and what they say about requests.
// It is deterministic, so that replicas that apply the same reports agree. It
// is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	entries map[ident.Fingerprint]*Entry
}

// NewTracker returns an empty tracker.
func NewTracker(cfg Config) *Tracker {
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.Quarantine = cmp.Or(cfg.Quarantine, DefaultQuarantine)
	cfg.MaxFingerprints = cmp.Or(cfg.MaxFingerprints, DefaultMaxFingerprints)
	return &Tracker{cfg: cfg, entries: make(map[ident.Fingerprint]*Entry)}
}

// CrashReport tells of a target's crash.
type CrashReport struct {
	Target ident.TargetName
	// Incarnation is the sidecar's, and Number counts the crashes that it saw,
	// from one on, so that reports of the same crash are known as such. Number
	// is zero when the sidecar went down with its target.
	Incarnation ident.Incarnation
	Number      uint64
	InFlight    []ident.Fingerprint
	// Partial marks the report of a router, which knows only its own part of
	// what was in flight. It never shows that a request ran alone.
	Partial bool
}

// VerdictChange is a new verdict. Expires is zero with VerdictNone.
type VerdictChange struct {
	Fingerprint ident.Fingerprint
	Verdict     Verdict
	Expires     time.Time
}

// RecordCrash takes a report and returns the verdicts that it changed, in the order
// of the fingerprints.
func (t *Tracker) RecordCrash(now time.Time, report CrashReport) []VerdictChange {
	t.Expire(now)
	inFlight := sorted(report.InFlight)
	site := Crash{
		Target:      report.Target,
		Incarnation: report.Incarnation,
		Number:      report.Number,
		Alone:       len(inFlight) == 1 && !report.Partial,
		At:          now,
	}
	var changes []VerdictChange
	for _, fingerprint := range inFlight {
		entry := t.entry(fingerprint)
		before := entry.Verdict()
		if site.At.After(entry.Cleared) {
			entry.addSite(site)
		}
		changes = t.noteChange(changes, entry, before)
	}
	t.shrink()
	return changes
}

// RecordRanAlone clears a request that ran to its end with nothing else in flight,
// unless it is under quarantine. It returns the verdict that it changed.
func (t *Tracker) RecordRanAlone(now time.Time, fingerprint ident.Fingerprint) []VerdictChange {
	t.Expire(now)
	entry, ok := t.entries[fingerprint]
	if !ok || entry.Verdict() == VerdictQuarantined {
		return nil
	}
	before := entry.Verdict()
	entry.merge(Entry{Cleared: now})
	return t.noteChange(nil, entry, before)
}

// Verdict returns what is held of a fingerprint.
func (t *Tracker) Verdict(now time.Time, fingerprint ident.Fingerprint) Verdict {
	entry, ok := t.entries[fingerprint]
	if !ok || !now.Before(t.expiry(entry)) {
		return VerdictNone
	}
	return entry.Verdict()
}

// InFlightAtCrash returns the requests that were in flight when a target crashed, in
// order, for the Recent of a sidecar that has restarted.
func (t *Tracker) InFlightAtCrash(now time.Time, target ident.TargetName) []ident.Fingerprint {
	var found []ident.Fingerprint
	for fingerprint, entry := range t.entries {
		here := slices.ContainsFunc(entry.Crashes, func(s Crash) bool { return s.Target == target })
		if here && now.Before(t.expiry(entry)) {
			found = append(found, fingerprint)
		}
	}
	slices.Sort(found)
	return found
}

// Expire forgets the entries whose time is over, and returns the verdicts that
// this changed.
func (t *Tracker) Expire(now time.Time) []VerdictChange {
	var changes []VerdictChange
	for fingerprint, entry := range t.entries {
		if now.Before(t.expiry(entry)) {
			continue
		}
		if entry.Verdict() != VerdictNone {
			changes = append(changes, VerdictChange{Fingerprint: fingerprint})
		}
		delete(t.entries, fingerprint)
	}
	slices.SortFunc(changes, compareChanges)
	return changes
}

// Entries returns all entries in the order of their fingerprints.
func (t *Tracker) Entries() []Entry {
	state := make([]Entry, 0, len(t.entries))
	for _, entry := range t.entries {
		state = append(state, entry.clone())
	}
	slices.SortFunc(state, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return state
}

// Merge adds the entries of another tracker.
func (t *Tracker) Merge(state []Entry) {
	for _, other := range state {
		t.entry(other.Fingerprint).merge(other)
	}
	t.shrink()
}

// ActiveVerdicts returns the verdicts in force, for a Set that starts empty.
func (t *Tracker) ActiveVerdicts(now time.Time) []VerdictChange {
	var changes []VerdictChange
	for fingerprint, entry := range t.entries {
		if verdict := t.Verdict(now, fingerprint); verdict != VerdictNone {
			changes = append(changes, VerdictChange{Fingerprint: fingerprint, Verdict: verdict, Expires: t.expiry(entry)})
		}
	}
	slices.SortFunc(changes, compareChanges)
	return changes
}

func (t *Tracker) entry(fingerprint ident.Fingerprint) *Entry {
	entry, ok := t.entries[fingerprint]
	if !ok {
		entry = &Entry{Fingerprint: fingerprint}
		t.entries[fingerprint] = entry
	}
	return entry
}

func (t *Tracker) expiry(entry *Entry) time.Time {
	last := entry.LastCrash()
	if entry.Cleared.After(last) {
		last = entry.Cleared
	}
	if entry.Verdict() == VerdictQuarantined {
		return last.Add(t.cfg.Quarantine)
	}
	return last.Add(t.cfg.Window)
}

func (t *Tracker) noteChange(changes []VerdictChange, entry *Entry, before Verdict) []VerdictChange {
	verdict := entry.Verdict()
	if verdict == before {
		return changes
	}
	change := VerdictChange{Fingerprint: entry.Fingerprint, Verdict: verdict}
	if verdict != VerdictNone {
		change.Expires = t.expiry(entry)
	}
	return append(changes, change)
}

// shrink drops the least severe and oldest entries above the limit.
func (t *Tracker) shrink() {
	excess := len(t.entries) - t.cfg.MaxFingerprints
	if excess <= 0 {
		return
	}
	entries := make([]*Entry, 0, len(t.entries))
	for _, entry := range t.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b *Entry) int {
		return cmp.Or(
			cmp.Compare(a.Verdict(), b.Verdict()),
			a.LastCrash().Compare(b.LastCrash()),
			cmp.Compare(a.Fingerprint, b.Fingerprint),
		)
	})
	for _, entry := range entries[:excess] {
		delete(t.entries, entry.Fingerprint)
	}
}

func sorted(fingerprints []ident.Fingerprint) []ident.Fingerprint {
	s := slices.Clone(fingerprints)
	slices.Sort(s)
	return slices.Compact(s)
}

func compareChanges(a, b VerdictChange) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) }
