package orders_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/process/orders"
	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

func neverInUse(ident.ModelName) bool { return false }

func desiredModel(version string) orders.Desired {
	return orders.Desired{Models: []record.TargetModel{{Name: "m", Version: version, Adapters: []string{"a"}}}}
}

func TestNextOrder(t *testing.T) {
	loadedOld := engine.Deployment{
		Models: []engine.LoadedModel{{Name: "m", Version: "1"}, {Name: "old"}}, Adapters: []string{"a"},
		Role: engine.RoleMixed,
	}
	withPrefillRole := desiredModel("1")
	withPrefillRole.Role = engine.RolePrefill
	tests := []struct {
		name              string
		previouslyDesired ident.ModelName
		deployment        *engine.Deployment
		listed            []ident.ModelName
		desired           orders.Desired
		inUse             bool
		want              engine.Order
	}{
		{name: "engine state unknown", desired: desiredModel("1")},
		{name: "model missing", listed: []ident.ModelName{"x"}, desired: desiredModel("1"), want: engine.Order{Kind: engine.OrderLoadModel, Model: "m", Version: "1"}},
		{name: "loaded version unknown", listed: []ident.ModelName{"m"}, desired: desiredModel("1"), want: engine.Order{Kind: engine.OrderLoadModel, Model: "m", Version: "1"}},
		{name: "any version desired", listed: []ident.ModelName{"m"}, desired: desiredModel(""), want: engine.Order{Kind: engine.OrderLoadAdapter, Model: "m", Adapter: "a"}},
		{name: "different version loaded", deployment: &loadedOld, desired: desiredModel("2"), want: engine.Order{Kind: engine.OrderLoadModel, Model: "m", Version: "2"}},
		{name: "different role", deployment: &loadedOld, desired: withPrefillRole, want: engine.Order{Kind: engine.OrderSetRole, Role: engine.RolePrefill}},
		{name: "extra model never desired", deployment: &loadedOld, desired: desiredModel("1")},
		{name: "extra model desired earlier", previouslyDesired: "old", deployment: &loadedOld, desired: desiredModel("1"), want: engine.Order{Kind: engine.OrderUnloadModel, Model: "old"}},
		{name: "extra model in use", previouslyDesired: "old", deployment: &loadedOld, desired: desiredModel("1"), inUse: true},
		{name: "no models desired", deployment: &loadedOld},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var state orders.EngineState
			if tt.deployment != nil {
				state.ObserveDeployment(*tt.deployment)
			}
			if tt.listed != nil {
				state.ObserveModels(tt.listed)
			}
			if tt.previouslyDesired != "" {
				state.NextOrder(orders.Desired{Models: []record.TargetModel{{Name: tt.previouslyDesired}}}, neverInUse)
			}
			got, found := state.NextOrder(tt.desired, func(ident.ModelName) bool { return tt.inUse })
			assert.Equal(t, got, tt.want)
			assert.Equal(t, found, tt.want != engine.Order{})
		})
	}
}

func TestFenceNotAboveHighestIsRejected(t *testing.T) {
	var state orders.EngineState
	_, err := state.AssignFence(engine.Order{}, 5)
	assert.NilError(t, err)
	state.ObserveFence(9)
	state.Forget()
	for _, fence := range []ident.Fence{4, 5, 9} {
		_, err = state.AssignFence(engine.Order{}, fence)
		var stale *orders.StaleFenceError
		assert.Assert(t, errors.As(err, &stale) && stale.Highest == 9, "%v", err)
	}
}

// TestRandomisedLateOrdersAreRejected guards against an order of a replaced
// sidecar that overwrites a newer one. It starts new sidecars while orders are
// in flight and delivers the orders in random sequence.
func TestRandomisedLateOrdersAreRejected(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 50}, func(t *testing.T, seed uint64) {
		overwrites, converged := newSimulation(seed, true).run()
		assert.Equal(t, overwrites, 0)
		assert.Assert(t, converged, "the engine does not run the version that the newest sidecar desires")
	})
}

