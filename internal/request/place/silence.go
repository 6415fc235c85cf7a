package place

import (
	"time"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/wire"
)

const (
	// silenceReport is how long requests must have waited at a target without any answer
	// before control is told. A first token takes less, and other requests at the target
	// are answered meanwhile.
	silenceReport = 650 * time.Millisecond
	// answerReport is how long an answer of a target with nothing in flight is reported.
	answerReport = 300 * time.Millisecond
	// maxSilence bounds how long a target is left out that control has called silent, in
	// case the end of that does not arrive.
	maxSilence = 5 * time.Second
	// minAnsweringShare is the least share of the targets, one in so many, that must be
	// left when the silent ones are left out.
	minAnsweringShare = 4
)

// addSilence adds what the target has answered to this process to a report. The caller
// holds the lock of the service.
func (t *Target) addSilence(now time.Time, loads *wire.TargetLoads) {
	unreachable := t.health.consecutiveUnreachable > 0 && now.Before(t.health.ejectedUntil)
	switch {
	case unreachable || t.inFlight > 0 && now.Sub(t.lastActivity) >= silenceReport:
		loads.Silent = append(loads.Silent, uint32(t.Number))
	case t.inFlight > 0 && now.Sub(t.lastAnswer) >= silenceReport:
		loads.Awaited = append(loads.Awaited, uint32(t.Number))
	case t.inFlight == 0 && now.Sub(t.lastAnswer) < answerReport:
		loads.Answered = append(loads.Answered, uint32(t.Number))
	}
}

// SetSilent sets the targets that answer no process, by the numbers of a source.
func (b *Balancer) SetSilent(now time.Time, silence *wire.TargetSilence) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if silence.GetRosterSource() != b.rosterSource {
		return
	}
	listed := make(map[roster.TargetNumber]bool, len(silence.GetTargets()))
	for _, number := range silence.GetTargets() {
		listed[roster.TargetNumber(number)] = true
	}
	for number, t := range b.byNumber {
		t.owner.mu.Lock()
		switch {
		case !listed[number]:
			t.silentUntil = time.Time{}
		case !now.Before(t.silentUntil):
			t.silentUntil = now.Add(maxSilence)
		}
		t.owner.mu.Unlock()
	}
}

// withoutSilent returns the targets without those that answer no process. If too few are
// left, it returns all.
func withoutSilent(now time.Time, targets []*Target) []*Target {
	answering := make([]*Target, 0, len(targets))
	for _, t := range targets {
		if !now.Before(t.silentUntil) {
			answering = append(answering, t)
		}
	}
	if len(answering)*minAnsweringShare >= len(targets) {
		return answering
	}
	return targets
}

// IsSilent reports whether a target answers no process, as control has said.
func (b *Balancer) IsSilent(now time.Time, t *Target) bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	return now.Before(t.silentUntil)
}

// SilentCount returns the number of targets that answer no process.
func (b *Balancer) SilentCount(now time.Time) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	count := 0
	for _, t := range b.byName {
		if b.IsSilent(now, t) {
			count++
		}
	}
	return count
}
