// Package orders decides which order a sidecar gives its engine next, from
// what the target's record asks for and what is known of the engine, and
// keeps a sidecar from sending an order with an old fence.
package orders

import (
	"fmt"

	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// StaleError says that a fence is not above the highest that the sidecar
// knows, so that no order may carry it.
type StaleError struct {
	Fence   ident.Fence
	Highest ident.Fence
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("fence %d is not above %d", e.Fence, e.Highest)
}

// Desired is what a target's record asks of its engine.
type Desired struct {
	Models []record.TargetModel
	// Role is empty where any will do.
	Role engine.Role
}

// State is what a sidecar knows of its engine and of the fences that went
// there. An engine lists its models but not their versions, adapters or role,
// which are known from its answers to orders alone. The zero State knows
// nothing. It is not safe for concurrent use.
type State struct {
	highest  ident.Fence
	listed   bool
	models   map[ident.ModelName]bool
	versions map[ident.ModelName]string
	adapters map[string]bool
	role     engine.Role
	// asked holds the models that the record has asked for at any time.
	asked map[ident.ModelName]bool
}

// Highest returns the highest fence that is known.
func (s *State) Highest() ident.Fence { return s.highest }

// List takes the models that the engine lists. What was known of one that is
// gone is forgotten.
func (s *State) List(models []ident.ModelName) {
	s.listed = true
	s.models = make(map[ident.ModelName]bool, len(models))
	for _, name := range models {
		s.models[name] = true
	}
	for name := range s.versions {
		if !s.models[name] {
			delete(s.versions, name)
		}
	}
}

// Forget drops what is known of the engine, as after its restart. The highest
// fence stays.
func (s *State) Forget() { *s = State{highest: s.highest, asked: s.asked} }

// Lacks reports whether the engine is known not to run a model.
func (s *State) Lacks(model ident.ModelName) bool { return s.listed && !s.models[model] }

// Next returns the order that brings the engine nearer to what is desired;
// false if there is none. A model is unloaded only if it was desired before,
// and not while busy reports it to be in use. Where a version is asked for and not known, it is ordered again.
func (s *State) Next(d Desired, busy func(ident.ModelName) bool) (engine.Order, bool) {
	if !s.listed || len(d.Models) == 0 {
		return engine.Order{}, false
	}
	s.ask(d)
	for _, m := range d.Models {
		if order, found := s.nextOf(m); found {
			return order, true
		}
	}
	if d.Role != "" && s.role != d.Role {
		return engine.Order{Kind: engine.OrderSetRole, Role: d.Role}, true
	}
	return s.unload(d, busy)
}

// ask remembers which models were desired.
func (s *State) ask(d Desired) {
	if s.asked == nil {
		s.asked = make(map[ident.ModelName]bool)
	}
	for _, m := range d.Models {
		s.asked[m.Name] = true
	}
}

// nextOf returns the order that a single model lacks.
func (s *State) nextOf(m record.TargetModel) (engine.Order, bool) {
	version, known := s.versions[m.Name]
	if !s.models[m.Name] || (m.Version != "" && (!known || version != m.Version)) {
		return engine.Order{Kind: engine.OrderLoadModel, Model: m.Name, Version: m.Version}, true
	}
	for _, adapter := range m.Adapters {
		if !s.adapters[adapter] {
			return engine.Order{Kind: engine.OrderLoadAdapter, Model: m.Name, Adapter: adapter}, true
		}
	}
	return engine.Order{}, false
}

// unload returns the order to drop a model that the record no longer names.
func (s *State) unload(d Desired, busy func(ident.ModelName) bool) (engine.Order, bool) {
	wanted := make(map[ident.ModelName]bool, len(d.Models))
	for _, m := range d.Models {
		wanted[m.Name] = true
	}
	var surplus ident.ModelName
	for name := range s.models {
		if s.asked[name] && !wanted[name] && !busy(name) && (surplus == "" || name < surplus) {
			surplus = name
		}
	}
	if surplus == "" {
		return engine.Order{}, false
	}
	return engine.Order{Kind: engine.OrderUnloadModel, Model: surplus}, true
}

// Stamp returns the order with its fence, which must be above every one that
// is known; otherwise the error is a *StaleError.
func (s *State) Stamp(order engine.Order, fence ident.Fence) (engine.Order, error) {
	if fence <= s.highest {
		return engine.Order{}, &StaleError{Fence: fence, Highest: s.highest}
	}
	s.highest = fence
	order.Fence = fence
	return order, nil
}

// Answered takes the engine's answer to an order.
func (s *State) Answered(d engine.Deployment) {
	s.Refused(d.Fence)
	s.listed = true
	s.models = make(map[ident.ModelName]bool, len(d.Models))
	s.versions = make(map[ident.ModelName]string, len(d.Models))
	for _, m := range d.Models {
		s.models[m.Name] = true
		s.versions[m.Name] = m.Version
	}
	s.adapters = make(map[string]bool, len(d.Adapters))
	for _, adapter := range d.Adapters {
		s.adapters[adapter] = true
	}
	s.role = d.Role
}

// Refused takes the fence with which the engine refused an older one.
func (s *State) Refused(fence ident.Fence) { s.highest = max(s.highest, fence) }

// Describe words an order for the audit log.
func Describe(o engine.Order) string {
	switch o.Kind {
	case engine.OrderLoadAdapter:
		return fmt.Sprintf("%s %s on %s", o.Kind, o.Adapter, o.Model)
	case engine.OrderSetRole:
		return fmt.Sprintf("%s %s", o.Kind, o.Role)
	case engine.OrderUnloadModel:
		return fmt.Sprintf("%s %s", o.Kind, o.Model)
	}
	return fmt.Sprintf("%s %s version %q", o.Kind, o.Model, o.Version)
}
