package cmds

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"time"

	"github.com/go-kit/log"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/flags"
	"cactusline.dev/cactusline/internal/process/side"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

// SidecarCommand runs a sidecar.
type SidecarCommand struct {
	Name    ident.TargetName `help:"The target's name, as in its record." required:""`
	Target  *url.URL         `help:"Base URL of the target." required:""`
	Listen  flags.Address    `help:"Address for routers." default:"127.0.0.1:9000"`
	Control []flags.Address  `help:"Addresses of the control processes." required:""`

	TransferRate    ident.Bytes   `help:"Bytes per second in which a leaving target hands chats' prefixes over; below zero for none." default:"50000000"`
	TransferTimeout time.Duration `help:"How long that may take." default:"30s"`

	DrainTimeout time.Duration `help:"How long a stopping sidecar waits for runs and their readers; 0 for no bound." min:"0s"`

	Links LinkKeys `embed:""`

	Bounds CallerBounds `embed:""`
}

// Run executes the command.
func (c *SidecarCommand) Run(env *commandEnv) error {
	logger, err := newLogger(env, "sidecar", string(c.Name))
	if err != nil {
		return err
	}
	tracer, err := env.tracer(string(c.Name), "sidecar")
	if err != nil {
		return err
	}
	defer closeTracer(tracer)
	tlsCfg, err := c.Links.open(logger)
	if err != nil {
		return err
	}
	return c.serve(env.ctx, logger, tracer, tlsCfg, func() (net.Listener, error) { return listen("listen", string(c.Listen)) })
}

// serve runs the sidecar until ctx ends. It listens only once it has what it needs from
// control, so that routers do not connect to a sidecar that cannot answer yet.
func (c *SidecarCommand) serve(ctx context.Context, logger log.Logger, tracer *trace.Tracer, tlsCfg linkTLS, listen func() (net.Listener, error)) error {
	links, control := newLinks(string(c.Name), addressStrings(c.Control), tlsCfg)
	defer func() { _ = links.Close() }()
	incarnation, err := registerProcess(ctx, control, "sidecar/"+string(c.Name))
	if err != nil {
		return err
	}
	sidecar, err := side.New(side.Config{
		TargetName: c.Name,
		TargetURL:  c.Target,
		Clock:      clock.System{},
		Logger:     logger,
		Tracer:     tracer,
		Control:    control,
		Link:       links,

		ControlAddresses: addressStrings(c.Control),
		Incarnation:      incarnation,
		DrainTimeout:     c.DrainTimeout,
		TransferRate:     c.TransferRate,
		TransferTimeout:  c.TransferTimeout,
		Seed:             rand.Uint64(),
	})
	if err != nil {
		return fmt.Errorf("create sidecar: %w", err)
	}
	if err := sidecar.RestoreCrashBlocklist(ctx); err != nil {
		return err
	}
	follower := watch.NewFollower(watch.Config{
		Addresses: addressStrings(c.Control),
		Link:      links,
		Clock:     clock.System{},
		Logger:    logger,
		Process:   string(c.Name),
		Role:      "sidecar",
		Target:    string(c.Name),
		OnUpdate:  sidecar.ApplyUpdate,
	})
	sidecar.SetFollower(follower)
	listener, err := listen()
	if err != nil {
		return err
	}
	go follower.Run(sidecar.Context())
	bounds := c.Bounds.open(logger, guard.Config{FDsPerConn: linkFDs})
	bounds.RegisterMetrics()
	return sidecar.Run(ctx, tlsCfg.wrapListener(bounds.Links(listener)))
}

// linkFDs is the number of descriptors of a session: its own and one to the target.
const linkFDs = 2

// registerProcess registers a starting process with control and returns its
// incarnation.
func registerProcess(ctx context.Context, control *remote.Client, process string) (ident.Incarnation, error) {
	result, err := control.Propose(ctx, &cmdpb.Command{
		Actor: process,
		Body:  &cmdpb.Command_Register{Register: &cmdpb.RegisterProcess{Process: process, Nonce: rand.Uint64()}},
	})
	if err != nil {
		return 0, fmt.Errorf("register %s: %w", process, err)
	}
	if result.GetStatus() != cmdpb.Status_STATUS_OK {
		return 0, fmt.Errorf("register %s: %s", process, result.GetDetail())
	}
	return ident.Incarnation(result.GetIncarnation()), nil
}
