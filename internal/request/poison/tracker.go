package poison

import (
	"cmp"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults of Config.
const (
	DefaultWindow     = 10 * time.Minute
	DefaultQuarantine = time.Hour
	// DefaultDirectQuarantine is short, since it may hit a request that only ran
	// beside the poison request.
	DefaultDirectQuarantine = time.Minute
	DefaultPartQuarantine   = 24 * time.Hour
	DefaultMaxFingerprints  = 1 << 14
)

// Config sets the limits of a Tracker. Zero fields take the defaults.
type Config struct {
	// Window is how long a crash counts against a request that is not
	// quarantined.
	Window time.Duration
	// Quarantine is how long a quarantined request is blocked after its last
	// crash.
	Quarantine time.Duration
	// DirectQuarantine is how long a request is blocked after MaxDirectCrashes. If it
	// then crashes one more target, it is blocked for Quarantine.
	DirectQuarantine time.Duration
	// PartQuarantine is how long a part of prompts is blocked after its last crash, once
	// its trials have crashed targets too.
	PartQuarantine time.Duration
	// MaxFingerprints is the maximum number of entries. The least severe ones
	// are dropped first, the oldest among equally severe ones.
	MaxFingerprints int
}

// Tracker records the crashes of all targets and derives a verdict on each
// request that was in flight. It is deterministic, so that replicas that apply
// the same reports agree. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	entries map[ident.Fingerprint]*Entry
}

// NewTracker returns an empty tracker.
func NewTracker(cfg Config) *Tracker {
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.Quarantine = cmp.Or(cfg.Quarantine, DefaultQuarantine)
	cfg.DirectQuarantine = cmp.Or(cfg.DirectQuarantine, DefaultDirectQuarantine)
	cfg.PartQuarantine = cmp.Or(cfg.PartQuarantine, DefaultPartQuarantine)
	cfg.MaxFingerprints = cmp.Or(cfg.MaxFingerprints, DefaultMaxFingerprints)
	return &Tracker{cfg: cfg, entries: make(map[ident.Fingerprint]*Entry)}
}

// CrashReport reports the crash of a target.
type CrashReport struct {
	Target ident.TargetName
	// Incarnation is that of the sidecar.
	Incarnation ident.Incarnation
	// Number is the crash's sequence number in the incarnation, starting at 1, so
	// that repeated reports of one crash are recognized. It is 0 if the sidecar
	// went down with its target.
	Number   uint64
	InFlight []ident.Fingerprint
	// Partial marks a report that lists only some of the requests in flight,
	// such as that of a router, which knows only its own. It is never evidence
	// that a request ran alone.
	Partial bool
}

// VerdictChange is a new verdict on a request. Expires is zero for VerdictNone.
type VerdictChange struct {
	Fingerprint ident.Fingerprint
	Verdict     Verdict
	Expires     time.Time
	// Part is zero if the fingerprint is that of a request.
	Part Part
}

// RecordCrash records a crash and returns the verdicts that it changed, ordered
// by fingerprint. It does not return the changes of entries that it expires or
// evicts; ActiveVerdicts has the whole state.
func (t *Tracker) RecordCrash(now time.Time, report CrashReport) []VerdictChange {
	t.Expire(now)
	inFlight := sortedUnique(report.InFlight)
	crash := Crash{
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
		if crash.At.After(entry.Cleared) {
			entry.addCrash(crash)
		}
		changes = t.appendChange(changes, entry, before)
	}
	t.evictExcess()
	return changes
}

// RecordCompletion clears a request that completed, unless it is quarantined. A
// sidecar reports a completion only if nothing else was in flight. It returns the
// verdict that it changed, if any.
func (t *Tracker) RecordCompletion(now time.Time, fingerprint ident.Fingerprint) []VerdictChange {
	t.Expire(now)
	entry, ok := t.entries[fingerprint]
	if !ok || t.verdict(now, entry) == VerdictQuarantined {
		return nil
	}
	return t.clear(now, entry)
}

// clear clears an entry of all crashes and returns the verdict that it changed, if any.
func (t *Tracker) clear(now time.Time, entry *Entry) []VerdictChange {
	before := entry.Verdict()
	entry.merge(Entry{Cleared: now})
	return t.appendChange(nil, entry, before)
}

