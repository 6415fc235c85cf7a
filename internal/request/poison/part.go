package poison

import (
	"cmp"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// MaxPartCrashes is the number of direct crashes at which a part of prompts is
// quarantined, unless another part is a likelier cause.
const MaxPartCrashes = 4

// minSharedCrashes is how many crashes two parts have in common if one of them may be
// the cause of those of the other.
const minSharedCrashes = MaxPartCrashes - 1

// partQuarantines are the durations of the first quarantines of a part, each of which
// ends with a trial. After the last trial that crashes its target, the part is
// quarantined for Config.PartQuarantine.
var partQuarantines = [...]time.Duration{2 * time.Second, time.Minute}

// Part is a part of prompts, but the last of a prompt.
type Part struct {
	ID ident.PartID
	// Depth is the position of the part in its prompt, from 1. It is 0 in the zero
	// Part, which stands for a request.
	Depth int
}

// PartInFlight is a part of the prompts of requests that were in flight at a crash.
type PartInFlight struct {
	Part
	Fingerprint ident.Fingerprint
	// Sent is when the newest of these requests was sent to the target.
	Sent time.Time
	// Survived is when the gate last saw a target survive the part; zero if it did not.
	Survived time.Time
}

// RecordSurvival records that a target has begun to answer a request with a part of its
// prompt, and went on. Crashes of requests that were sent before no longer count
// against the part. It returns the verdict that it changed, if any.
func (t *Tracker) RecordSurvival(now time.Time, fingerprint ident.Fingerprint, at time.Time) []VerdictChange {
	t.Expire(now)
	entry, ok := t.entries[fingerprint]
	if !ok || !entry.isPart() {
		return nil
	}
	diff := make(verdictDiff)
	diff.note(t, entry)
	t.recordSurvival(entry, at, diff)
	return diff.changes(t)
}

// recordSurvival drops the crashes of requests that were sent before a part was
// survived, and releases the part if too few are left. What it explained then counts
// against the requests that were in flight.
func (t *Tracker) recordSurvival(entry *Entry, at time.Time, diff verdictDiff) {
	if !at.After(entry.Cleared) {
		return
	}
	entry.Cleared = at
	entry.Crashes = slices.DeleteFunc(entry.Crashes, func(c Crash) bool { return !entry.counts(c) })
	if len(entry.Crashes) < MaxPartCrashes && entry.quarantined() {
		entry.QuarantinedAt = time.Time{}
		t.withdrawExplanation(entry.Fingerprint, diff)
	}
}

// withdrawExplanation ends the explanation of crashes by a part that is not quarantined any
// more. Another quarantined part that was in flight explains them in its place.
func (t *Tracker) withdrawExplanation(part ident.Fingerprint, diff verdictDiff) {
	for _, entry := range t.entries {
		if !slices.ContainsFunc(entry.Crashes, func(c Crash) bool { return c.ExplainedBy == part }) {
			continue
		}
		diff.note(t, entry)
		for i := range entry.Crashes {
			if crash := &entry.Crashes[i]; crash.ExplainedBy == part {
				crash.ExplainedBy = t.explanation(crash.Target, crash.At)
			}
		}
	}
}

// recordPartCrashes records a crash for the parts that were in flight, and quarantines
// those that are its likeliest cause. A crash that a quarantined part explains counts
// against that part alone.
func (t *Tracker) recordPartCrashes(now time.Time, crash Crash, parts []PartInFlight, isCause func(*Entry) bool, diff verdictDiff) {
	explained := crash.ExplainedBy != 0
	crash.ExplainedBy = 0
	entries := make([]*Entry, 0, len(parts))
	for _, part := range parts {
		entry := t.entry(part.Fingerprint)
		diff.note(t, entry)
		entry.Part = part.Part
		t.recordSurvival(entry, part.Survived, diff)
		crash.Sent = part.Sent
		if entry.counts(crash) && (entry.quarantined() || !explained) {
			entry.addDirectCrash(crash)
		}
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(b.Part.Depth, a.Part.Depth), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	for _, entry := range entries {
		if !entry.quarantined() && isCause(entry) {
			entry.QuarantinedAt = now
		}
		if entry.quarantined() {
			t.explainCrashes(entry, diff)
		}
	}
}

// isLikeliestCause reports whether a part is to be quarantined: its crashes are not those of
// one quarantined request, and it is the likeliest part.
func (t *Tracker) isLikeliestCause(entry *Entry) bool {
	return t.isLikeliestPart(entry) && !t.hasRequestAsCause(entry)
}

// isLikeliestPart reports whether a part has MaxPartCrashes, and no part that it shares most
// of them with is a likelier cause.
func (t *Tracker) isLikeliestPart(entry *Entry) bool {
	if len(entry.Crashes) >= MaxCrashes {
		return true
	}
	if len(entry.Crashes) < MaxPartCrashes {
		return false
	}
	for _, other := range t.entries {
		if other != entry && other.isLikelierThan(entry) && other.sharedCrashes(entry) >= minSharedCrashes {
			return false
		}
	}
	return true
}

// hasRequestAsCause reports whether the crashes of a part are those of one quarantined
// request. The part is then no likelier cause than the request, which is held already, and
// other requests may have the part.
func (t *Tracker) hasRequestAsCause(part *Entry) bool {
	for _, entry := range t.entries {
		// A report of the last crash may still be on its way.
		if !entry.isPart() && entry.Verdict() == VerdictQuarantined && part.sharedCrashes(entry) >= len(part.Crashes)-1 {
			return true
		}
	}
	return false
}

// isLikelierThan reports whether a part is a likelier cause of crashes than another
// part. A part that no target has survived is likelier than one that some target has,
// then one with more crashes, then one further on in prompts, since a shared beginning
// is in flight at the crashes of all that follows it.
func (e *Entry) isLikelierThan(other *Entry) bool {
	if !e.isPart() || e.quarantined() {
		return false
	}
	if e.Cleared.IsZero() != other.Cleared.IsZero() {
		return e.Cleared.IsZero()
	}
	if e.Part.Depth > other.Part.Depth {
		// A report of the last crash may still be on its way.
		return len(e.Crashes) >= len(other.Crashes)-1
	}
	return len(e.Crashes) > len(other.Crashes)
}

// sharedCrashes returns the number of direct crashes that two entries have in common.
func (e *Entry) sharedCrashes(other *Entry) int {
	count := 0
	for _, crash := range e.Crashes {
		if other.hasDirect(crash) {
			count++
		}
	}
	return count
}

// hasDirect reports whether a direct crash counts against the entry.
func (e *Entry) hasDirect(crash Crash) bool {
	return slices.ContainsFunc(e.Crashes, crash.isSameDirect)
}

// explanation returns the quarantined part that was in flight at a direct crash, 0 if there
// was none. The crash is then no evidence against anything else.
func (t *Tracker) explanation(target ident.TargetName, at time.Time) ident.Fingerprint {
	var found ident.Fingerprint
	crash := Crash{Target: target, Direct: true, At: at}
	for fingerprint, entry := range t.entries {
		if entry.quarantined() && entry.hasDirect(crash) {
			found = max(found, fingerprint)
		}
	}
	return found
}

// explainCrashes explains the crashes of a quarantined part. They no longer count against
// the requests that were in flight, and are taken off other parts.
func (t *Tracker) explainCrashes(cause *Entry, diff verdictDiff) {
	for _, entry := range t.entries {
		if entry.quarantined() || !slices.ContainsFunc(entry.Crashes, cause.hasDirect) {
			continue
		}
		diff.note(t, entry)
		if entry.isPart() {
			entry.Crashes = slices.DeleteFunc(entry.Crashes, cause.hasDirect)
			continue
		}
		for i := range entry.Crashes {
			if crash := &entry.Crashes[i]; crash.ExplainedBy == 0 && cause.hasDirect(*crash) {
				crash.ExplainedBy = cause.Fingerprint
			}
		}
	}
}

// isPart reports whether the entry is that of a part of prompts.
func (e *Entry) isPart() bool { return e.Part.Depth > 0 }

// quarantined reports whether the entry is that of a part that is or was quarantined
// and that no target has survived since.
func (e *Entry) quarantined() bool { return !e.QuarantinedAt.IsZero() }

// partVerdict returns the verdict on a part. One crash is no verdict, since most parts in
// flight at a crash never are at another.
func (e *Entry) partVerdict() Verdict {
	switch {
	case e.quarantined():
		return VerdictQuarantined
	case len(e.Crashes) >= 2:
		return VerdictSuspect
	}
	return VerdictNone
}

// partQuarantineEnd returns when the quarantine of a part ends. A crash before its end
// starts it anew, since the request was in flight already. Each crash after its end
// leads to the next of partQuarantines, and the last one to the end of the entry.
func (t *Tracker) partQuarantineEnd(entry *Entry) time.Time {
	step := 0
	end := entry.QuarantinedAt.Add(partQuarantines[step])
	for _, at := range entry.directCrashTimes() {
		if !at.After(entry.QuarantinedAt) {
			continue
		}
		if !at.Before(end) {
			step++
		}
		if step == len(partQuarantines) {
			return t.expiry(entry)
		}
		end = at.Add(partQuarantines[step])
	}
	return end
}