// TestLateOrdersOverwriteWithoutFenceCheck shows the fault that fences prevent:
// an engine that ignores them applies late orders over newer ones.
func TestLateOrdersOverwriteWithoutFenceCheck(t *testing.T) {
	totalOverwrites := 0
	for seed := range uint64(50) {
		overwrites, _ := newSimulation(seed+1, false).run()
		totalOverwrites += overwrites
	}
	assert.Assert(t, totalOverwrites > 0)
}

// simulation models an engine, the sidecars of its target and the orders in
// flight between them. The last sidecar is the newest.
type simulation struct {
	rand                  *rand.Rand
	engineChecksFence     bool
	lastIssuedFence       ident.Fence
	sidecars              []*orders.EngineState
	ordersInFlight        []inFlightOrder
	highestDeliveredFence ident.Fence
	engineVersion         string
	overwrites            int
}

type inFlightOrder struct {
	sidecar int
	order   engine.Order
}

func newSimulation(seed uint64, engineChecksFence bool) *simulation {
	return &simulation{rand: rand.New(rand.NewPCG(seed, 3)), engineChecksFence: engineChecksFence}
}

// versionForSidecar returns the version that a sidecar orders. It differs for
// each sidecar, as if the record had changed before each start.
func versionForSidecar(sidecar int) string { return string(rune('A' + sidecar)) }

const simulationSteps = 200

func (s *simulation) run() (overwrites int, converged bool) {
	s.startSidecar()
	for range simulationSteps {
		switch s.rand.IntN(10) {
		case 0:
			if len(s.sidecars) < 10 {
				s.startSidecar()
			}
		case 1, 2, 3:
			s.sendOrder(len(s.sidecars) - 1)
		default:
			s.deliverRandom()
		}
	}
	for range simulationSteps {
		s.sendOrder(len(s.sidecars) - 1)
		for len(s.ordersInFlight) > 0 {
			s.deliverRandom()
		}
	}
	return s.overwrites, s.engineVersion == versionForSidecar(len(s.sidecars)-1)
}

func (s *simulation) startSidecar() {
	state := new(orders.EngineState)
	state.ObserveModels([]ident.ModelName{"m"})
	s.sidecars = append(s.sidecars, state)
}

// sendOrder gives a sidecar a new fence and puts its next order in flight.
func (s *simulation) sendOrder(sidecar int) {
	state := s.sidecars[sidecar]
	order, found := state.NextOrder(orders.Desired{Models: []record.TargetModel{{Name: "m", Version: versionForSidecar(sidecar)}}}, neverInUse)
	if !found {
		return
	}
	s.lastIssuedFence++
	if order, err := state.AssignFence(order, s.lastIssuedFence); err == nil {
		s.ordersInFlight = append(s.ordersInFlight, inFlightOrder{sidecar: sidecar, order: order})
	}
}

// deliverRandom delivers a randomly chosen order to the engine.
func (s *simulation) deliverRandom() {
	if len(s.ordersInFlight) == 0 {
		return
	}
	i := s.rand.IntN(len(s.ordersInFlight))
	sent := s.ordersInFlight[i]
	s.ordersInFlight = append(s.ordersInFlight[:i], s.ordersInFlight[i+1:]...)
	state := s.sidecars[sent.sidecar]
	if sent.order.Fence < s.highestDeliveredFence {
		if s.engineChecksFence {
			state.ObserveFence(s.highestDeliveredFence)
			state.Forget()
			state.ObserveModels([]ident.ModelName{"m"})
			return
		}
		s.overwrites++
	}
	s.highestDeliveredFence = max(s.highestDeliveredFence, sent.order.Fence)
	s.engineVersion = sent.order.Version
	state.ObserveDeployment(engine.Deployment{Fence: s.highestDeliveredFence, Models: []engine.LoadedModel{{Name: "m", Version: s.engineVersion}}})
}
