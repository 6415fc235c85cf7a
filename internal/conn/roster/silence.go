package roster

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
)

const (
	// minSilentProcesses is the number of processes that a target must leave without an
	// answer. The link of a single one may be broken.
	minSilentProcesses = 2
	// answerPeriod is how long an answer to any process shows that a target is up.
	answerPeriod = 300 * time.Millisecond
	// A target is held silent for minSilenceHold, and twice as long each time that it is
	// silent again soon after, up to maxSilenceHold. Each time a few requests are lost that
	// find out.
	minSilenceHold = time.Second
	maxSilenceHold = 4 * time.Second
)

// maxTrackedTargets bounds the targets that a SilenceTracker keeps. Numbers of targets
// are not used again, so those of targets that are gone are dropped beyond it.
const maxTrackedTargets = 4096

// SilenceTracker finds the targets that answer no process, from what each process says of
// its own requests. A process hears of one target only a few times a second, so that each
// alone needs seconds to find all targets of a failure domain that has lost power. The
// zero value is ready for use. It is safe for concurrent use.
type SilenceTracker struct {
	mu      sync.Mutex
	targets map[TargetNumber]*targetSilence
	held    map[TargetNumber]*targetSilence
	// step counts the changes of held.
	step uint64
}

// targetSilence is what processes say of one target.
type targetSilence struct {
	// processes is the number of processes whose last report calls the target silent.
	processes int
	// answeredAt is when a process last reported an answer.
	answeredAt time.Time
	// heldAt and heldUntil are the period in which the target was last held silent.
	heldAt    time.Time
	heldUntil time.Time
}

// Report records the report of a process, which replaces its last one.
func (s *SilenceTracker) Report(now time.Time, process *ProcessLoads, in *wire.TargetLoads) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(process)
	for _, number := range in.GetTargets() {
		if !slices.Contains(in.GetSilent(), number) && !slices.Contains(in.GetAwaited(), number) {
			s.target(now, TargetNumber(number)).answeredAt = now
			s.end(now, TargetNumber(number))
		}
	}
	for _, number := range in.GetAnswered() {
		s.target(now, TargetNumber(number)).answeredAt = now
		s.end(now, TargetNumber(number))
	}
	for _, number := range in.GetSilent() {
		process.silent = append(process.silent, TargetNumber(number))
		t := s.target(now, TargetNumber(number))
		t.processes++
		s.begin(now, TargetNumber(number), t)
	}
}

// Remove forgets what a process has reported.
func (s *SilenceTracker) Remove(process *ProcessLoads) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(process)
}

func (s *SilenceTracker) forget(process *ProcessLoads) {
	for _, number := range process.silent {
		if t := s.targets[number]; t != nil {
			t.processes = max(0, t.processes-1)
		}
	}
	process.silent = process.silent[:0]
}

// target returns what is known of a target.
func (s *SilenceTracker) target(now time.Time, number TargetNumber) *targetSilence {
	t := s.targets[number]
	if t != nil {
		return t
	}
	if s.targets == nil {
		s.targets, s.held = make(map[TargetNumber]*targetSilence), make(map[TargetNumber]*targetSilence)
	}
	if len(s.targets) >= maxTrackedTargets {
		maps.DeleteFunc(s.targets, func(_ TargetNumber, t *targetSilence) bool {
			return t.processes == 0 && now.Sub(t.answeredAt) > maxSilenceHold && now.Sub(t.heldUntil) > maxSilenceHold
		})
	}
	t = new(targetSilence)
	s.targets[number] = t
	return t
}

// begin holds a target silent if enough processes call it so and none has heard of it.
func (s *SilenceTracker) begin(now time.Time, number TargetNumber, t *targetSilence) {
	if s.held[number] != nil || t.processes < minSilentProcesses || now.Sub(t.answeredAt) < answerPeriod {
		return
	}
	hold := minSilenceHold
	if !t.answeredAt.After(t.heldAt) && now.Sub(t.heldUntil) < maxSilenceHold {
		hold = min(2*t.heldUntil.Sub(t.heldAt), maxSilenceHold)
	}
	t.heldAt, t.heldUntil = now, now.Add(hold)
	s.held[number] = t
	s.step++
}

// end ends the period in which a target is held silent.
func (s *SilenceTracker) end(now time.Time, number TargetNumber) {
	if t := s.held[number]; t != nil {
		t.heldUntil = now
		delete(s.held, number)
		s.step++
	}
}

// List returns the targets that are held silent, in order, and the step of the list.
func (s *SilenceTracker) List(now time.Time) ([]TargetNumber, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var silent []TargetNumber
	for number, t := range s.held {
		if now.Before(t.heldUntil) {
			silent = append(silent, number)
			continue
		}
		delete(s.held, number)
		s.step++
	}
	slices.Sort(silent)
	return silent, s.step
}
