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

const orderWait = 15 * time.Second

// runs reports whether the engine runs just the versions of m and the adapters.
func runs(e *engine.Engine, version string, adapters ...string) bool {
	d := e.Deployment()
	if len(d.Models) != 1 || d.Models[0] != (engine.LoadedModel{Name: "m", Version: version}) {
		return false
	}
	return len(d.Adapters) == len(adapters) && (len(adapters) == 0 || d.Adapters[0] == adapters[0])
}

// audited returns the subjects of the audit entries of a kind.
func (f *fleet) audited(kind audit.Kind) []string {
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

func (f *fleet) refusals() int { return len(f.audited(audit.KindRefused)) }

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
	target := targetOf("t", listener.Addr().String(), record.TargetModel{Name: "other"}, record.TargetModel{Name: "m", Version: "1"})
	target.ChecksFencing = true
	f.submit(modelRecord("1", "2"), &record.Model{Name: "other", Versions: []record.ModelVersion{{Name: "1"}}}, target)
	await(t, orderWait, "the model is loaded beside the other", func() bool { return len(e.Deployment().Models) == 2 })
	target.Models = target.Models[1:]
	f.submit(target)
	await(t, orderWait, "the other model is gone", func() bool { return runs(e, "1") })
	target.Models = []record.TargetModel{{Name: "m", Version: "2", Adapters: []string{"a"}}}
	target.Role = record.RolePrefill
	f.submit(target)
	await(t, orderWait, "version 2 is loaded", func() bool {
		return runs(e, "2", "a") && e.Deployment().Role == engine.RolePrefill
	})
	assert.Equal(t, e.Deployment().Fence, f.state.LastFence("t"))
	assert.DeepEqual(t, f.audited(audit.KindOrder), []string{"t", "t", "t", "t", "t"})
}

// orderGate holds orders back, as a frozen sidecar or a slow network does.
type orderGate struct {
	next http.Handler
	held atomic.Int32
	open chan struct{}
}

func (g *orderGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/orders" {
		g.held.Add(1)
		<-g.open
	}
	g.next.ServeHTTP(w, r)
}

// TestLateOrderOfAnOldSidecar starts a second sidecar while the first one's
// order is under way.
func TestLateOrderOfAnOldSidecar(t *testing.T) {
	tests := []struct {
		name   string
		checks bool
		// want is the version that the engine runs in the end.
		want string
	}{
		{name: "engine checks the fence", checks: true, want: "2"},
		// The window that is left: an order that was sent in time and
		// arrives later than settleTime.
		{name: "engine ignores the fence", want: "1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, permit.Limit{Rate: 100})
			e := engine.New(engine.Config{Models: []ident.ModelName{"m"}, CheckFencing: tt.checks})
			gate := &orderGate{open: make(chan struct{})}
			direct := f.startEngine(e, func(h http.Handler) http.Handler { gate.next = h; return h })
			gated := f.startEngine(engine.New(engine.Config{}), func(http.Handler) http.Handler { return gate })
			first, second := listen(t), listen(t)
			target := targetOf("t", first.Addr().String(), record.TargetModel{Name: "m", Version: "1"})
			target.ChecksFencing = tt.checks
			f.submit(modelRecord("1", "2"), target)
			f.startSidecar("t", gated, first)
			await(t, orderWait, "the first sidecar's order is under way", func() bool { return gate.held.Load() == 1 })
			target.Models[0].Version = "2"
			f.submit(target)
			f.startSidecar("t", direct, second)
			await(t, orderWait, "the second sidecar's order is done", func() bool { return runs(e, "2") })
			newest := f.state.LastFence("t")
			close(gate.open)
			if tt.checks {
				// The refused sidecar asks again and learns that it was replaced.
				await(t, orderWait, "the first sidecar has been refused", func() bool { return f.refusals() > 0 })
			} else {
				await(t, orderWait, "the late order has arrived", func() bool { return runs(e, "1") })
			}
			assert.Assert(t, runs(e, tt.want))
			assert.Equal(t, f.state.LastFence("t"), newest, "a sidecar that was replaced got no fence")
		})
	}
}

func TestReplacedSidecarGivesNoOrder(t *testing.T) {
	t.Parallel()
	f := newFleet(t, permit.Limit{Rate: 100})
	e := engine.New(engine.Config{Models: []ident.ModelName{"m"}})
	listener := listen(t)
	target := targetOf("t", listener.Addr().String(), record.TargetModel{Name: "m"})
	f.startSidecar("t", f.startEngine(e, nil), listener)
	f.register("t")
	target.Models[0].Version = "1"
	f.submit(modelRecord("1"), target)
	await(t, orderWait, "the order is refused", func() bool { return f.refusals() > 0 })
	assert.Assert(t, runs(e, ""))
	assert.Equal(t, f.state.LastFence("t"), ident.Fence(0))
}

// jumpClock is the system's clock with jumps, as a process sees it that was
// frozen.
type jumpClock struct {
	clock.System
	ahead atomic.Int64
}

func (c *jumpClock) Now() time.Time { return c.System.Now().Add(time.Duration(c.ahead.Load())) }

// TestFenceIsNotSentAfterAFreeze freezes the sidecar for a minute once its
// first fence is committed.
func TestFenceIsNotSentAfterAFreeze(t *testing.T) {
	t.Parallel()
	f := newFleet(t, permit.Limit{Rate: 100})
	frozen := new(jumpClock)
	f.clock = frozen
	var fences, sent atomic.Int32
	f.log.committed = func(entry []byte) {
		command, err := store.DecodeCommand(entry)
		if _, fence := command.GetBody().(*cmdpb.Command_Fence); err == nil && fence && fences.Add(1) == 1 {
			frozen.ahead.Store(int64(time.Minute))
		}
	}
	e := engine.New(engine.Config{Models: []ident.ModelName{"m"}})
	listener := listen(t)
	target := targetOf("t", listener.Addr().String(), record.TargetModel{Name: "m", Version: "1"})
	f.submit(modelRecord("1"), target)
	f.startSidecar("t", f.startEngine(e, func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/orders" {
				sent.Add(1)
			}
			h.ServeHTTP(w, r)
		})
	}), listener)
	await(t, orderWait, "the order is given", func() bool { return runs(e, "1") })
	assert.Equal(t, fences.Load(), int32(2))
	assert.Equal(t, sent.Load(), int32(1))
}

// TestRequestIsNotRunWhileItsModelLoads wants the evidence on which a router
// may try another target.
func TestRequestIsNotRunWhileItsModelLoads(t *testing.T) {
	t.Parallel()
	f := newFleet(t, permit.Limit{Rate: 100})
	e := engine.New(engine.Config{Models: []ident.ModelName{"other"}, OrderLatency: 2 * time.Second})
	listener := listen(t)
	n := f.startSidecar("t", f.startEngine(e, nil), listener)
	target := targetOf("t", n.address, record.TargetModel{Name: "m"})
	target.ChecksFencing = true
	f.submit(modelRecord("1"), target)
	await(t, orderWait, "the order is under way", func() bool { return f.state.LastFence("t") > 0 })
	c := f.newCaller()
	request := c.newChat(0, 10)
	refusal := c.attempt(n, request).refusal
	assert.Equal(t, refusal.GetReason(), wire.RefusalReason_REFUSAL_REASON_WRONG_TARGET)
	await(t, orderWait, "the model is loaded", func() bool { return c.attempt(n, request).refusal == nil })
}
