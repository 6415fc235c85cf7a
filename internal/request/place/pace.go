package place

import (
	"time"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/wire"
)

const (
	// slowPace is the pace above which a target counts as slow. It counts as lastingly slow
	// after lastingPeriod, by minSlowObservations observations or more. A moment's slowness
	// is over before the prompts of a target are read in elsewhere.
	slowPace            = 200
	lastingPeriod       = 500 * time.Millisecond
	minSlowObservations = 3
)

// ServerLoad is what a target says of its load.
type ServerLoad struct {
	// Running and Waiting are the requests that it runs and that wait there, of all gates,
	// and Slots the requests that it runs at a time.
	Running, Waiting, Slots int
	// Pace is how long work takes there, in percent of the usual time, 0 if it says nothing.
	Pace int
}

// speed is what is known of the pace of a target, from its responses and from control.
type speed struct {
	pace roster.Pace
	// told is the pace that control knows by this process, or this process by control.
	told roster.Pace
	// slowSince is when the pace rose above slowPace, zero if it is lower, and slowCount
	// the number of observations since then.
	slowSince time.Time
	slowCount int
	// slots is the number that the target said last, for targets listed without one.
	slots int
	// invalid is set while the target says of its load what cannot be used.
	invalid bool
}

// observe takes up a pace that is newer than what is known.
func (s *speed) observe(pace roster.Pace) {
	if pace.Percent == 0 || !pace.ObservedAt.After(s.pace.ObservedAt) {
		return
	}
	switch {
	case pace.Percent <= slowPace:
		s.slowSince, s.slowCount = time.Time{}, 0
	case s.slowSince.IsZero() || !s.pace.Current(pace.ObservedAt):
		s.slowSince, s.slowCount = pace.ObservedAt, 1
	default:
		s.slowCount++
	}
	s.pace = pace
}

// lasting reports whether the target has been slow for so long that it is likely to stay so.
func (s *speed) lasting(now time.Time) bool {
	return s.pace.Current(now) && s.slowCount >= minSlowObservations && s.pace.ObservedAt.Sub(s.slowSince) >= lastingPeriod
}

// RecordServerLoad records what a target says of its load. It reports whether the target
// has become lastingly slow, or has ceased to be.
func (b *Balancer) RecordServerLoad(now time.Time, t *Target, load ServerLoad) (changed, slow bool) {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	was := t.speed.lasting(now)
	t.speed.invalid = false
	t.speed.slots = load.Slots
	t.recordReport(now, load)
	t.speed.observe(roster.Pace{Percent: load.Pace, ObservedAt: now})
	slow = t.speed.lasting(now)
	return slow != was, slow
}

// RecordInvalidServerLoad records that a target says of its load what cannot be used. It
// reports whether the target has not done so since its last valid response.
func (b *Balancer) RecordInvalidServerLoad(t *Target) bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	first := !t.speed.invalid
	t.speed.invalid = true
	return first
}

// SlowCount returns the number of targets that are lastingly slow.
func (b *Balancer) SlowCount(now time.Time) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	count := 0
	for _, t := range b.byName {
		t.owner.mu.Lock()
		if t.speed.lasting(now) {
			count++
		}
		t.owner.mu.Unlock()
	}
	return count
}

// applyRemotePaces takes up the paces that other processes have heard. The caller holds
// the lock of the balancer.
func (b *Balancer) applyRemotePaces(now time.Time, loads *wire.TargetLoads) {
	for number, pace := range roster.DecodePaces(now, loads) {
		t := b.byNumber[number]
		if t == nil {
			continue
		}
		t.owner.mu.Lock()
		t.speed.observe(pace)
		if pace.ObservedAt.After(t.speed.told.ObservedAt) {
			t.speed.told = pace
		}
		t.owner.mu.Unlock()
	}
}

// addPace adds the pace of a target to a report if it is news to control, or if all is set
// and it is unusual. The caller holds the lock of the service.
func (t *Target) addPace(now time.Time, number roster.TargetNumber, all bool, out *wire.TargetLoads) {
	pace := t.speed.pace
	if !pace.Current(now) || (!pace.IsNews(t.speed.told) && (!all || !pace.Unusual())) {
		return
	}
	t.speed.told = pace
	roster.AppendPace(now, out, number, pace)
}
