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

func idle(ident.ModelName) bool { return false }

func desire(version string) orders.Desired {
	return orders.Desired{Models: []record.TargetModel{{Name: "m", Version: version, Adapters: []string{"a"}}}}
}

func TestNextOrder(t *testing.T) {
	loaded := engine.Deployment{
		Models: []engine.LoadedModel{{Name: "m", Version: "1"}, {Name: "old"}}, Adapters: []string{"a"},
		Role: engine.RoleMixed,
	}
	prefill := desire("1")
	prefill.Role = engine.RolePrefill
	tests := []struct {
		name    string
		earlier ident.ModelName
		answer  *engine.Deployment
		listed  []ident.ModelName
		desired orders.Desired
		busy    bool
		want    engine.Order
	}{
		{name: "nothing known", desired: desire("1")},
		{name: "lacks the model", listed: []ident.ModelName{"x"}, desired: desire("1"), want: engine.Order{Kind: engine.OrderLoadModel, Model: "m", Version: "1"}},
		{name: "version not known", listed: []ident.ModelName{"m"}, desired: desire("1"), want: engine.Order{Kind: engine.OrderLoadModel, Model: "m", Version: "1"}},
		{name: "any version will do", listed: []ident.ModelName{"m"}, desired: desire(""), want: engine.Order{Kind: engine.OrderLoadAdapter, Model: "m", Adapter: "a"}},
		{name: "other version", answer: &loaded, desired: desire("2"), want: engine.Order{Kind: engine.OrderLoadModel, Model: "m", Version: "2"}},
		{name: "other role", answer: &loaded, desired: prefill, want: engine.Order{Kind: engine.OrderSetRole, Role: engine.RolePrefill}},
		{name: "model that was never asked for", answer: &loaded, desired: desire("1")},
		{name: "surplus model", earlier: "old", answer: &loaded, desired: desire("1"), want: engine.Order{Kind: engine.OrderUnloadModel, Model: "old"}},
		{name: "surplus model in use", earlier: "old", answer: &loaded, desired: desire("1"), busy: true},
		{name: "no record", answer: &loaded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var state orders.State
			if tt.answer != nil {
				state.Answered(*tt.answer)
			}
			if tt.listed != nil {
				state.List(tt.listed)
			}
			if tt.earlier != "" {
				state.Next(orders.Desired{Models: []record.TargetModel{{Name: tt.earlier}}}, idle)
			}
			got, found := state.Next(tt.desired, func(ident.ModelName) bool { return tt.busy })
			assert.Equal(t, got, tt.want)
			assert.Equal(t, found, tt.want != engine.Order{})
		})
	}
}

func TestFenceBelowTheHighestIsNotSent(t *testing.T) {
	var state orders.State
	_, err := state.Stamp(engine.Order{}, 5)
	assert.NilError(t, err)
	state.Refused(9)
	state.Forget()
	for _, fence := range []ident.Fence{4, 5, 9} {
		_, err = state.Stamp(engine.Order{}, fence)
		var stale *orders.StaleError
		assert.Assert(t, errors.As(err, &stale) && stale.Highest == 9, "%v", err)
	}
}

// TestRandomisedLateOrdersUndoNothing replaces sidecars while their orders are
// under way, which then arrive in any order.
func TestRandomisedLateOrdersUndoNothing(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 50}, func(t *testing.T, seed uint64) {
		undone, finished := newWorld(seed, true).run()
		assert.Equal(t, undone, 0)
		assert.Assert(t, finished, "the engine did not end as the newest sidecar wants")
	})
}

// TestLateOrdersUndoWhereNobodyChecks shows the fault that the fence is for.
func TestLateOrdersUndoWhereNobodyChecks(t *testing.T) {
	total := 0
	for seed := range uint64(50) {
		undone, _ := newWorld(seed+1, false).run()
		total += undone
	}
	assert.Assert(t, total > 0)
}

// world is an engine, the sidecars of its target, of which the last is the
// newest, and the orders under way between them.
type world struct {
	rand     *rand.Rand
	checks   bool
	fence    ident.Fence
	sidecars []*orders.State
	sent     []sentOrder
	seen     ident.Fence
	version  string
	undone   int
}

type sentOrder struct {
	from  int
	order engine.Order
}

func newWorld(seed uint64, checks bool) *world {
	return &world{rand: rand.New(rand.NewPCG(seed, 3)), checks: checks}
}

// versionOf is what a sidecar orders; each saw other records.
func versionOf(sidecar int) string { return string(rune('A' + sidecar)) }

const worldSteps = 200

func (w *world) run() (undone int, finished bool) {
	w.start()
	for range worldSteps {
		switch w.rand.IntN(10) {
		case 0:
			if len(w.sidecars) < 10 {
				w.start()
			}
		case 1, 2, 3:
			w.order(len(w.sidecars) - 1)
		default:
			w.deliver()
		}
	}
	for range worldSteps {
		w.order(len(w.sidecars) - 1)
		for len(w.sent) > 0 {
			w.deliver()
		}
	}
	return w.undone, w.version == versionOf(len(w.sidecars)-1)
}

func (w *world) start() {
	state := new(orders.State)
	state.List([]ident.ModelName{"m"})
	w.sidecars = append(w.sidecars, state)
}

// order has a sidecar fetch a fence and send what it wants next.
func (w *world) order(sidecar int) {
	state := w.sidecars[sidecar]
	order, found := state.Next(orders.Desired{Models: []record.TargetModel{{Name: "m", Version: versionOf(sidecar)}}}, idle)
	if !found {
		return
	}
	w.fence++
	if order, err := state.Stamp(order, w.fence); err == nil {
		w.sent = append(w.sent, sentOrder{from: sidecar, order: order})
	}
}

// deliver lets any one of the orders under way arrive.
func (w *world) deliver() {
	if len(w.sent) == 0 {
		return
	}
	i := w.rand.IntN(len(w.sent))
	s := w.sent[i]
	w.sent = append(w.sent[:i], w.sent[i+1:]...)
	state := w.sidecars[s.from]
	if s.order.Fence < w.seen {
		if w.checks {
			state.Refused(w.seen)
			state.Forget()
			state.List([]ident.ModelName{"m"})
			return
		}
		w.undone++
	}
	w.seen = max(w.seen, s.order.Fence)
	w.version = s.order.Version
	state.Answered(engine.Deployment{Fence: w.seen, Models: []engine.LoadedModel{{Name: "m", Version: w.version}}})
}
