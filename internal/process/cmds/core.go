package cmds

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/admin"
	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/lister"
	"cactusline.dev/cactusline/internal/process/member"
	"cactusline.dev/cactusline/internal/process/stlog"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/process/walog"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/store"
	"cactusline.dev/cactusline/platform"
)

const (
	// coreHeartbeatInterval and coreElectionTimeout suit VMs that are a few
	// milliseconds apart and have a fraction of a CPU each, so that a leader that
	// is not scheduled for a moment does not cause an election.
	coreHeartbeatInterval = 100 * time.Millisecond
	coreElectionTimeout   = 500 * time.Millisecond
	// coreSnapshotThreshold, in log entries, keeps the log in memory short, since
	// an entry may hold a whole routing document.
	coreSnapshotThreshold = 500
	// gcPercent trades CPU time for memory: with heaps of a few MB, memory costs
	// more than the additional garbage collection.
	gcPercent = 50
)

// CoreCommand runs a control process on the platform. Unlike ControlCommand, it takes
// its settings from the platform's settings file.
type CoreCommand struct {
	Settings string `help:"Settings file of the platform; by default where the platform says."`
}

// Run executes the command.
func (c *CoreCommand) Run(env *commandEnv) error {
	surviveHangups()
	settings, err := readSettings(c.Settings)
	if err != nil {
		return err
	}
	logger, flush, err := platformLogger(env, "core", settings)
	if err != nil {
		return err
	}
	defer flush()
	tuneGC()
	bounds := platformGuard(settings, logger, guard.Config{FDsPerConn: operatorFDs, WriteTimeout: operatorWriteTimeout})
	if settings.DataDir == "" {
		return c.runRelay(env.ctx, logger, settings, bounds)
	}
	return supervise(env.ctx, supervisor{
		run: func(ctx context.Context) error {
			err := c.runCore(ctx, logger, settings, bounds)
			// Only the first run may bootstrap a group.
			settings.Bootstrap = false
			return err
		},
		checkDisk: func() error { return checkDiskWritable(settings.DataDir) },
		clock:     clock.System{},
		logger:    logger,
	})
}

// tuneGC sets the garbage collection target to gcPercent.
func tuneGC() { debug.SetGCPercent(gcPercent) }

// coreProcess is a control process with a data directory.
type coreProcess struct {
	settings  *platform.Settings
	logger    log.Logger
	bounds    *guard.Budget
	links     *link.Client
	storage   *controlStorage
	peers     *ctrl.PeerTransport
	discovery *member.Discovery
	publisher *roster.Publisher
	control   *ctrl.Control
	streams   *stlog.Log
	// domains are the known failure domains.
	domains *knownDomains
}

// knownDomains are the failure domains of the newest settings, nil if those name none.
type knownDomains struct {
	current atomic.Pointer[map[ident.DomainName]ident.RegionName]
}

func newKnownDomains(settings *platform.Settings) *knownDomains {
	k := new(knownDomains)
	k.update(settings)
	return k
}

func (k *knownDomains) update(settings *platform.Settings) { k.current.Store(&settings.Domains) }

func (k *knownDomains) get() map[ident.DomainName]ident.RegionName { return *k.current.Load() }

// streamsDirName is the folder of the origins of streams in the data directory.
const streamsDirName = "streams"

