package cmds

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-kit/log"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/flags"
	"cactusline.dev/cactusline/internal/process/router"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// RouterCommand runs a router.
type RouterCommand struct {
	Name      string           `help:"This router's name, unique in the fleet." required:""`
	Domain    ident.DomainName `help:"This router's failure domain."`
	Listen    flags.Address    `help:"Address for callers." default:"127.0.0.1:8080"`
	Control   []flags.Address  `help:"Addresses of the control processes." required:""`
	BodyLimit ident.Bytes      `help:"Longest request body in bytes." default:"8388608" min:"1"`

	HedgeAfter   time.Duration `help:"Wait for a chat's first byte after which it is sent to a second target as well; 0 for never." min:"0s"`
	DrainDelay   time.Duration `help:"How long a stopping router takes callers while the balancer learns of it." default:"3s" min:"0s"`
	DrainTimeout time.Duration `help:"How long a stopping router waits for requests in flight; 0 for no bound." min:"0s"`

	Callers CallerKeys `embed:""`
	Links   LinkKeys   `embed:""`

	Bounds CallerBounds `embed:""`
}

// Run executes the command.
func (c *RouterCommand) Run(env *commandEnv) error {
	logger, err := newLogger(env, "router", c.Name)
	if err != nil {
		return err
	}
	listener, err := listen("listen", string(c.Listen))
	if err != nil {
		return err
	}
	tracer, err := env.tracer(c.Name, "router")
	if err != nil {
		return err
	}
	defer closeTracer(tracer)
	tlsCfg, err := c.Links.open(logger)
	if err != nil {
		return err
	}
	return c.serve(env.ctx, logger, tracer, tlsCfg, listener)
}

// serve runs the router until ctx ends.
func (c *RouterCommand) serve(ctx context.Context, logger log.Logger, tracer *trace.Tracer, tlsCfg linkTLS, listener net.Listener) error {
	links, control := newLinks(c.Name, addressStrings(c.Control), tlsCfg)
	defer func() { _ = links.Close() }()
	var r *router.Router
	follower := watch.NewFollower(watch.Config{
		Addresses: addressStrings(c.Control),
		Link:      links,
		Clock:     clock.System{},
		Logger:    logger,
		Process:   c.Name,
		Role:      "router",
		OnUpdate:  func(update *wire.Update, set *record.Set) { r.Update(update, set) },
	})
	callers, err := c.Callers.open(logger)
	if err != nil {
		return err
	}
	decisions := newDecisionSender(c.Name, logger, control)
	r = router.New(router.Config{
		Process:        uniqueName(c.Name),
		Domain:         c.Domain,
		Listener:       listener,
		Guard:          c.Bounds.open(logger, guard.Config{WriteTimeout: callerWriteTimeout, Encrypted: callers != nil}),
		TLS:            callers,
		Clock:          clock.System{},
		Logger:         logger,
		Tracer:         tracer,
		Link:           links,
		Control:        control,
		Follower:       follower,
		Seed:           rand.Uint64(),
		BodyLimit:      c.BodyLimit,
		OnRequestEnded: decisions.Report,

		HedgeAfter:   c.HedgeAfter,
		DrainDelay:   c.DrainDelay,
		DrainTimeout: c.DrainTimeout,
	})
	// Keep following the records until the last request has ended.
	followCtx, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowing()
	go decisions.Run(followCtx)
	go follower.Run(followCtx)
	return r.Run(ctx)
}
