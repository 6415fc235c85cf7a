package cmds

import (
	"context"
	"time"

	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/gate"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/platform"
)

const (
	// gateSilence is how long a gate stays with a control process that has no
	// word of a quorum. With the way to the next one it stays below the time
	// after which a process that reaches the quorum must know its newest word.
	gateSilence = 1800 * time.Millisecond
	// gateLoadInterval is between two reports of changed loads.
	gateLoadInterval = 150 * time.Millisecond
	// earnedPart and freePart are the parts of the repeats that the platform
	// allows which are used: the first is exact at each gate, the second is
	// spread by a count of the gates that may be old.
	earnedPart = 0.8
	freePart   = 0.5
)

// GateCommand runs a gate on the platform.
type GateCommand struct {
	Settings string `help:"Settings file of the platform; by default where the platform says."`
}

// Run implements the command.
func (c *GateCommand) Run(s *scope) error {
	settings, err := readSettings(c.Settings)
	if err != nil {
		return err
	}
	logger, flush, err := platformLogger(s, "gate", settings)
	if err != nil {
		return err
	}
	defer flush()
	limitMemory()
	callers, err := listen("callers", settings.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := listen("ready", settings.ReadyAddress)
	if err != nil {
		return err
	}
	links := platformLinks(settings)
	defer func() { _ = links.Close() }()
	g := gate.New(gate.Config{
		Name: string(settings.VM), Domain: settings.Domain,
		Compile: platform.Compile, Dialect: platform.Dialect{}, Clock: clock.System{}, Logger: logger,
		GracePeriod:              settings.GracePeriod,
		RetryRatio:               settings.RetryRatio * earnedPart,
		UnearnedRetriesPerSecond: retryRate(settings),
	})
	follower := watch.NewFollower(watch.Config{
		Addresses: settings.Seeds, Link: links, Clock: clock.System{}, Logger: logger,
		Process: startName(string(settings.VM)), Role: "router",
		SilenceTimeout: gateSilence, FollowLeader: true, CollectLoads: g.Loads, LoadInterval: gateLoadInterval,
		OnUpdate: func(update *wire.Update, _ *record.Set) { g.Update(update) },
	})
	g.SetFollower(follower)
	// Requests in flight go on while the process stops, and so do the news.
	life, end := context.WithCancel(context.WithoutCancel(s.ctx))
	defer end()
	go follower.Run(life)
	go followSettings(life, logger, c.Settings, func(fresh *platform.Settings) { follower.SetSeeds(fresh.Seeds) })
	return g.Run(s.ctx, callers, ready)
}

// retryRate is the repeats a second that all gates need not earn.
func retryRate(settings *platform.Settings) float64 {
	if settings.RetryWindow <= 0 {
		return 0
	}
	return settings.RetrySlack / settings.RetryWindow.Seconds() * freePart
}