// runCore runs a control process with a data directory until ctx ends or its member
// of the replicated log fails.
func (c *CoreCommand) runCore(ctx context.Context, logger log.Logger, settings *platform.Settings, bounds *guard.Budget) error {
	linkListener, err := listen("link", settings.LinkAddress)
	if err != nil {
		return err
	}
	defer func() { _ = linkListener.Close() }()
	links := platformLinks(settings)
	controlClient := remote.NewClient(remote.Config{Addresses: settings.Seeds, Link: links, Clock: clock.System{}})
	defer func() { _ = links.Close() }()
	p := &coreProcess{settings: settings, logger: logger, bounds: bounds, links: links, domains: newKnownDomains(settings)}
	p.peers = ctrl.NewPeerTransport(ctrl.PeerTransportConfig{Self: settings.VM, Link: links, Clock: clock.System{}})
	if err := p.open(); err != nil {
		return err
	}
	status := p.storage.raftGroup.Status()
	p.discovery = member.NewDiscovery(member.DiscoveryConfig{
		Self:  member.Process{VM: settings.VM, ID: status.ID, Address: settings.LinkAddress, Fresh: settings.Bootstrap},
		Seeds: settings.Seeds, Group: p.storage.raftGroup, Link: links, Clock: clock.System{}, Logger: logger,
	})
	p.publisher = roster.NewPublisher(uniqueName(string(settings.VM)))
	tracer, err := trace.New(ctx, trace.Config{Process: string(settings.VM), Role: "control"})
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	defer closeTracer(tracer)
	streams, held, err := stlog.Open(stlog.Config{Folder: settings.DataDir + "/" + streamsDirName, FS: walog.OSFS{}, Clock: clock.System{}, Logger: logger})
	if err != nil {
		return &memberFailedError{cause: err}
	}
	p.control = ctrl.New(ctrl.Config{
		VM: settings.VM, Listener: p.bounds.Links(linkListener), Clock: clock.System{}, Logger: logger, Tracer: tracer,
		Log: p.storage.raftGroup, Store: p.storage.state, Remote: controlClient, Link: links,
		Group: p.storage.raftGroup, Audit: p.storage.auditDir, Receive: p.storage.raftGroup.Receive,
		FallbackQuery: func(_ context.Context, query *wire.Query) *wire.QueryReply {
			return answerDiscoveryQuery(p.discovery, query)
		},
		OriginLog: streams, Roster: p.publisher, DocumentServices: platform.DocumentServices, RedirectAddresses: p.discovery.ReplicaAddresses, DeadPeerTimeout: platformDeadPeerTimeout, MinVoters: 2*settings.ToleratedLosses + 1,
	})
	p.control.RecordOrigins(held)
	p.streams = streams
	return p.run(ctx, c.Settings)
}

// answerDiscoveryQuery answers a query from the discovery state, or with an error if
// it is not a discovery query.
func answerDiscoveryQuery(discovery *member.Discovery, query *wire.Query) *wire.QueryReply {
	if reply := discovery.Answer(query); reply != nil {
		return reply
	}
	return &wire.QueryReply{Error: "no answer to " + query.GetKind()}
}

// open opens the data directory.
func (p *coreProcess) open() error {
	auditDir, err := audit.OpenFolder(p.settings.DataDir + "/" + auditDirName)
	if err != nil {
		return &memberFailedError{cause: fmt.Errorf("open audit directory: %w", err)}
	}
	state := store.New(store.Config{AuditSink: auditDir, ExportedAuditIndex: auditDir.Head().Index})
	raftGroup, err := group.Open(group.Config{
		VM: p.settings.VM, Folder: p.settings.DataDir, StateMachine: state, Transport: p.peers,
		Clock: clock.System{}, Logger: p.logger,
		HeartbeatInterval: coreHeartbeatInterval, ElectionTimeout: coreElectionTimeout, SnapshotThreshold: coreSnapshotThreshold,
	})
	if err != nil {
		return errors.Join(p.handleOpenError(err), auditDir.Close())
	}
	p.storage = &controlStorage{state: state, raftGroup: raftGroup, auditDir: auditDir}
	return nil
}

// handleOpenError handles a data directory that can't be opened, and returns the error
// to report. If the synced part of the log is corrupt, it moves the files away, so that
// the process rejoins with an empty directory and without a vote.
func (p *coreProcess) handleOpenError(err error) error {
	var corrupt *walog.CorruptError
	if errors.As(err, &corrupt) {
		_ = level.Error(p.logger).Log("msg", "log is corrupt, moving it away", "folder", p.settings.DataDir, "err", err)
		err = errors.Join(err, moveToDamaged(p.settings.DataDir))
	}
	return &memberFailedError{cause: fmt.Errorf("open %s: %w", p.settings.DataDir, err)}
}

