// Package poison detects poison requests, which crash the targets that run
// them. Control holds a Tracker, which records crashes with the requests then
// in flight and derives a verdict on each request. Routers and sidecars hold
// the verdicts in a VerdictSet, which is cheap to look up.
package poison

import (
	"cmp"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Verdict is the judgment on the request with a given fingerprint. A higher
// value is more severe.
type Verdict uint8

// Verdicts, from least to most severe.
const (
	// VerdictNone means that no crash counts against the request.
	VerdictNone Verdict = iota
	// VerdictWatched means that one target crashed while it ran the request; a
	// router should not retry the request on its own. One direct crash is no
	// verdict.
	VerdictWatched
	// VerdictSuspect means that at least two targets crashed while they ran the
	// request, but that VerdictQuarantined does not apply; the request may only
	// run alone.
	VerdictSuspect
	// VerdictQuarantined means that two targets crashed while they ran only this
	// request, or that one did so after crashes of two targets, or that there were
	// MaxDirectCrashes; the request must not run.
	VerdictQuarantined
)

// Crash is one crash of a target that was running a request. All fields but At
// identify the crash.
type Crash struct {
	Target      ident.TargetName
	Incarnation ident.Incarnation
	Number      uint64
	// Alone is set if nothing else was in flight.
	Alone bool
	// Direct is set if a gate reported the crash.
	Direct bool
	At     time.Time
	// Sent is when the newest request in flight was sent that has the part of an entry
	// for a part; zero in other entries.
	Sent time.Time
	// ExplainedBy is the quarantined part of prompts that is held to be the cause of the
	// crash, 0 if there is none. It counts against nothing else while that lasts.
	ExplainedBy ident.Fingerprint
}

// Entry is the record of one fingerprint.
type Entry struct {
	Fingerprint ident.Fingerprint
	// Part is zero if the fingerprint is that of a request.
	Part Part
	// Crashes are the crashes after Cleared. Those with Alone set come first,
	// since they are the strongest evidence.
	Crashes []Crash
	// Cleared is when the request last completed while running alone, or a target last
	// survived the part; zero if it never did.
	Cleared time.Time
	// TrialBegan is when the last trial of the request began; zero if there was none.
	TrialBegan time.Time
	// QuarantinedAt is when a part was quarantined; zero if it is not.
	QuarantinedAt time.Time
}

// MaxCrashes is the maximum number of crashes kept per fingerprint.
const MaxCrashes = 8

// Verdict returns the verdict that follows from the crashes. A request is
// quarantined when two targets crashed while running it alone, when one did so
// after the request had become suspect, or when there were MaxDirectCrashes.
func (e *Entry) Verdict() Verdict {
	if e.isPart() {
		return e.partVerdict()
	}
	targets := e.countTargets(isReportedBySidecar)
	direct := len(e.directCrashTimes())
	switch {
	case e.countTargets(isAlone) >= 2, slices.ContainsFunc(e.Crashes, e.crashedAloneAsSuspect), direct >= MaxDirectCrashes:
		return VerdictQuarantined
	case targets >= 2, direct >= 2:
		return VerdictSuspect
	case targets == 1:
		return VerdictWatched
	}
	return VerdictNone
}

// crashedAloneAsSuspect reports whether a target crashed while running the
// request alone, after crashes of two different targets.
func (e *Entry) crashedAloneAsSuspect(crash Crash) bool {
	earlier := func(c Crash) bool { return c.At.Before(crash.At) }
	return crash.Alone && e.countTargets(earlier) >= 2
}

// countTargets returns the number of different targets among the crashes that
// match.
func (e *Entry) countTargets(match func(Crash) bool) int {
	var targets [MaxCrashes]ident.TargetName
	count := 0
	for _, crash := range e.Crashes {
		if crash.ExplainedBy == 0 && match(crash) && !slices.Contains(targets[:count], crash.Target) {
			targets[count] = crash.Target
			count++
		}
	}
	return count
}

func isAlone(c Crash) bool { return c.Alone }

func isReportedBySidecar(c Crash) bool { return !c.Direct }

// LastCrash returns the time of the newest crash, zero if there is none.
func (e *Entry) LastCrash() time.Time {
	var last time.Time
	for _, crash := range e.Crashes {
		if crash.At.After(last) {
			last = crash.At
		}
	}
	return last
}

// merge merges another entry of the same fingerprint into e. It is commutative,
// associative and idempotent as long as no more than MaxCrashes are held.
func (e *Entry) merge(other Entry) {
	if other.Cleared.After(e.Cleared) {
		e.Cleared = other.Cleared
	}
	if other.TrialBegan.After(e.TrialBegan) {
		e.TrialBegan = other.TrialBegan
	}
	if other.isPart() {
		e.Part, e.QuarantinedAt = other.Part, other.QuarantinedAt
	}
	for _, crash := range other.Crashes {
		e.addCrash(crash)
	}
	e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return !e.counts(c) })
}

// counts reports whether a crash counts after the last clearance of the entry.
func (e *Entry) counts(c Crash) bool {
	if e.isPart() {
		return c.Sent.After(e.Cleared)
	}
	return c.At.After(e.Cleared)
}

// addCrash adds one crash. Equal reports of the same crash are stored once, with
// the latest time.
func (e *Entry) addCrash(crash Crash) {
	i := slices.IndexFunc(e.Crashes, func(c Crash) bool { return compareCrashes(c, crash) == 0 })
	if i < 0 {
		e.Crashes = append(e.Crashes, crash)
	} else {
		e.Crashes[i].At = later(e.Crashes[i].At, crash.At)
		e.Crashes[i].Sent = later(e.Crashes[i].Sent, crash.Sent)
		e.Crashes[i].ExplainedBy = max(e.Crashes[i].ExplainedBy, crash.ExplainedBy)
	}
	slices.SortFunc(e.Crashes, compareCrashes)
	if len(e.Crashes) > MaxCrashes {
		e.dropCrash()
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// dropCrash drops the oldest direct crash, since the end of a quarantine follows from
// the newest ones. Without direct crashes it drops the last one by identity.
func (e *Entry) dropCrash() {
	drop := len(e.Crashes) - 1
	for i, crash := range e.Crashes {
		if crash.Direct && (!e.Crashes[drop].Direct || crash.At.Before(e.Crashes[drop].At)) {
			drop = i
		}
	}
	e.Crashes = slices.Delete(e.Crashes, drop, drop+1)
}

// compareCrashes orders crashes by identity, those with Alone set first.
func compareCrashes(a, b Crash) int {
	if a.Alone != b.Alone {
		if a.Alone {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.Target, b.Target),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Number, b.Number),
	)
}

// clone returns a copy that shares no memory with e.
func (e *Entry) clone() Entry {
	c := *e
	c.Crashes = slices.Clone(e.Crashes)
	return c
}
