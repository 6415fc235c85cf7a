// Package orders decides which order a sidecar sends to its engine next. It
// compares the models, adapters and role in the target's record with what is
// known of the engine. It also keeps a sidecar from sending an order with a
// stale fence.
package orders

import (
	"fmt"

	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// StaleFenceError reports a fence that is not higher than every fence the
// sidecar knows of. No order may carry such a fence.
type StaleFenceError struct {
	Fence   ident.Fence
	Highest ident.Fence
}

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("fence %d is not higher than the highest known fence %d", e.Fence, e.Highest)
}

// Desired is the configuration that a target's record asks of its engine.
type Desired struct {
	Models []record.TargetModel
	// Role is empty if the engine may have any role.
	Role engine.Role
}

// EngineState holds what a sidecar knows of its engine, and the highest fence
// that it has assigned to an order or that the engine has reported.
//
// An engine lists its models, but reports their versions, its adapters and its
// role only in its answers to orders. The zero EngineState knows nothing. An
// EngineState is not safe for concurrent use.
type EngineState struct {
	highestFence  ident.Fence
	modelsKnown   bool
	loadedModels  map[ident.ModelName]bool
	knownVersions map[ident.ModelName]string
	knownAdapters map[string]bool
	knownRole     engine.Role
	// everDesired holds every model that the record has asked for so far.
	everDesired map[ident.ModelName]bool
}

// HighestFence returns the highest known fence.
func (s *EngineState) HighestFence() ident.Fence { return s.highestFence }

// ObserveModels records the models that the engine lists. It forgets the
// versions of models that are no longer listed.
func (s *EngineState) ObserveModels(models []ident.ModelName) {
	s.modelsKnown = true
	s.loadedModels = make(map[ident.ModelName]bool, len(models))
	for _, name := range models {
		s.loadedModels[name] = true
	}
	for name := range s.knownVersions {
		if !s.loadedModels[name] {
			delete(s.knownVersions, name)
		}
	}
}

// Forget discards what is known of the engine, for instance after it has
// restarted. It keeps the highest fence and the models desired so far.
func (s *EngineState) Forget() {
	*s = EngineState{highestFence: s.highestFence, everDesired: s.everDesired}
}

// LacksModel reports whether the engine is known not to run the model. It
// returns false while the engine's models are unknown.
func (s *EngineState) LacksModel(model ident.ModelName) bool {
	return s.modelsKnown && !s.loadedModels[model]
}

// NextOrder returns the next order that brings the engine closer to the desired
// configuration, or false if there is none. It returns false while the engine's
// models are unknown, and if no models are desired.
//
// NextOrder remembers the desired models. A model is unloaded only if it was
// desired in an earlier call and inUse reports that it is not in use. A model
// whose desired version cannot be confirmed, because the loaded version is
// unknown, is loaded again.
func (s *EngineState) NextOrder(desired Desired, inUse func(ident.ModelName) bool) (engine.Order, bool) {
	if !s.modelsKnown || len(desired.Models) == 0 {
		return engine.Order{}, false
	}
	s.recordDesired(desired)
	for _, m := range desired.Models {
		if order, found := s.nextModelOrder(m); found {
			return order, true
		}
	}
	if desired.Role != "" && s.knownRole != desired.Role {
		return engine.Order{Kind: engine.OrderSetRole, Role: desired.Role}, true
	}
	return s.nextUnload(desired, inUse)
}

// recordDesired adds the desired models to everDesired.
func (s *EngineState) recordDesired(desired Desired) {
	if s.everDesired == nil {
		s.everDesired = make(map[ident.ModelName]bool)
	}
	for _, m := range desired.Models {
		s.everDesired[m.Name] = true
	}
}

// nextModelOrder returns the next order for one desired model: to load its
// version or one of its adapters. It returns false if the model is complete.
func (s *EngineState) nextModelOrder(model record.TargetModel) (engine.Order, bool) {
	version, versionKnown := s.knownVersions[model.Name]
	if !s.loadedModels[model.Name] || (model.Version != "" && (!versionKnown || version != model.Version)) {
		return engine.Order{Kind: engine.OrderLoadModel, Model: model.Name, Version: model.Version}, true
	}
	for _, adapter := range model.Adapters {
		if !s.knownAdapters[adapter] {
			return engine.Order{Kind: engine.OrderLoadAdapter, Model: model.Name, Adapter: adapter}, true
		}
	}
	return engine.Order{}, false
}

// nextUnload returns the order to unload the first model, in order of name,
// that the record no longer asks for.
func (s *EngineState) nextUnload(desired Desired, inUse func(ident.ModelName) bool) (engine.Order, bool) {
	desiredModels := make(map[ident.ModelName]bool, len(desired.Models))
	for _, m := range desired.Models {
		desiredModels[m.Name] = true
	}
	var surplus ident.ModelName
	for name := range s.loadedModels {
		if s.everDesired[name] && !desiredModels[name] && !inUse(name) && (surplus == "" || name < surplus) {
			surplus = name
		}
	}
	if surplus == "" {
		return engine.Order{}, false
	}
	return engine.Order{Kind: engine.OrderUnloadModel, Model: surplus}, true
}

// AssignFence returns the order with the fence set, and records the fence as the
// highest one. If the fence is not higher than every known fence, it returns a
// *StaleFenceError.
func (s *EngineState) AssignFence(order engine.Order, fence ident.Fence) (engine.Order, error) {
	if fence <= s.highestFence {
		return engine.Order{}, &StaleFenceError{Fence: fence, Highest: s.highestFence}
	}
	s.highestFence = fence
	order.Fence = fence
	return order, nil
}

// ObserveDeployment records the deployment and the fence that the engine
// returns in answer to an order.
func (s *EngineState) ObserveDeployment(deployment engine.Deployment) {
	s.ObserveFence(deployment.Fence)
	s.modelsKnown = true
	s.loadedModels = make(map[ident.ModelName]bool, len(deployment.Models))
	s.knownVersions = make(map[ident.ModelName]string, len(deployment.Models))
	for _, m := range deployment.Models {
		s.loadedModels[m.Name] = true
		s.knownVersions[m.Name] = m.Version
	}
	s.knownAdapters = make(map[string]bool, len(deployment.Adapters))
	for _, adapter := range deployment.Adapters {
		s.knownAdapters[adapter] = true
	}
	s.knownRole = deployment.Role
}

// ObserveFence records a fence that the engine reports as its highest.
func (s *EngineState) ObserveFence(fence ident.Fence) { s.highestFence = max(s.highestFence, fence) }

// Describe returns the text of an order for the audit log.
func Describe(order engine.Order) string {
	switch order.Kind {
	case engine.OrderLoadAdapter:
		return fmt.Sprintf("%s %s on %s", order.Kind, order.Adapter, order.Model)
	case engine.OrderSetRole:
		return fmt.Sprintf("%s %s", order.Kind, order.Role)
	case engine.OrderUnloadModel:
		return fmt.Sprintf("%s %s", order.Kind, order.Model)
	}
	return fmt.Sprintf("%s %s version %q", order.Kind, order.Model, order.Version)
}