// Verdict returns the verdict on a fingerprint at the given time.
func (t *Tracker) Verdict(now time.Time, fingerprint ident.Fingerprint) Verdict {
	entry, ok := t.entries[fingerprint]
	if !ok || !now.Before(t.expiry(entry)) {
		return VerdictNone
	}
	return t.verdict(now, entry)
}

// InFlightAtCrash returns the requests that were in flight when a target
// crashed and whose entries have not expired, ordered by fingerprint. A
// restarted sidecar fills its Blocklist with them.
func (t *Tracker) InFlightAtCrash(now time.Time, target ident.TargetName) []ident.Fingerprint {
	var found []ident.Fingerprint
	for fingerprint, entry := range t.entries {
		crashedHere := slices.ContainsFunc(entry.Crashes, func(c Crash) bool { return c.Target == target })
		if crashedHere && now.Before(t.expiry(entry)) {
			found = append(found, fingerprint)
		}
	}
	slices.Sort(found)
	return found
}

// Expire removes expired entries and returns the verdicts that this changed,
// ordered by fingerprint.
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

// Forget removes all that is known of a fingerprint, and returns the verdicts that this
// changed, that on the fingerprint in any case. What a part explained counts again.
func (t *Tracker) Forget(fingerprint ident.Fingerprint) []VerdictChange {
	delete(t.entries, fingerprint)
	diff := make(verdictDiff)
	t.withdrawExplanation(fingerprint, diff)
	return append([]VerdictChange{{Fingerprint: fingerprint}}, diff.changes(t)...)
}

// Entries returns copies of all entries, ordered by fingerprint.
func (t *Tracker) Entries() []Entry {
	entries := make([]Entry, 0, len(t.entries))
	for _, entry := range t.entries {
		entries = append(entries, entry.clone())
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// Merge adds the entries of another tracker.
func (t *Tracker) Merge(entries []Entry) {
	for _, other := range entries {
		t.entry(other.Fingerprint).merge(other)
	}
	t.evictExcess()
}

// ActiveVerdicts returns all verdicts other than VerdictNone, ordered by
// fingerprint, to fill an empty VerdictSet. That of a quarantined request expires when an
// early trial may begin.
func (t *Tracker) ActiveVerdicts(now time.Time) []VerdictChange {
	var changes []VerdictChange
	for fingerprint, entry := range t.entries {
		if t.Verdict(now, fingerprint) == VerdictNone {
			continue
		}
		change := t.change(entry)
		if change.Verdict == VerdictQuarantined {
			change.Expires = t.earlyTrialStart(entry)
		}
		changes = append(changes, change)
	}
	slices.SortFunc(changes, compareChanges)
	return changes
}

// entry returns the entry of a fingerprint, adding it if there is none.
func (t *Tracker) entry(fingerprint ident.Fingerprint) *Entry {
	entry, ok := t.entries[fingerprint]
	if !ok {
		entry = &Entry{Fingerprint: fingerprint}
		t.entries[fingerprint] = entry
	}
	return entry
}

// expiry returns when an entry expires: Window, or Quarantine if it is
// quarantined, after its last crash or its Cleared time, whichever is later.
func (t *Tracker) expiry(entry *Entry) time.Time {
	last := entry.LastCrash()
	if entry.Cleared.After(last) {
		last = entry.Cleared
	}
	switch {
	case entry.Verdict() != VerdictQuarantined:
		return last.Add(t.cfg.Window)
	case entry.isPart():
		return last.Add(t.cfg.PartQuarantine)
	}
	return last.Add(t.cfg.Quarantine)
}

// appendChange appends the entry's verdict if it differs from before.
func (t *Tracker) appendChange(changes []VerdictChange, entry *Entry, before Verdict) []VerdictChange {
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

// evictExcess removes entries above MaxFingerprints: the least severe first, the
// oldest among equally severe ones.
func (t *Tracker) evictExcess() {
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

// sortedUnique returns a sorted copy without duplicates.
func sortedUnique(fingerprints []ident.Fingerprint) []ident.Fingerprint {
	s := slices.Clone(fingerprints)
	slices.Sort(s)
	return slices.Compact(s)
}

func compareChanges(a, b VerdictChange) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) }
