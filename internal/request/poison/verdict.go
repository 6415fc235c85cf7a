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

// Site is one crash under a fingerprint. Target and Incarnation name it.
type Site struct {
	Target      ident.TargetName
	Incarnation ident.Incarnation
	// Alone says that nothing else was in flight.
	Alone bool
	At    time.Time
}

// Entry is what is known of one fingerprint.
type Entry struct {
	Fingerprint ident.Fingerprint
	// Sites are crashes after Cleared, most telling first.
	Sites []Site
	// Cleared is when the request last ran alone to its end, or zero.
	Cleared time.Time
}

// MaxSites bounds the crashes that are kept of one fingerprint.
const MaxSites = 8

// Verdict returns what the crashes mean. Two targets that crashed with only
// this request in flight, or two in company and a third alone, put it under
// quarantine.
func (e *Entry) Verdict() Verdict {
	targets, alone := e.distinct()
	switch {
	case alone >= 2, targets >= 3 && alone >= 1:
		return VerdictQuarantined
	case targets >= 2:
		return VerdictSuspect
	case targets == 1:
		return VerdictWatched
	}
	return VerdictNone
}

// distinct counts the different targets that crashed, and those that did with
// nothing else in flight.
func (e *Entry) distinct() (targets, alone int) {
	for i, site := range e.Sites {
		first := !slices.ContainsFunc(e.Sites[:i], func(o Site) bool { return o.Target == site.Target })
		if !first {
			continue
		}
		targets++
		// Crashes alone sort first, and so the first of a target tells.
		if site.Alone {
			alone++
		}
	}
	return targets, alone
}

// Last returns the time of the newest crash.
func (e *Entry) Last() time.Time {
	var last time.Time
	for _, site := range e.Sites {
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
	for _, site := range other.Sites {
		e.addSite(site)
	}
	e.Sites = slices.DeleteFunc(e.Sites, func(s Site) bool { return !s.At.After(e.Cleared) })
}

// addSite adds one crash. Reports of the same crash become one.
func (e *Entry) addSite(site Site) {
	i := slices.IndexFunc(e.Sites, func(s Site) bool {
		return s.Target == site.Target && s.Incarnation == site.Incarnation
	})
	if i < 0 {
		e.Sites = append(e.Sites, site)
	} else {
		e.Sites[i].Alone = e.Sites[i].Alone || site.Alone
		if site.At.After(e.Sites[i].At) {
			e.Sites[i].At = site.At
		}
	}
	slices.SortFunc(e.Sites, compareSites)
	if len(e.Sites) > MaxSites {
		e.Sites = e.Sites[:MaxSites]
	}
}

// compareSites puts crashes alone first.
func compareSites(a, b Site) int {
	if a.Alone != b.Alone {
		if a.Alone {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
}

// clone copies an entry so that it shares no memory.
func (e *Entry) clone() Entry {
	c := *e
	c.Sites = slices.Clone(e.Sites)
	return c
}
