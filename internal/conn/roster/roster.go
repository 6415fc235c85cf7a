// Package roster sends the platform's list of targets from the process that
// reads it to all others, as deltas. A Publisher numbers the targets and
// increments the step, which is the version of the list, whenever the list
// changes. A View follows a Publisher.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// TargetNumber identifies a target in messages that name the same source.
type TargetNumber uint32

// Target is one target as the platform lists it.
type Target struct {
	// Number is assigned by the Publisher.
	Number  TargetNumber
	Name    ident.TargetName
	Service ident.ServiceName
	// Address is the target's IP:PORT.
	Address string
	Domain  ident.DomainName
	// Leaving targets take no new work.
	Leaving bool
	// Slots is the number of requests that the target can run concurrently.
	Slots int
	// Version is the version of the target's software.
	Version ident.SoftwareVersion
	// ColdUntil is the time until which the target can't handle its usual load, zero if
	// it can.
	ColdUntil time.Time
}

// coldTolerance is the difference between two statements of how long a target is cold up
// to which they are the same. It covers the delays of reading and sending the list.
const coldTolerance = 300 * time.Millisecond

// SameColdness reports whether two times until which a target is cold are the same but
// for coldTolerance. Times that have passed are the same.
func SameColdness(now, a, b time.Time) bool {
	difference := max(0, a.Sub(now)) - max(0, b.Sub(now))
	return difference.Abs() < coldTolerance
}

// Publisher holds the current list of targets and computes the deltas for
// views. It is safe for concurrent use.
type Publisher struct {
	source string

	mu         sync.Mutex
	step       uint64
	lastNumber TargetNumber
	targets    map[ident.TargetName]*entry
	// removals are the latest removals of targets, oldest first.
	removals []removal
	changed  chan struct{}
	// fullRoster is the whole list at the step that it names, built at fullRosterAt. It
	// is sent to all new views, so it must not be modified.
	fullRoster   *wire.Roster
	fullRosterAt time.Time
}

type entry struct {
	target Target
	step   uint64
}

type removal struct {
	number TargetNumber
	step   uint64
}

// maxColdRosterAge is how long a whole list with cold targets is sent unchanged, though
// the times that it holds are from its building.
const maxColdRosterAge = 20 * time.Millisecond

// maxRemovals bounds the removals that are kept for deltas. A view that lacks
// older ones gets the whole list.
const maxRemovals = 256

// NewPublisher returns a publisher with an empty list. The source is the name of
// the publisher; each start of a process must use a new one.
func NewPublisher(source string) *Publisher {
	return &Publisher{source: source, targets: make(map[ident.TargetName]*entry), changed: make(chan struct{})}
}

// Source returns the name of the publisher, which identifies it in messages.
func (p *Publisher) Source() string { return p.source }

// Replace replaces the list, and returns the targets that are new or changed and
// those that were removed. The first list always makes a step, even if it is
// empty. A target that is cold for as long as expected is not changed.
func (p *Publisher) Replace(now time.Time, list []Target) (changed, removed []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	step := p.step + 1
	seen := make(map[ident.TargetName]bool, len(list))
	for _, target := range list {
		seen[target.Name] = true
		known := p.targets[target.Name]
		if known == nil {
			p.lastNumber++
			target.Number = p.lastNumber
			p.targets[target.Name] = &entry{target: target, step: step}
			changed = append(changed, target)
			continue
		}
		target.Number = known.target.Number
		if SameColdness(now, known.target.ColdUntil, target.ColdUntil) {
			target.ColdUntil = known.target.ColdUntil
		}
		if known.target != target {
			known.target, known.step = target, step
			changed = append(changed, target)
		}
	}
	for name, known := range p.targets {
		if !seen[name] {
			removed = append(removed, known.target)
			p.removals = append(p.removals, removal{number: known.target.Number, step: step})
			delete(p.targets, name)
		}
	}
	if len(changed)+len(removed) > 0 || p.step == 0 {
		p.advance(step)
	}
	return changed, removed
}

func (p *Publisher) advance(step uint64) {
	p.step = step
	if excess := len(p.removals) - maxRemovals; excess > 0 {
		p.removals = slices.Delete(p.removals, 0, excess)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Targets returns the targets of the list in no particular order.
func (p *Publisher) Targets() []Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Target, 0, len(p.targets))
	for _, known := range p.targets {
		list = append(list, known.target)
	}
	return list
}

