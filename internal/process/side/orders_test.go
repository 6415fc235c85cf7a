package side_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/process/permit"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/store"
)

// waitTimeout limits each wait for a condition, unless the test sets its own.
const waitTimeout = 15 * time.Second

// engineRuns reports whether the engine runs exactly the given version of model m
// with the given adapters.
func engineRuns(e *engine.Engine, version string, adapters ...string) bool {
	d := e.Deployment()
	if len(d.Models) != 1 || d.Models[0] != (engine.LoadedModel{Name: "m", Version: version}) {
		return false
	}
	return len(d.Adapters) == len(adapters) && (len(adapters) == 0 || d.Adapters[0] == adapters[0])
}

// auditSubjects returns the subjects of all audit entries of a kind.
func (f *fleet) auditSubjects(kind audit.Kind) []string {
	entries, err := f.state.AuditAfter(0)
	assert.NilError(f.t, err)
	var subjects []string
	for _, entry := range entries {
		if entry.Kind == kind {
			subjects = append(subjects, entry.Subject)
		}
	}
	return subjects
}

func (f *fleet) refusalCount() int { return len(f.auditSubjects(audit.KindRefused)) }

func modelRecord(versions ...string) *record.Model {
	m := &record.Model{Name: "m"}
	for _, version := range versions {
		m.Versions = append(m.Versions, record.ModelVersion{Name: version, Adapters: []string{"a"}})
	}
	return m
}

func TestEngineFollowsItsRecord(t *testing.T) {
	t.Parallel()
	f := newFleet(t, permit.Limit{Rate: 100})
	e := engine.New(engine.Config{Models: []ident.ModelName{"other"}, CheckFencing: true})
	listener := listen(t)
	f.startSidecar("t", f.startEngine(e, nil), listener)
	target := targetRecord("t", listener.Addr().String(), record.TargetModel{Name: "other"}, record.TargetModel{Name: "m", Version: "1"})
	target.ChecksFencing = true
	f.applyRecords(modelRecord("1", "2"), &record.Model{Name: "other", Versions: []record.ModelVersion{{Name: "1"}}}, target)
	waitFor(t, waitTimeout, "model m is loaded beside the other model", func() bool { return len(e.Deployment().Models) == 2 })
	target.Models = target.Models[1:]
	f.applyRecords(target)
	waitFor(t, waitTimeout, "the other model is unloaded", func() bool { return engineRuns(e, "1") })
	target.Models = []record.TargetModel{{Name: "m", Version: "2", Adapters: []string{"a"}}}
	target.Role = record.RolePrefill
	f.applyRecords(target)
	waitFor(t, waitTimeout, "version 2 is loaded", func() bool {
		return engineRuns(e, "2", "a") && e.Deployment().Role == engine.RolePrefill
	})
	assert.Equal(t, e.Deployment().Fence, f.state.LastFence("t"))
	assert.DeepEqual(t, f.auditSubjects(audit.KindOrder), []string{"t", "t", "t", "t", "t"})
}

// orderGate delays orders to an engine until release is closed, as a frozen
// sidecar or a slow network would.
type orderGate struct {
	next       http.Handler
	heldOrders atomic.Int32
	release    chan struct{}
}

func (g *orderGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/orders" {
		g.heldOrders.Add(1)
		<-g.release
	}
	g.next.ServeHTTP(w, r)
}

// TestLateOrderOfReplacedSidecar guards against an order of a replaced sidecar
// that undoes a newer one. A second sidecar starts while the order of the first
// is in flight.
func TestLateOrderOfReplacedSidecar(t *testing.T) {
	tests := []struct {
		name        string
		checksFence bool
		// want is the version that the engine runs in the end.
		want string
	}{
		{name: "engine checks the fence", checksFence: true, want: "2"},
		// Known gap: an order that was sent in time but arrives after
		// firstOrderDelay is applied.
		{name: "engine ignores the fence", want: "1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, permit.Limit{Rate: 100})
			e := engine.New(engine.Config{Models: []ident.ModelName{"m"}, CheckFencing: tt.checksFence})
			gate := &orderGate{release: make(chan struct{})}
			// Both URLs lead to the engine e, gatedURL through the gate.
			directURL := f.startEngine(e, func(h http.Handler) http.Handler { gate.next = h; return h })
			gatedURL := f.startEngine(engine.New(engine.Config{}), func(http.Handler) http.Handler { return gate })
			first, second := listen(t), listen(t)
			target := targetRecord("t", first.Addr().String(), record.TargetModel{Name: "m", Version: "1"})
			target.ChecksFencing = tt.checksFence
			f.applyRecords(modelRecord("1", "2"), target)
			f.startSidecar("t", gatedURL, first)
			waitFor(t, waitTimeout, "the first sidecar's order is in flight", func() bool { return gate.heldOrders.Load() == 1 })
			target.Models[0].Version = "2"
			f.applyRecords(target)
			f.startSidecar("t", directURL, second)
			waitFor(t, waitTimeout, "the second sidecar's order is executed", func() bool { return engineRuns(e, "2") })
			newestFence := f.state.LastFence("t")
			close(gate.release)
			if tt.checksFence {
				// The first sidecar retries, requests a new fence and is refused.
				waitFor(t, waitTimeout, "the first sidecar has been refused", func() bool { return f.refusalCount() > 0 })
			} else {
				waitFor(t, waitTimeout, "the late order has arrived", func() bool { return engineRuns(e, "1") })
			}
			assert.Assert(t, engineRuns(e, tt.want))
			assert.Equal(t, f.state.LastFence("t"), newestFence, "a replaced sidecar must get no fence")
		})
	}
}

