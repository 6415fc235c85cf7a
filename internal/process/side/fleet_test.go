package side_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/process/permit"
	"cactusline.dev/cactusline/internal/process/side"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/store"
)

// fleet is a control process with a log of one member, and any number of engines
// with their sidecars, all in the test's process.
type fleet struct {
	t              *testing.T
	ctx            context.Context
	state          *store.Store
	log            *directLog
	controlAddress string
	nonce          uint64
	// clock, transferRate, transferTimeout and logger configure the sidecars
	// that are started later.
	clock           side.Clock
	transferRate    ident.Bytes
	transferTimeout time.Duration
	logger          log.Logger
}

// directLog is a log that applies each proposed entry at once.
type directLog struct {
	mu    sync.Mutex
	state *store.Store
	index uint64
	// committed, if not nil, is called after each entry is applied.
	committed func(entry []byte)
}

func (l *directLog) Propose(_ context.Context, entry []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	result := l.state.Apply(l.index, entry)
	if l.committed != nil {
		l.committed(entry)
	}
	return result, nil
}

func (l *directLog) Barrier(context.Context) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index, nil
}

// newFleet starts the control process of a fleet. The weightsLimit is the shared
// rate of fetches of model weights; zero fields take their defaults.
func newFleet(t *testing.T, weightsLimit permit.Limit) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	state := store.New(store.Config{})
	f := &fleet{t: t, ctx: ctx, state: state, log: &directLog{state: state}, clock: clock.System{}, logger: log.NewNopLogger()}
	listener := listen(t)
	f.controlAddress = listener.Addr().String()
	links := link.NewClient(link.Config{Clock: clock.System{}, Caller: "control"})
	t.Cleanup(func() { _ = links.Close() })
	control := ctrl.New(ctrl.Config{
		VM: "control", Listener: listener, Clock: clock.System{}, Logger: log.NewNopLogger(),
		Tracer: trace.NewNoop(), Log: f.log, Store: state, Link: links, WeightFetchLimit: weightsLimit,
	})
	go func() { _ = control.Run(ctx) }()
	return f
}

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

func (f *fleet) applyCommand(command *cmdpb.Command) *cmdpb.Result {
	f.t.Helper()
	command.Time = time.Now().UnixNano()
	entry, err := store.EncodeCommand(command)
	assert.NilError(f.t, err)
	data, err := f.log.Propose(f.ctx, entry)
	assert.NilError(f.t, err)
	result, err := store.DecodeResult(data)
	assert.NilError(f.t, err)
	assert.Equal(f.t, result.GetStatus(), cmdpb.Status_STATUS_OK, result.String())
	return result
}

// applyRecords creates records, or replaces existing ones of the same key.
func (f *fleet) applyRecords(values ...any) {
	f.t.Helper()
	body := new(cmdpb.ApplyRecords)
	for _, value := range values {
		r, err := record.New(value)
		assert.NilError(f.t, err)
		if old, found := f.state.Set().Get(r.Key()); found {
			r, err = r.WithVersion(old.Version())
			assert.NilError(f.t, err)
		}
		body.Records = append(body.Records, r.JSON())
	}
	f.applyCommand(&cmdpb.Command{Actor: "operator", Body: &cmdpb.Command_Apply{Apply: body}})
}

// register starts a new incarnation of a target's sidecar. From then on, control
// gives no more fences to earlier incarnations.
func (f *fleet) register(name ident.TargetName) ident.Incarnation {
	f.nonce++
	return ident.Incarnation(f.applyCommand(&cmdpb.Command{Actor: "sidecar", Body: &cmdpb.Command_Register{
		Register: &cmdpb.RegisterProcess{Process: "sidecar/" + string(name), Nonce: f.nonce},
	}}).GetIncarnation())
}

// startEngine serves an engine over HTTP and returns its URL. If wrap is not nil,
// it wraps the engine's handler.
func (f *fleet) startEngine(e *engine.Engine, wrap func(http.Handler) http.Handler) *url.URL {
	f.t.Helper()
	go func() { _ = e.Run(f.ctx) }()
	var handler http.Handler = e
	if wrap != nil {
		handler = wrap(e)
	}
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	address, err := url.Parse(server.URL)
	assert.NilError(f.t, err)
	return address
}

// runningSidecar is a sidecar started by startSidecar.
type runningSidecar struct {
	*side.Sidecar
	follower *watch.Follower
	address  string
	// stop starts a planned shutdown of the sidecar.
	stop context.CancelFunc
}

// startSidecar registers a sidecar with control and starts it.
func (f *fleet) startSidecar(name ident.TargetName, target *url.URL, listener net.Listener) *runningSidecar {
	f.t.Helper()
	links := link.NewClient(link.Config{Clock: clock.System{}, Caller: string(name)})
	f.t.Cleanup(func() { _ = links.Close() })
	addresses := []string{f.controlAddress}
	sidecar, err := side.New(side.Config{
		TargetName: name, TargetURL: target, Clock: f.clock, Logger: f.logger,
		Tracer: trace.NewNoop(), Link: links, ControlAddresses: addresses, Incarnation: f.register(name),
		TransferRate: f.transferRate, TransferTimeout: f.transferTimeout,
		Control: remote.NewClient(remote.Config{Addresses: addresses, Link: links, Clock: clock.System{}}),
	})
	assert.NilError(f.t, err)
	follower := watch.NewFollower(watch.Config{
		Addresses: addresses, Link: links, Clock: clock.System{}, Logger: log.NewNopLogger(),
		Process: string(name), Role: "sidecar", Target: string(name), OnUpdate: sidecar.ApplyUpdate,
	})
	sidecar.SetFollower(follower)
	ctx, cancel := context.WithCancel(f.ctx)
	go follower.Run(sidecar.Context())
	go func() { _ = sidecar.Run(ctx, listener) }()
	f.t.Cleanup(cancel)
	return &runningSidecar{Sidecar: sidecar, follower: follower, address: listener.Addr().String(), stop: cancel}
}

// targetRecord returns the record of a target.
func targetRecord(name ident.TargetName, address string, models ...record.TargetModel) *record.Target {
	return &record.Target{
		Name: name, VM: ident.VMName("vm-" + name), Domain: "d", Region: "r", Address: address, Models: models,
	}
}

// waitFor polls until the condition holds, and fails the test at the limit.
func waitFor(t *testing.T, limit time.Duration, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, description)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
