// Package poison finds requests that crash each target that runs them. Control
// holds a Tracker of crashes and of the requests in flight at them; routers
// and sidecars hold a Set of its verdicts, which is cheap to ask.
package poison

import (
	"cmp"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Verdict is what is held of a fingerprint. A higher one is more severe.
type Verdict uint8

// Verdicts.
const (
	// VerdictNone means that nothing is held against the request.
	VerdictNone Verdict = iota
	// VerdictWatched means that one target crashed while it ran the request;
	// a router should not run it again by itself.
	VerdictWatched
	// VerdictSuspect means that two targets crashed while they ran the request
	// among others; it may only run alone.
	VerdictSuspect
	// VerdictQuarantined means that the request crashed targets alone; it must
	// not run.
	VerdictQuarantined
)

// Crash is one crash under a fingerprint. All fields but At name it.
type Crash struct {
	Target      ident.TargetName
	Incarnation ident.Incarnation
	Number      uint64
	// Alone says that nothing else was in flight.
	Alone bool
	At    time.Time
}

// Entry is what is known of one fingerprint.
type Entry struct {
	Fingerprint ident.Fingerprint
	// Crashes are crashes after Cleared, most telling first.
	Crashes []Crash
	// Cleared is when the request last ran alone to its end, or zero.
	Cleared time.Time
}

// MaxCrashes bounds the crashes that are kept of one fingerprint.
const MaxCrashes = 8

// Verdict returns what the crashes mean. A request is put under quarantine
// when two targets crashed with nothing else in flight, or when it was suspect
// and a target crashed under it alone after that.
func (e *Entry) Verdict() Verdict {
	targets := e.countTargets(func(Crash) bool { return true })
	switch {
	case e.countTargets(isAlone) >= 2, slices.ContainsFunc(e.Crashes, e.convicts):
		return VerdictQuarantined
	case targets >= 2:
		return VerdictSuspect
	case targets == 1:
		return VerdictWatched
	}
	return VerdictNone
}

// convicts reports whether a crash alone came after those of two targets.
func (e *Entry) convicts(site Crash) bool {
	earlier := func(s Crash) bool { return s.At.Before(site.At) }
	return site.Alone && e.countTargets(earlier) >= 2
}

// countTargets counts the different targets of the crashes that match.
func (e *Entry) countTargets(match func(Crash) bool) int {
	var targets [MaxCrashes]ident.TargetName
	count := 0
	for _, site := range e.Crashes {
		if match(site) && !slices.Contains(targets[:count], site.Target) {
			targets[count] = site.Target
			count++
		}
	}
	return count
}

func isAlone(s Crash) bool { return s.Alone }

// LastCrash returns the time of the newest crash.
func (e *Entry) LastCrash() time.Time {
	var last time.Time
	for _, site := range e.Crashes {
		if site.At.After(last) {
			last = site.At
		}
	}
	return last
}

// merge adds what another entry of the same fingerprint knows. It is
// commutative, associative and idempotent as long as MaxSites suffices.
func (e *Entry) merge(other Entry) {
	if other.Cleared.After(e.Cleared) {
		e.Cleared = other.Cleared
	}
	for _, site := range other.Crashes {
		e.addSite(site)
	}
	e.Crashes = slices.DeleteFunc(e.Crashes, func(s Crash) bool { return !s.At.After(e.Cleared) })
}

// addSite adds one crash. Reports of the same crash that agree become one, of
// the latest time.
func (e *Entry) addSite(site Crash) {
	i := slices.IndexFunc(e.Crashes, func(s Crash) bool { return compareSites(s, site) == 0 })
	if i < 0 {
		e.Crashes = append(e.Crashes, site)
	} else if site.At.After(e.Crashes[i].At) {
		e.Crashes[i].At = site.At
	}
	slices.SortFunc(e.Crashes, compareSites)
	if len(e.Crashes) > MaxCrashes {
		e.Crashes = e.Crashes[:MaxCrashes]
	}
}

// compareSites puts crashes alone first.
func compareSites(a, b Crash) int {
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

// clone copies an entry so that it shares no memory.
func (e *Entry) clone() Entry {
	c := *e
	c.Crashes = slices.Clone(e.Crashes)
	return c
}
