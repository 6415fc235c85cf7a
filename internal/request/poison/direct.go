package poison

import (
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// MaxDirectCrashes is the number of direct crashes at which a request is
	// quarantined. One or two prove little, since a gate cannot run a suspect alone.
	MaxDirectCrashes = 3
	// minRestartTime is the shortest time in which a target restarts and crashes
	// again. Reports of crashes of one target within it are about one crash.
	minRestartTime = time.Second
)

// DirectCrash is the crash of a target without a sidecar, as a gate saw it that sent
// requests to the target.
type DirectCrash struct {
	Target ident.TargetName
	At     time.Time
	// InFlight are those requests of the gate that got no complete response. What
	// other gates had in flight is in their reports.
	InFlight []ident.Fingerprint
	// Parts are the parts of the prompts of these requests, but for the last of each
	// prompt and for requests that the target had begun to answer.
	Parts []PartInFlight
}

// RecordDirectCrash records a direct crash and returns the verdicts that it changed,
// ordered by fingerprint.
func (t *Tracker) RecordDirectCrash(now time.Time, crash DirectCrash) []VerdictChange {
	return t.recordDirectCrash(now, crash, t.isLikeliestCause)
}

// recordDirectCrash records a direct crash. isCause reports whether a part that was in flight
// is to be quarantined.
func (t *Tracker) recordDirectCrash(now time.Time, crash DirectCrash, isCause func(part *Entry) bool) []VerdictChange {
	t.Expire(now)
	diff := make(verdictDiff)
	report := Crash{Target: crash.Target, Direct: true, At: crash.At, ExplainedBy: t.explanation(crash.Target, crash.At)}
	for _, fingerprint := range sortedUnique(crash.InFlight) {
		entry := t.entry(fingerprint)
		diff.note(t, entry)
		if crash.At.After(entry.Cleared) {
			entry.addDirectCrash(report)
		}
	}
	t.recordPartCrashes(now, report, crash.Parts, isCause, diff)
	changes := diff.changes(t)
	t.evictExcess()
	return changes
}

// RecordDirectCrashByPart is RecordDirectCrash by the rules of earlier releases, which compare
// parts with no requests, and forget that requests were in flight at a crash once a
// quarantined part explains it.
func (t *Tracker) RecordDirectCrashByPart(now time.Time, crash DirectCrash) []VerdictChange {
	changes := t.recordDirectCrash(now, crash, t.isLikeliestPart)
	for _, entry := range t.entries {
		entry.Crashes = slices.DeleteFunc(entry.Crashes, func(c Crash) bool { return c.ExplainedBy != 0 })
	}
	return changes
}

// verdictDiff holds the verdicts on entries before a change.
type verdictDiff map[ident.Fingerprint]VerdictChange

// note keeps the verdict on an entry that is about to change.
func (d verdictDiff) note(t *Tracker, entry *Entry) {
	if _, found := d[entry.Fingerprint]; !found {
		d[entry.Fingerprint] = t.change(entry)
	}
}

// changes returns the verdicts that differ from those noted, ordered by fingerprint.
func (d verdictDiff) changes(t *Tracker) []VerdictChange {
	var changes []VerdictChange
	for fingerprint, before := range d {
		if after := t.change(t.entry(fingerprint)); after != before {
			changes = append(changes, after)
		}
	}
	slices.SortFunc(changes, compareChanges)
	return changes
}

// addDirectCrash adds a direct crash, unless another gate has reported the same one.
func (e *Entry) addDirectCrash(crash Crash) {
	for i := range e.Crashes {
		if e.Crashes[i].isSameDirect(crash) {
			e.Crashes[i].Sent = later(e.Crashes[i].Sent, crash.Sent)
			return
		}
	}
	// A crash is identified by its number, and no target counts its crashes here.
	crash.Number = uint64(crash.At.UnixNano())
	e.addCrash(crash)
}

// isSameDirect reports whether two direct crashes are one, as seen by two gates.
func (c Crash) isSameDirect(other Crash) bool {
	return c.Direct && other.Direct && c.Target == other.Target && c.At.Sub(other.At).Abs() < minRestartTime
}

// directCrashTimes returns the times of the direct crashes that no part explains, in
// ascending order. All of them count, also if a target restarts under the same name, since
// a restarted target is another instance.
func (e *Entry) directCrashTimes() []time.Time {
	var times []time.Time
	for _, crash := range e.Crashes {
		if crash.Direct && crash.ExplainedBy == 0 {
			times = append(times, crash.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// verdict returns the verdict on an entry at the given time. It is Entry.Verdict,
// except that the first quarantine by direct crashes lasts only for DirectQuarantine.
// The request is suspect after that, and one more crash quarantines it again.
func (t *Tracker) verdict(now time.Time, entry *Entry) Verdict {
	verdict := entry.Verdict()
	if verdict == VerdictQuarantined && !now.Before(t.quarantineEnd(entry)) {
		return VerdictSuspect
	}
	return verdict
}

// quarantineEnd returns when the quarantine of an entry ends. The first quarantine by
// direct crashes starts anew with each crash before its end, since the request may have
// been in flight already. A crash after its end extends it until the entry expires.
func (t *Tracker) quarantineEnd(entry *Entry) time.Time {
	if entry.isPart() {
		return t.partQuarantineEnd(entry)
	}
	times := entry.directCrashTimes()
	if len(times) < MaxDirectCrashes {
		return t.expiry(entry)
	}
	end := times[MaxDirectCrashes-1].Add(t.cfg.DirectQuarantine)
	for _, at := range times[MaxDirectCrashes:] {
		if !at.Before(end) {
			return t.expiry(entry)
		}
		end = at.Add(t.cfg.DirectQuarantine)
	}
	return end
}

// change returns the verdict on an entry, with its expiry if there is one. A request
// whose quarantine has ended stays in the list of verdicts, so that gates ask for a
// trial before they run it.
func (t *Tracker) change(entry *Entry) VerdictChange {
	change := VerdictChange{Fingerprint: entry.Fingerprint, Verdict: entry.Verdict(), Part: entry.Part}
	switch change.Verdict {
	case VerdictNone:
	case VerdictQuarantined:
		change.Expires = t.quarantineEnd(entry)
	default:
		change.Expires = t.expiry(entry)
	}
	return change
}
