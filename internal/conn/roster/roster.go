// Package roster carries the list of targets that a platform keeps from the
// process that reads it to all others, as changes. A Book numbers the targets
// and counts its changes in steps; a View follows a Book.
package roster

import (
	"cmp"
	"slices"
	"sync"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// TargetNumber stands for a target in frames of one source.
type TargetNumber uint32

// Target is one target as the platform lists it.
type Target struct {
	// Number is set by the Book.
	Number  TargetNumber
	Name    ident.TargetName
	Service ident.ServiceName
	// Address is the target's IP:PORT.
	Address string
	Domain  ident.DomainName
	// Leaving targets take no new work.
	Leaving bool
	// Slots is the number of requests that the target runs at once.
	Slots int
}

// Publisher numbers targets. It is safe for concurrent use.
type Publisher struct {
	source string

	mu      sync.Mutex
	step    uint64
	next    TargetNumber
	targets map[ident.TargetName]*listed
	// gone are numbers of targets that left, with their step.
	gone    []departed
	changed chan struct{}
	// full is the whole list at the step that it names. All views that start get
	// the same one, which must not be changed.
	full *wire.Roster
}

type listed struct {
	target Target
	step   uint64
}

type departed struct {
	number TargetNumber
	step   uint64
}

// maxGone bounds the departures that are told one by one; a view that lacks
// more of them gets the whole list.
const maxGone = 256

// NewPublisher returns an empty book. The source names this start of the process.
func NewPublisher(source string) *Publisher {
	return &Publisher{source: source, targets: make(map[ident.TargetName]*listed), changed: make(chan struct{})}
}

// Source returns the name of the book.
func (b *Publisher) Source() string { return b.source }

// Replace replaces the list, and returns the targets that are new or changed and
// those that are gone. The first list always makes a step.
func (b *Publisher) Replace(list []Target) (changed, gone []Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	step := b.step + 1
	seen := make(map[ident.TargetName]bool, len(list))
	for _, target := range list {
		seen[target.Name] = true
		known := b.targets[target.Name]
		if known == nil {
			b.next++
			target.Number = b.next
			b.targets[target.Name] = &listed{target: target, step: step}
			changed = append(changed, target)
			continue
		}
		target.Number = known.target.Number
		if known.target != target {
			known.target, known.step = target, step
			changed = append(changed, target)
		}
	}
	for name, known := range b.targets {
		if !seen[name] {
			gone = append(gone, known.target)
			b.gone = append(b.gone, departed{number: known.target.Number, step: step})
			delete(b.targets, name)
		}
	}
	if len(changed)+len(gone) > 0 || b.step == 0 {
		b.advance(step)
	}
	return changed, gone
}

func (b *Publisher) advance(step uint64) {
	b.step = step
	if extra := len(b.gone) - maxGone; extra > 0 {
		b.gone = slices.Delete(b.gone, 0, extra)
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next step.
func (b *Publisher) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// DeltaSince returns what a view that stands at a step of a source lacks, nil if
// that is nothing.
func (b *Publisher) DeltaSince(source string, step uint64) *wire.Roster {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.step == 0 || (source == b.source && step == b.step) {
		return nil
	}
	if source != b.source || step > b.step || (len(b.gone) == maxGone && step < b.gone[0].step) {
		step = 0
	}
	if step > 0 {
		return b.since(step)
	}
	if b.full.GetStep() != b.step {
		b.full = b.since(0)
	}
	return b.full
}

// since makes what a view at a step lacks. The caller holds the lock.
func (b *Publisher) since(step uint64) *wire.Roster {
	out := &wire.Roster{Source: b.source, From: step, Step: b.step}
	for _, known := range b.targets {
		if known.step > step {
			out.Targets = append(out.Targets, encode(known.target))
		}
	}
	slices.SortFunc(out.GetTargets(), func(a, b *wire.RosterTarget) int { return cmp.Compare(a.GetNumber(), b.GetNumber()) })
	for _, left := range b.gone {
		if step > 0 && left.step > step {
			out.Gone = append(out.Gone, uint32(left.number))
		}
	}
	return out
}

func encode(t Target) *wire.RosterTarget {
	return &wire.RosterTarget{
		Number: uint32(t.Number), Name: string(t.Name), Service: string(t.Service), Address: t.Address,
		Domain: string(t.Domain), Leaving: t.Leaving, Slots: uint32(t.Slots),
	}
}

// View is a follower's copy of a book. Its zero value is empty and at no
// source. It is not safe for concurrent use.
type View struct {
	Source  string
	Step    uint64
	targets map[TargetNumber]Target
}

// Apply brings the view to a roster's step, and reports whether it fitted: one
// that begins after the view's step does not.
func (v *View) Apply(in *wire.Roster) bool {
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
		v.targets[TargetNumber(t.GetNumber())] = Target{
			Number: TargetNumber(t.GetNumber()), Name: ident.TargetName(t.GetName()),
			Service: ident.ServiceName(t.GetService()), Address: t.GetAddress(),
			Domain: ident.DomainName(t.GetDomain()), Leaving: t.GetLeaving(), Slots: int(t.GetSlots()),
		}
	}
	v.Source, v.Step = in.GetSource(), in.GetStep()
	return true
}

// Targets returns the targets in the order of their numbers.
func (v *View) Targets() []Target {
	list := make([]Target, 0, len(v.targets))
	for _, target := range v.targets {
		list = append(list, target)
	}
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.Number, b.Number) })
	return list
}