// run serves until ctx ends or this process's member of the replicated log fails.
func (p *coreProcess) run(ctx context.Context, settingsPath string) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		_ = level.Info(p.logger).Log("msg", "stopping")
		p.storage.close(p.logger)
		cancel()
	})
	defer stop()
	reconciler := member.NewReconciler(member.ReconcilerConfig{
		Membership: p.storage.raftGroup, Live: p.discovery.Live, Known: p.discovery.Known, UpdatePeers: p.peers.UpdateMembers,
		MinVoters: 2*p.settings.ToleratedLosses + 1, Clock: clock.System{}, Logger: p.logger,
	})
	targetLister := lister.New(lister.Config{
		Catalog: platform.NewCatalog(p.settings.CatalogAddress, p.settings.CatalogCallsPerSecond, clock.System{}), Publisher: p.publisher,
		Admit: p.control.AdmitTargets, IsReader: p.isCatalogReader,
		Clock: clock.System{}, Logger: p.logger,
	})
	go p.peers.Run(runCtx)
	go p.discovery.Run(runCtx)
	go reconciler.Run(runCtx)
	go targetLister.Run(runCtx)
	go p.streams.Run(runCtx)
	go exportAudit(runCtx, p.logger, p.storage.state)
	go followSettings(runCtx, p.logger, settingsPath, func(newSettings *platform.Settings) {
		p.discovery.SetSeeds(newSettings.Seeds)
		p.domains.update(newSettings)
	})
	documents := &ctrl.DocumentService{
		Control: p.control,
		Relay:   &ctrl.Relay{Link: p.links, ControlAddresses: p.discovery.ReplicaAddresses, Clock: clock.System{}, Logger: p.logger},
	}
	api := admin.New(admin.Config{
		Control: p.control, Group: p.storage.raftGroup, State: p.storage.state, NewChangeID: newChangeID,
		Evacuations: documents, Domains: p.domains.get,
	})
	operator := &platform.OperatorAPI{Documents: documents, Evacuations: documents, Domains: p.domains.get, Logger: p.logger}
	if err := serveOperator(runCtx, p.bounds, operator, p.settings.OperatorAddress, api.CoreHandler()); err != nil {
		return err
	}
	memberFailure := watchMember(runCtx, p.storage.raftGroup, cancel)
	if err := p.control.Run(runCtx); err != nil {
		return err
	}
	if cause := memberFailure(); cause != nil {
		p.storage.close(p.logger)
		return &memberFailedError{cause: cause}
	}
	return nil
}

// isCatalogReader reports whether this process reads the platform's list of targets:
// the leader does, and while no leader is known, each process with watchers.
func (p *coreProcess) isCatalogReader() bool {
	status := p.storage.raftGroup.Status()
	return status.Leader == status.ID || (status.Leader == "" && p.control.HasWatchers())
}

// runRelay runs a control process without a data directory. It relays operators'
// calls to the processes that have one, and takes part in discovery.
func (c *CoreCommand) runRelay(ctx context.Context, logger log.Logger, settings *platform.Settings, bounds *guard.Budget) error {
	linkListener, err := listen("link", settings.LinkAddress)
	if err != nil {
		return err
	}
	links := platformLinks(settings)
	defer func() { _ = links.Close() }()
	discovery := member.NewDiscovery(member.DiscoveryConfig{
		Self:  member.Process{VM: settings.VM, Address: settings.LinkAddress, Fresh: settings.Bootstrap},
		Seeds: settings.Seeds, Link: links, Clock: clock.System{}, Logger: logger,
	})
	go discovery.Run(ctx)
	domains := newKnownDomains(settings)
	go followSettings(ctx, logger, c.Settings, func(newSettings *platform.Settings) {
		discovery.SetSeeds(newSettings.Seeds)
		domains.update(newSettings)
	})
	relay := &ctrl.Relay{Link: links, ControlAddresses: discovery.ReplicaAddresses, Clock: clock.System{}, Logger: logger}
	operator := &platform.OperatorAPI{Documents: relay, Evacuations: relay, Domains: domains.get, Logger: logger}
	if err := serveOperator(ctx, bounds, operator, settings.OperatorAddress, http.NotFoundHandler()); err != nil {
		return err
	}
	return serveDiscovery(ctx, bounds.Links(linkListener), discovery)
}

// serveOperator serves the operator API, and a part of the administration API, until ctx
// ends.
func serveOperator(ctx context.Context, bounds *guard.Budget, operator *platform.OperatorAPI, address string, administration http.Handler) error {
	listener, err := listen("operators", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/", operator.Handler())
	mux.Handle("/v1/", administration)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	bounds.RegisterMetrics()
	server := &http.Server{
		Handler: guard.Handler(refuseUncleanPaths(mux)), ReadHeaderTimeout: operatorHeaderTimeout, IdleTimeout: operatorIdleTimeout,
		MaxHeaderBytes: operatorHeaderBytes, ConnContext: guard.ConnContext, ConnState: guard.ConnState,
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(bounds.Listener(listener)); !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(operator.Logger).Log("msg", "operator API stopped serving", "err", err)
		}
	}()
	return nil
}

// refuseUncleanPaths answers paths with empty or dot segments with 404. A ServeMux would
// redirect them, so that a client repeats an order under a name that it did not give.
func refuseUncleanPaths(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if clean := path.Clean(r.URL.Path); clean != r.URL.Path && clean+"/" != r.URL.Path {
			http.NotFound(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Bounds of an operator's connection: the time to read the headers of a request, to wait
// for the next one and to write a part of the response, and the size of the headers.
const (
	operatorHeaderTimeout = 5 * time.Second
	operatorIdleTimeout   = time.Minute
	operatorWriteTimeout  = 5 * time.Second
	operatorHeaderBytes   = 64 << 10
	// operatorFDs is the number of descriptors of a request, which may open a file or a link.
	operatorFDs = 2
)