// TestReplacedSidecarGetsNoFence guards against a replaced sidecar that goes on
// sending orders. A second registration of the target replaces the first one.
func TestReplacedSidecarGetsNoFence(t *testing.T) {
	t.Parallel()
	f := newFleet(t, permit.Limit{Rate: 100})
	e := engine.New(engine.Config{Models: []ident.ModelName{"m"}})
	listener := listen(t)
	target := targetRecord("t", listener.Addr().String(), record.TargetModel{Name: "m"})
	f.startSidecar("t", f.startEngine(e, nil), listener)
	f.register("t")
	target.Models[0].Version = "1"
	f.applyRecords(modelRecord("1"), target)
	waitFor(t, waitTimeout, "the request for a fence is refused", func() bool { return f.refusalCount() > 0 })
	assert.Assert(t, engineRuns(e, ""))
	assert.Equal(t, f.state.LastFence("t"), ident.Fence(0))
}

// jumpClock is the system clock with an adjustable offset. A jump of the offset
// has the effect of a process that was frozen.
type jumpClock struct {
	clock.System
	offset atomic.Int64
}

func (c *jumpClock) Now() time.Time { return c.System.Now().Add(time.Duration(c.offset.Load())) }

// TestExpiredFenceIsNotSent guards against an order sent with an expired fence,
// after the order of a newer sidecar. The sidecar freezes for a minute once its
// first fence is committed.
func TestExpiredFenceIsNotSent(t *testing.T) {
	t.Parallel()
	f := newFleet(t, permit.Limit{Rate: 100})
	clk := new(jumpClock)
	f.clock = clk
	var fencesIssued, ordersSent atomic.Int32
	f.log.committed = func(entry []byte) {
		command, err := store.DecodeCommand(entry)
		if _, isFence := command.GetBody().(*cmdpb.Command_Fence); err == nil && isFence && fencesIssued.Add(1) == 1 {
			clk.offset.Store(int64(time.Minute))
		}
	}
	e := engine.New(engine.Config{Models: []ident.ModelName{"m"}})
	listener := listen(t)
	target := targetRecord("t", listener.Addr().String(), record.TargetModel{Name: "m", Version: "1"})
	f.applyRecords(modelRecord("1"), target)
	f.startSidecar("t", f.startEngine(e, func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/orders" {
				ordersSent.Add(1)
			}
			h.ServeHTTP(w, r)
		})
	}), listener)
	waitFor(t, waitTimeout, "the order is executed", func() bool { return engineRuns(e, "1") })
	assert.Equal(t, fencesIssued.Load(), int32(2))
	assert.Equal(t, ordersSent.Load(), int32(1))
}

// TestRequestIsRefusedWhileModelLoads guards against a request that fails because
// its model is not loaded yet. The sidecar must refuse it with a reason that
// lets the router try another target.
func TestRequestIsRefusedWhileModelLoads(t *testing.T) {
	t.Parallel()
	f := newFleet(t, permit.Limit{Rate: 100})
	e := engine.New(engine.Config{Models: []ident.ModelName{"other"}, OrderLatency: 2 * time.Second})
	listener := listen(t)
	sidecar := f.startSidecar("t", f.startEngine(e, nil), listener)
	target := targetRecord("t", sidecar.address, record.TargetModel{Name: "m"})
	target.ChecksFencing = true
	f.applyRecords(modelRecord("1"), target)
	waitFor(t, waitTimeout, "the order is in flight", func() bool { return f.state.LastFence("t") > 0 })
	c := f.newCaller()
	request := c.newChat(0, 10)
	refusal := c.submitAttempt(sidecar, request).refusal
	assert.Equal(t, refusal.GetReason(), wire.RefusalReason_REFUSAL_REASON_WRONG_TARGET)
	waitFor(t, waitTimeout, "the model is loaded", func() bool { return c.submitAttempt(sidecar, request).refusal == nil })
}
