package place

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// defaultLeavingGrace applies if the configuration does not set it.
	defaultLeavingGrace = time.Second
	// maxPause bounds a pause.
	maxPause = time.Hour
	// pauseSpread is the time over which the processes take up a target after a pause.
	pauseSpread = 400 * time.Millisecond
)

// notice is what a target said of itself and has not taken back. It ends with the listing
// of the target.
type notice struct {
	// leavingSince is when the target first said that it leaves, zero if it does not.
	leavingSince time.Time
	// pausedUntil is the end of the pause that the target asked this process for.
	pausedUntil time.Time
	// pauseInvalid is set while the target asks for pauses that cannot be used.
	pauseInvalid bool
}

// RecordLeaving records whether the target says that it leaves, in a response to an
// attempt that began at a time. A response to an older attempt takes nothing back. It
// reports whether the state changed.
func (b *Balancer) RecordLeaving(now, attemptedAt time.Time, t *Target, leaving bool) bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	since := &t.notice.leavingSince
	switch {
	case leaving == !since.IsZero():
		return false
	case leaving:
		*since = now
	case attemptedAt.Before(*since):
		return false
	default:
		*since = time.Time{}
	}
	return true
}

// RecordPause records that the target wants no requests of this process for a time. A
// pause never ends before an earlier one. It reports whether the target was not paused.
func (b *Balancer) RecordPause(now time.Time, t *Target, pause time.Duration) bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	began := !now.Before(t.notice.pausedUntil)
	t.notice.pauseInvalid = false
	until := now.Add(min(pause, maxPause) + b.pauseDelay(t))
	if until.After(t.notice.pausedUntil) {
		t.notice.pausedUntil = until
	}
	return began
}

// pauseDelay returns how long after a pause this process takes up the target. It differs
// between processes, so that they do not all begin at once.
func (b *Balancer) pauseDelay(t *Target) time.Duration {
	fraction := float64(mixBits(b.tieBreakKey^t.nameHash)>>11) / (1 << 53)
	return time.Duration(fraction * float64(pauseSpread))
}

// RecordInvalidPause records that a target asks for a pause that cannot be used. It
// reports whether the target has not done so since its last valid one.
func (b *Balancer) RecordInvalidPause(t *Target) bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	first := !t.notice.pauseInvalid
	t.notice.pauseInvalid = true
	return first
}

// wantsRequests reports whether the target takes new requests by its own word.
func (n *notice) wantsRequests(now time.Time) bool {
	return n.leavingSince.IsZero() && !now.Before(n.pausedUntil)
}

// endures reports whether the target may get a request if there is no other: one that has
// just said that it leaves still serves, but one that pauses gets nothing.
func (n *notice) endures(now time.Time, leavingGrace time.Duration) bool {
	if now.Before(n.pausedUntil) {
		return false
	}
	return n.leavingSince.IsZero() || now.Sub(n.leavingSince) < leavingGrace
}

// MaySend reports whether a request for which a target was chosen may still be sent to it.
func (b *Balancer) MaySend(now time.Time, t *Target) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	// A target that has left the list keeps its domain, but learns of no evacuation.
	return !b.evacuated[t.Domain] && t.notice.endures(now, b.cfg.LeavingGrace)
}

// PauseEnd returns when the first of the targets that may get a request ends its pause. It
// returns false if none of them pauses.
func (b *Balancer) PauseEnd(now time.Time, req *Request) (end time.Time, paused bool) {
	s := b.service(req.Service)
	if s == nil {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		if until := t.notice.pausedUntil; t.mayServe(req) && t.notice.leavingSince.IsZero() && now.Before(until) && (!paused || until.Before(end)) {
			end, paused = until, true
		}
	}
	return end, paused
}

// IsReturning reports whether the prompt of a request, including its last part, was sent
// lately.
func (b *Balancer) IsReturning(now time.Time, req *Request) bool {
	s := b.service(req.Service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isReturning(now, req)
}

// TargetNotice is a target that says that it leaves or asked for a pause.
type TargetNotice struct {
	Target ident.TargetName
	// LeavingSince and PausedUntil are zero if the target does not leave or pause.
	LeavingSince time.Time
	PausedUntil  time.Time
}

// Notices returns the targets that say that they leave or pause.
func (b *Balancer) Notices(now time.Time) []TargetNotice {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var list []TargetNotice
	for _, t := range b.byName {
		t.owner.mu.Lock()
		n := TargetNotice{Target: t.Name, LeavingSince: t.notice.leavingSince}
		if now.Before(t.notice.pausedUntil) {
			n.PausedUntil = t.notice.pausedUntil
		}
		t.owner.mu.Unlock()
		if !n.LeavingSince.IsZero() || !n.PausedUntil.IsZero() {
			list = append(list, n)
		}
	}
	return list
}
