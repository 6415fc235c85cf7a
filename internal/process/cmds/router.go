package cmds

import (
	"math/rand/v2"

	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/router"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// RouterCommand runs a router.
type RouterCommand struct {
	Name      string           `help:"This router's name, unique in the fleet." required:""`
	Domain    ident.DomainName `help:"This router's failure domain."`
	Listen    string           `help:"Address for callers." default:"127.0.0.1:8080"`
	Control   []string         `help:"Addresses of the control processes." required:""`
	BodyLimit ident.Bytes      `help:"Longest request body in bytes." default:"8388608"`
}

// Run implements the command.
func (c *RouterCommand) Run(s *scope) error {
	logger, err := newLogger(s, "router", c.Name)
	if err != nil {
		return err
	}
	listener, err := listen("listen", c.Listen)
	if err != nil {
		return err
	}
	links, control := newLinks(c.Name, c.Control)
	defer func() { _ = links.Close() }()
	var r *router.Router
	follower := watch.NewFollower(watch.Config{
		Addresses: c.Control,
		Link:      links,
		Clock:     clock.System{},
		Logger:    logger,
		Process:   c.Name,
		Role:      "router",
		OnUpdate:  func(update *wire.Update, set *record.Set) { r.Update(update, set) },
	})
	r = router.New(router.Config{
		Process:   startName(c.Name),
		Domain:    c.Domain,
		Listener:  listener,
		Clock:     clock.System{},
		Logger:    logger,
		Link:      links,
		Control:   control,
		Follower:  follower,
		Seed:      rand.Uint64(),
		BodyLimit: c.BodyLimit,
	})
	go follower.Run(s.ctx)
	return r.Run(s.ctx)
}
