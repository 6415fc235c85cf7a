package cmds

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/lister"
	"cactusline.dev/cactusline/internal/process/member"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/process/walog"
	"cactusline.dev/cactusline/internal/version/store"
	"cactusline.dev/cactusline/platform"
)

const (
	// coreHeartbeat and coreElection suit VMs a few milliseconds apart with a
	// part of a core each: a stalled processor slice is no lost leader.
	coreHeartbeat = 100 * time.Millisecond
	coreElection  = 500 * time.Millisecond
	// coreSnapshotEvery keeps the log in memory short: an entry may hold a
	// whole routing document.
	coreSnapshotEvery = 500
	// gcPercent trades processor time for memory: heaps here are a few MB, and
	// memory is dearer than the collector's work on them.
	gcPercent = 50
)

// CoreCommand runs a control process on the platform.
type CoreCommand struct {
	Settings string `help:"Settings file of the platform; by default where the platform says."`
}

// Run implements the command.
func (c *CoreCommand) Run(s *scope) error {
	settings, err := readSettings(c.Settings)
	if err != nil {
		return err
	}
	logger, flush, err := platformLogger(s, "core", settings)
	if err != nil {
		return err
	}
	defer flush()
	limitMemory()
	if settings.DataDir == "" {
		return c.runRelay(s.ctx, logger, settings)
	}
	return supervise(s.ctx, lives{
		run: func(ctx context.Context) error {
			err := c.runCore(ctx, logger, settings)
			// Only the first life may found a group.
			settings.Bootstrap = false
			return err
		},
		sound:  func() error { return tryDisk(settings.DataDir) },
		clock:  clock.System{},
		logger: logger,
	})
}

func limitMemory() { debug.SetGCPercent(gcPercent) }

// core is a control process with a data folder.
type core struct {
	settings  *platform.Settings
	logger    log.Logger
	links     *link.Client
	disk      *controlDisk
	peers     *ctrl.PeerTransport
	directory *member.Discovery
	book      *roster.Publisher
	control   *ctrl.Control
}

func (c *CoreCommand) runCore(ctx context.Context, logger log.Logger, settings *platform.Settings) error {
	internal, err := listen("link", settings.LinkAddress)
	if err != nil {
		return err
	}
	links := platformLinks(settings)
	remotes := remote.NewClient(remote.Config{Addresses: settings.Seeds, Link: links, Clock: clock.System{}})
	defer func() { _ = links.Close() }()
	r := &core{settings: settings, logger: logger, links: links}
	r.peers = ctrl.NewPeerTransport(ctrl.PeerTransportConfig{Self: settings.VM, Link: links, Clock: clock.System{}})
	if err := r.open(); err != nil {
		return err
	}
	status := r.disk.replicas.Status()
	r.directory = member.NewDiscovery(member.DiscoveryConfig{
		Self:  member.Process{VM: settings.VM, ID: status.ID, Address: settings.LinkAddress, Fresh: settings.Bootstrap},
		Seeds: settings.Seeds, Group: r.disk.replicas, Link: links, Clock: clock.System{}, Logger: logger,
	})
	r.book = roster.NewPublisher(startName(string(settings.VM)))
	tracer, err := trace.New(ctx, trace.Config{Process: string(settings.VM), Role: "control"})
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	defer closeTracer(tracer)
	r.control = ctrl.New(ctrl.Config{
		VM: settings.VM, Listener: internal, Clock: clock.System{}, Logger: logger, Tracer: tracer,
		Log: r.disk.replicas, Store: r.disk.state, Remote: remotes, Link: links,
		Group: r.disk.replicas, Audit: r.disk.folder, Receive: r.disk.replicas.Receive,
		FallbackQuery: func(_ context.Context, query *wire.Query) *wire.QueryReply {
			return answerAnnounced(r.directory, query)
		},
		Roster: r.book, RedirectAddresses: r.directory.ReplicaAddresses, DeadPeerTimeout: platformDeadPeer, MinVoters: 2*settings.ToleratedLosses + 1,
	})
	return r.run(ctx, c.Settings)
}

func answerAnnounced(directory *member.Discovery, query *wire.Query) *wire.QueryReply {
	if reply := directory.Answer(query); reply != nil {
		return reply
	}
	return &wire.QueryReply{Error: "no answer to " + query.GetKind()}
}

// open opens the data folder.
func (r *core) open() error {
	folder, err := audit.OpenFolder(r.settings.DataDir + "/" + auditFolder)
	if err != nil {
		return fmt.Errorf("open audit folder: %w", err)
	}
	state := store.New(store.Config{AuditSink: folder, ExportedAuditIndex: folder.Head().Index})
	replicas, err := group.Open(group.Config{
		VM: r.settings.VM, Folder: r.settings.DataDir, StateMachine: state, Transport: r.peers,
		Clock: clock.System{}, Logger: r.logger,
		HeartbeatInterval: coreHeartbeat, ElectionTimeout: coreElection, SnapshotThreshold: coreSnapshotEvery,
	})
	if err != nil {
		return errors.Join(r.openFailed(err), folder.Close())
	}
	r.disk = &controlDisk{state: state, replicas: replicas, folder: folder}
	return nil
}