// Changed returns a channel that is closed at the next step.
func (p *Publisher) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// DeltaSince returns what a view at a step of a source lacks, or nil if it is up
// to date.
func (p *Publisher) DeltaSince(now time.Time, source string, step uint64) *wire.Roster {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.step == 0 || (source == p.source && step == p.step) {
		return nil
	}
	// A delta is not enough for a view of another publisher, or for one that lacks
	// removals that are no longer kept.
	if source != p.source || step > p.step || (len(p.removals) == maxRemovals && step < p.removals[0].step) {
		step = 0
	}
	if step > 0 {
		return p.buildDelta(now, step)
	}
	if p.fullRoster.GetStep() != p.step || (now.Sub(p.fullRosterAt) > maxColdRosterAge && hasCold(p.fullRoster)) {
		p.fullRoster, p.fullRosterAt = p.buildDelta(now, 0), now
	}
	return p.fullRoster
}

func hasCold(list *wire.Roster) bool {
	return slices.ContainsFunc(list.GetTargets(), func(t *wire.RosterTarget) bool { return t.GetColdMs() > 0 })
}

// buildDelta returns the changes after a step, or the whole list for step 0.
// The caller holds the lock.
func (p *Publisher) buildDelta(now time.Time, step uint64) *wire.Roster {
	out := &wire.Roster{Source: p.source, From: step, Step: p.step}
	for _, known := range p.targets {
		if known.step > step {
			out.Targets = append(out.Targets, encodeTarget(now, known.target))
		}
	}
	slices.SortFunc(out.GetTargets(), func(a, b *wire.RosterTarget) int { return cmp.Compare(a.GetNumber(), b.GetNumber()) })
	// The whole list replaces that of the view, so it needs no removals.
	for _, removed := range p.removals {
		if step > 0 && removed.step > step {
			out.Gone = append(out.Gone, uint32(removed.number))
		}
	}
	return out
}

func encodeTarget(now time.Time, t Target) *wire.RosterTarget {
	return &wire.RosterTarget{
		Number: uint32(t.Number), Name: string(t.Name), Service: string(t.Service), Address: t.Address,
		Domain: string(t.Domain), Leaving: t.Leaving, Slots: uint32(t.Slots), Version: string(t.Version),
		ColdMs: uint32(max(0, t.ColdUntil.Sub(now)).Milliseconds()),
	}
}

// View is a copy of a publisher's list. Its zero value is empty and follows no
// source. It is not safe for concurrent use.
type View struct {
	// Source and Step are those of the last roster that was applied.
	Source  string
	Step    uint64
	targets map[TargetNumber]Target
}

// Apply brings the view to the step of a roster. It returns false, and leaves
// the view unchanged, if the roster is a delta of another source or from a step
// after the view's.
func (v *View) Apply(now time.Time, in *wire.Roster) bool {
	if in.GetFrom() != 0 && (in.GetSource() != v.Source || in.GetFrom() > v.Step) {
		return false
	}
	if in.GetSource() == v.Source && in.GetStep() <= v.Step {
		return true
	}
	if in.GetFrom() == 0 || v.targets == nil {
		v.targets = make(map[TargetNumber]Target, len(in.GetTargets()))
	}
	for _, number := range in.GetGone() {
		delete(v.targets, TargetNumber(number))
	}
	for _, t := range in.GetTargets() {
		target := Target{
			Number: TargetNumber(t.GetNumber()), Name: ident.TargetName(t.GetName()),
			Service: ident.ServiceName(t.GetService()), Address: t.GetAddress(),
			Domain: ident.DomainName(t.GetDomain()), Leaving: t.GetLeaving(), Slots: int(t.GetSlots()),
			Version: ident.SoftwareVersion(t.GetVersion()),
		}
		if t.GetColdMs() > 0 {
			target.ColdUntil = now.Add(time.Duration(t.GetColdMs()) * time.Millisecond)
		}
		v.targets[target.Number] = target
	}
	v.Source, v.Step = in.GetSource(), in.GetStep()
	return true
}

// Targets returns the targets sorted by number.
func (v *View) Targets() []Target {
	list := make([]Target, 0, len(v.targets))
	for _, target := range v.targets {
		list = append(list, target)
	}
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.Number, b.Number) })
	return list
}
