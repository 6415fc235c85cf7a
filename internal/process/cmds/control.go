package cmds

import (
	"context"
	"errors"
	"net"
	"path/filepath"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/flags"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/permit"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/store"
)

// ControlCommand runs a control process.
type ControlCommand struct {
	VM     ident.VMName     `name:"vm" help:"This VM's name, as in --peer." required:""`
	Listen flags.Address    `help:"Address for the other processes." default:"127.0.0.1:7000"`
	Admin  flags.Address    `help:"Address for operators." default:"127.0.0.1:8081"`
	Data   string           `help:"Data folder." required:""`
	Peer   []flags.Endpoint `help:"All control processes, this one too, as NAME=IP:PORT. Empty for a fleet with one."`

	Tokens    flags.File `help:"File with the tokens of operators and the monitor; needed unless --admin is a loopback address."`
	AdminCert flags.File `help:"File with the certificate for operators."`
	AdminKey  flags.File `help:"File with the key of that certificate."`

	WeightRate  float64 `help:"Fetches of weights that the fleet may start in a second." default:"1"`
	WeightBurst uint32  `help:"Fetches of weights that the fleet may start at once." default:"4"`

	Links LinkKeys `embed:""`

	Bounds CallerBounds `embed:""`
}

// Run executes the command.
func (c *ControlCommand) Run(env *commandEnv) error {
	if err := c.checkSettings(); err != nil {
		return usageError(err)
	}
	logger, err := newLogger(env, "control", string(c.VM))
	if err != nil {
		return err
	}
	tracer, err := env.tracer(string(c.VM), "control")
	if err != nil {
		return err
	}
	defer closeTracer(tracer)
	tlsCfg, err := c.Links.open(logger)
	if err != nil {
		return err
	}
	restarted := false
	return supervise(env.ctx, supervisor{
		run: func(ctx context.Context) error {
			err := c.listenAndServe(ctx, logger, tracer, tlsCfg)
			if restarted {
				err = retryOpen(err)
			}
			restarted = true
			return err
		},
		checkDisk: func() error { return checkDiskWritable(c.Data) },
		clock:     clock.System{},
		logger:    logger,
	})
}

// listenAndServe runs the control process until ctx ends or its member of the replicated
// log fails.
func (c *ControlCommand) listenAndServe(ctx context.Context, logger log.Logger, tracer *trace.Tracer, tlsCfg linkTLS) error {
	linkListener, err := listen("listen", string(c.Listen))
	if err != nil {
		return err
	}
	defer func() { _ = linkListener.Close() }()
	adminListener, err := listen("admin", string(c.Admin))
	if err != nil {
		return err
	}
	defer func() { _ = adminListener.Close() }()
	return c.serve(ctx, logger, tracer, tlsCfg, linkListener, adminListener)
}

// serve runs the control process on its listeners until ctx ends or its member of the
// replicated log fails. The error is a *memberFailedError then.
func (c *ControlCommand) serve(ctx context.Context, logger log.Logger, tracer *trace.Tracer, tlsCfg linkTLS, linkListener, adminListener net.Listener) error {
	members := membersFromPeers(c.Peer)
	if len(members) == 0 {
		members = []group.Member{{VM: c.VM, Address: linkListener.Addr().String()}}
	}
	bounds := c.Bounds.open(logger, guard.Config{FDsPerConn: operatorFDs, WriteTimeout: callerWriteTimeout, Encrypted: c.AdminCert != ""})
	links, controlClient := newLinks(string(c.VM), memberAddresses(members), tlsCfg)
	defer func() { _ = links.Close() }()
	peers := ctrl.NewPeerTransport(ctrl.PeerTransportConfig{Self: c.VM, Members: members, Link: links, Clock: clock.System{}})
	storage, err := c.openStorage(logger, members, peers)
	if err != nil {
		return &openError{folder: c.Data, cause: err}
	}
	control := ctrl.New(ctrl.Config{
		VM:               c.VM,
		Listener:         tlsCfg.wrapListener(bounds.Links(linkListener)),
		Clock:            clock.System{},
		Logger:           logger,
		Tracer:           tracer,
		Log:              storage.raftGroup,
		Store:            storage.state,
		Remote:           controlClient,
		Link:             links,
		Group:            storage.raftGroup,
		Audit:            storage.auditDir,
		Receive:          storage.raftGroup.Receive,
		WeightFetchLimit: permit.Limit{Rate: c.WeightRate, Burst: c.WeightBurst},
	})
	// On shutdown, transfer leadership before closing anything else.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		storage.close(logger)
		cancel()
	})
	defer stop()
	go peers.Run(runCtx)
	go updatePeers(runCtx, peers, storage.raftGroup)
	go exportAudit(runCtx, logger, storage.state)
	server, err := c.adminServer(logger, bounds, control, storage)
	if err != nil {
		storage.close(logger)
		return err
	}
	_ = level.Info(logger).Log("msg", "administration API serving", "address", adminListener.Addr())
	go func() { _ = server.Serve(runCtx, adminListener) }()
	memberFailure := watchMember(runCtx, storage.raftGroup, cancel)
	if err := control.Run(runCtx); err != nil {
		return err
	}
	if cause := memberFailure(); cause != nil {
		storage.close(logger)
		return &memberFailedError{cause: cause}
	}
	return nil
}

// controlStorage is the persistent state of a control process.
type controlStorage struct {
	state     *store.Store
	raftGroup *group.Group
	auditDir  *audit.Folder
}

// openStorage opens the data directory.
func (c *ControlCommand) openStorage(logger log.Logger, members []group.Member, peers *ctrl.PeerTransport) (*controlStorage, error) {
	auditDir, err := audit.OpenFolder(filepath.Join(c.Data, auditDirName))
	if err != nil {
		return nil, err
	}
	state := store.New(store.Config{AuditSink: auditDir, ExportedAuditIndex: auditDir.Head().Index})
	raftGroup, err := group.Open(group.Config{
		VM:           c.VM,
		Folder:       c.Data,
		Bootstrap:    members,
		StateMachine: state,
		Transport:    peers,
		Clock:        clock.System{},
		Logger:       logger,
	})
	if err != nil {
		return nil, errors.Join(err, auditDir.Close())
	}
	return &controlStorage{state: state, raftGroup: raftGroup, auditDir: auditDir}, nil
}

// close transfers leadership, exports the remaining audit entries and closes the
// files.
func (d *controlStorage) close(logger log.Logger) {
	err := errors.Join(d.raftGroup.Close(), d.state.ExportAudit(), d.auditDir.Close())
	if err != nil {
		_ = level.Warn(logger).Log("msg", "closing data directory failed", "err", err)
	}
}

func memberAddresses(members []group.Member) []string {
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

func membersFromPeers(peers []flags.Endpoint) []group.Member {
	members := make([]group.Member, 0, len(peers))
	for _, peer := range peers {
		members = append(members, group.Member{VM: ident.VMName(peer.Name), Address: string(peer.Address)})
	}
	return members
}