// openFailed words why the folder can't be opened. A log whose synced bytes are
// damaged is set aside, so that the process joins anew with an empty folder and
// without a vote.
func (r *core) openFailed(err error) error {
	var corrupt *walog.CorruptError
	if errors.As(err, &corrupt) {
		_ = level.Error(r.logger).Log("msg", "log is damaged and set aside", "folder", r.settings.DataDir, "err", err)
		err = errors.Join(err, setAside(r.settings.DataDir))
	}
	return &memberFailedError{cause: fmt.Errorf("open %s: %w", r.settings.DataDir, err)}
}

// run serves until ctx ends or the member of the log fails.
func (r *core) run(ctx context.Context, settingsPath string) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	stop := context.AfterFunc(ctx, func() {
		_ = level.Info(r.logger).Log("msg", "stopping")
		r.disk.close(r.logger)
		end()
	})
	defer stop()
	keeper := member.NewReconciler(member.ReconcilerConfig{
		Membership: r.disk.replicas, Live: r.directory.Live, Known: r.directory.Known, UpdatePeers: r.peers.UpdateMembers,
		MinVoters: 2*r.settings.ToleratedLosses + 1, Clock: clock.System{}, Logger: r.logger,
	})
	list := lister.New(lister.Config{
		Catalog: platform.NewCatalog(r.settings.CatalogAddress, r.settings.CatalogRate, clock.System{}), Book: r.book, IsReader: r.reads,
		Clock: clock.System{}, Logger: r.logger,
	})
	go r.peers.Run(life)
	go r.directory.Run(life)
	go keeper.Run(life)
	go list.Run(life)
	go exportAudit(life, r.logger, r.disk.state)
	go followSettings(life, r.logger, settingsPath, func(fresh *platform.Settings) { r.directory.SetSeeds(fresh.Seeds) })
	documents := &ctrl.DocumentService{
		Control: r.control,
		Relay:   &ctrl.Relay{Link: r.links, ControlAddresses: r.directory.ReplicaAddresses, Logger: r.logger},
	}
	if err := serveOperator(life, r.logger, r.settings.OperatorAddress, documents); err != nil {
		return err
	}
	failed := r.watchMember(life, end)
	if err := r.control.Run(life); err != nil {
		return err
	}
	if cause := failed(); cause != nil {
		r.disk.close(r.logger)
		return &memberFailedError{cause: cause}
	}
	return nil
}

// watchMember ends the life of the process when its member of the log has
// failed, as on a disk that takes no writes, and returns what tells why.
func (r *core) watchMember(life context.Context, end context.CancelFunc) (failed func() error) {
	var failure atomic.Pointer[error]
	go func() {
		for (clock.System{}).Sleep(life, memberInterval) == nil {
			if err := r.disk.replicas.Status().Failure; err != nil {
				failure.Store(&err)
				end()
			}
		}
	}()
	return func() error {
		if err := failure.Load(); err != nil {
			return *err
		}
		return nil
	}
}

// memberInterval is between two looks at the member of the log.
const memberInterval = 100 * time.Millisecond

// reads reports whether this process is the one to read the platform's list:
// the leader is, and each process that has watchers while none is known.
func (r *core) reads() bool {
	status := r.disk.replicas.Status()
	return status.Leader == status.ID || (status.Leader == "" && r.control.HasWatchers())
}

// runRelay runs a control process without a data folder: it passes operators'
// calls on, and helps the others to find each other.
func (c *CoreCommand) runRelay(ctx context.Context, logger log.Logger, settings *platform.Settings) error {
	internal, err := listen("link", settings.LinkAddress)
	if err != nil {
		return err
	}
	links := platformLinks(settings)
	defer func() { _ = links.Close() }()
	directory := member.NewDiscovery(member.DiscoveryConfig{
		Self:  member.Process{VM: settings.VM, Address: settings.LinkAddress, Fresh: settings.Bootstrap},
		Seeds: settings.Seeds, Link: links, Clock: clock.System{}, Logger: logger,
	})
	go directory.Run(ctx)
	go followSettings(ctx, logger, c.Settings, func(fresh *platform.Settings) { directory.SetSeeds(fresh.Seeds) })
	relay := &ctrl.Relay{Link: links, ControlAddresses: directory.ReplicaAddresses, Logger: logger}
	if err := serveOperator(ctx, logger, settings.OperatorAddress, relay); err != nil {
		return err
	}
	return serveAnnounced(ctx, internal, directory)
}

// serveOperator serves operators' calls until ctx ends.
func serveOperator(ctx context.Context, logger log.Logger, address string, documents platform.DocumentStore) error {
	listener, err := listen("operators", address)
	if err != nil {
		return err
	}
	operator := &platform.OperatorAPI{Documents: documents, Logger: logger}
	mux := http.NewServeMux()
	mux.Handle("/", operator.Handler())
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: operatorHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(logger).Log("msg", "operators are not served", "err", err)
		}
	}()
	return nil
}

// operatorHeaderTimeout bounds the head of an operator's call.
const operatorHeaderTimeout = 5 * time.Second
