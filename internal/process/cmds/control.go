package cmds

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/process/admin"
	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/store"
)

// ControlCommand runs a control process.
type ControlCommand struct {
	VM     ident.VMName `name:"vm" help:"This VM's name, as in --peer." required:""`
	Listen string       `help:"Address for the other processes." default:"127.0.0.1:7000"`
	Admin  string       `help:"Address for operators." default:"127.0.0.1:8081"`
	Data   string       `help:"Data folder." required:""`
	Peer   []string     `help:"All control processes, this one too, as NAME=HOST:PORT. Empty for a fleet with one."`
}

// Run implements the command.
func (c *ControlCommand) Run(s *scope) error {
	logger, err := newLogger(s, "control", string(c.VM))
	if err != nil {
		return err
	}
	internal, err := listen("listen", c.Listen)
	if err != nil {
		return err
	}
	operators, err := listen("admin", c.Admin)
	if err != nil {
		return err
	}
	tracer, err := s.tracer(string(c.VM), "control")
	if err != nil {
		return err
	}
	defer closeTracer(tracer)
	return c.serve(s.ctx, logger, tracer, internal, operators)
}

// serve runs the control process on its listeners until ctx ends.
func (c *ControlCommand) serve(ctx context.Context, logger log.Logger, tracer *trace.Tracer, internal, operators net.Listener) error {
	members, err := parsePeers(c.Peer)
	if err != nil {
		return &codedError{code: ExitUsage, err: err}
	}
	if len(members) == 0 {
		members = []group.Member{{VM: c.VM, Address: internal.Addr().String()}}
	}
	folder, err := audit.OpenFolder(filepath.Join(c.Data, auditFolder))
	if err != nil {
		return fmt.Errorf("open %s: %w", c.Data, err)
	}
	defer func() { _ = folder.Close() }()
	state := store.New(store.Config{Sink: folder, Exported: folder.Head().Index})
	links, remotes := newLinks(string(c.VM), addressesOf(members))
	defer func() { _ = links.Close() }()
	peers := ctrl.NewPeers(ctrl.PeersConfig{Self: c.VM, Members: members, Link: links, Clock: clock.System{}})
	replicas, err := group.Open(group.Config{
		VM:        c.VM,
		Folder:    c.Data,
		Bootstrap: members,
		Machine:   state,
		Transport: peers,
		Clock:     clock.System{},
		Logger:    logger,
	})
	if err != nil {
		return fmt.Errorf("open %s: %w", c.Data, err)
	}
	control := ctrl.New(ctrl.Config{
		VM:       c.VM,
		Listener: internal,
		Clock:    clock.System{},
		Logger:   logger,
		Tracer:   tracer,
		Log:      replicas,
		Store:    state,
		Remote:   remotes,
		Link:     links,
		Group:    replicas,
		Receive:  replicas.Receive,
	})
	go peers.Run(ctx)
	go learnPeers(ctx, peers, replicas)
	go exportAudit(ctx, logger, state)
	api := admin.New(admin.Config{
		Control:   control,
		Group:     replicas,
		State:     state,
		Folder:    folder,
		Clock:     clock.System{},
		NewChange: newChange,
	})
	server := &http.Server{Handler: api.Handler(), ReadHeaderTimeout: standInHeaderTimeout}
	go func() { _ = server.Serve(operators) }()
	err = control.Run(ctx)
	_ = server.Close()
	if closeErr := replicas.Close(); closeErr != nil {
		_ = level.Warn(logger).Log("msg", "close data folder", "err", closeErr)
	}
	if exportErr := state.Export(); exportErr != nil {
		_ = level.Error(logger).Log("msg", "export audit log", "err", exportErr)
	}
	return err
}

func addressesOf(members []group.Member) []string {
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// parsePeers reads NAME=HOST:PORT pairs.
func parsePeers(pairs []string) ([]group.Member, error) {
	members := make([]group.Member, 0, len(pairs))
	for _, pair := range pairs {
		name, address, ok := strings.Cut(pair, "=")
		if !ok || name == "" || address == "" {
			return nil, fmt.Errorf("--peer %q is not NAME=HOST:PORT", pair)
		}
		members = append(members, group.Member{VM: ident.VMName(name), Address: address})
	}
	return members, nil
}
