package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/gate"
	"cactusline.dev/cactusline/internal/request/origin"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/platform"
)

const (
	// maxGateSilenceTimeout and maxGateFirstTimeout are how long a gate follows a control
	// process without confirmation from a quorum before it switches to another one, and
	// how long a new one may take for the first confirmation. Both are bounded by a share
	// of the contact time, within which a process that can reach the quorum must know the
	// quorum's newest decision: it has to suffice for one silence, at least one control
	// process without a quorum, and a dial.
	maxGateSilenceTimeout = 1500 * time.Millisecond
	maxGateFirstTimeout   = 700 * time.Millisecond
	gateSilenceShare      = 0.5
	gateFirstShare        = 0.2
	// gateReportInterval is the interval of a gate's reports, each of which is confirmed.
	gateReportInterval = 500 * time.Millisecond
	// gateLoadInterval is the interval between reports of changed loads.
	gateLoadInterval = 150 * time.Millisecond
	// gateStreamDelay is how long new streams are collected before they are reported.
	gateStreamDelay = 20 * time.Millisecond
	// leavingMargin is the part of the platform's drain time in which a target that leaves
	// gets nothing, so that what is sent before has arrived.
	leavingMargin = 500 * time.Millisecond
	// earnedRetryShare and unearnedRetryShare are the shares of the platform's
	// retry limits that the gates use. A burst also uses what was kept for half of a
	// window, so that one and a half times each share must stay below the limit. The
	// unearned retries of RetrySlack are divided by the number of gates, which may be
	// out of date, so their share is lower.
	earnedRetryShare   = 0.65
	unearnedRetryShare = 0.5
)

// GateCommand runs a gate, the router of the platform. It takes its settings from the
// platform's settings file.
type GateCommand struct {
	Settings string `help:"Settings file of the platform; by default where the platform says."`
}

// Run executes the command.
func (c *GateCommand) Run(env *commandEnv) error {
	settings, err := readSettings(c.Settings)
	if err != nil {
		return err
	}
	logger, flush, err := platformLogger(env, "gate", settings)
	if err != nil {
		return err
	}
	defer flush()
	tuneGC()
	callerListener, err := listen("callers", settings.CallerAddress)
	if err != nil {
		return err
	}
	readyListener, err := listen("ready", settings.ReadyAddress)
	if err != nil {
		return err
	}
	bounds := platformGuard(settings, logger, guard.Config{FDsPerConn: gate.FDsPerRequest})
	links := platformLinks(settings)
	defer func() { _ = links.Close() }()
	control := remote.NewClient(remote.Config{Addresses: settings.Seeds, Link: links, Clock: clock.System{}})
	g := gate.New(gate.Config{
		Name: string(settings.VM), Domain: settings.Domain,
		Compile: platform.CompileDocument, Dialect: platform.Dialect{}, Clock: clock.System{}, Logger: logger, Control: control, Permits: &controlQueries{control: control}, Origins: &controlQueries{control: control},
		Guard:                    bounds,
		GracePeriod:              settings.GracePeriod,
		DenialLease:              settings.ApplyTime,
		LeavingGrace:             max(0, settings.DrainTime-leavingMargin),
		RetryRatio:               settings.RetryRatio * earnedRetryShare,
		UnearnedRetriesPerSecond: unearnedRetryRate(settings),
	})
	g.SetRegions(settings.Domains)
	followerConfig := gateFollowerConfig(settings, links, logger)
	followerConfig.CollectLoads = g.Loads
	followerConfig.CollectStreams, followerConfig.StreamsBegan = g.StreamOrigins, g.StreamsBegan()
	followerConfig.OnUpdate = func(update *wire.Update, _ *record.Set) {
		control.SetAddresses(update.GetControls())
		g.Update(update)
	}
	follower := watch.NewFollower(followerConfig)
	g.SetFollower(follower)
	// Updates continue while the process stops, for the requests in flight.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(env.ctx))
	defer cancel()
	go follower.Run(runCtx)
	go followSettings(runCtx, logger, c.Settings, func(newSettings *platform.Settings) {
		follower.SetSeeds(newSettings.Seeds)
		g.SetRegions(newSettings.Domains)
	})
	return g.Run(env.ctx, callerListener, readyListener)
}

// gateFollowerConfig returns the configuration of a gate's follower, without the
// functions that the gate provides.
func gateFollowerConfig(settings *platform.Settings, links *link.Client, logger log.Logger) watch.Config {
	return watch.Config{
		Addresses: settings.Seeds, Link: links, Clock: clock.System{}, Logger: logger,
		Process: uniqueName(string(settings.VM)), Role: "router",
		SilenceTimeout: shareOf(settings.ContactTime, gateSilenceShare, maxGateSilenceTimeout),
		FirstTimeout:   shareOf(settings.ContactTime, gateFirstShare, maxGateFirstTimeout),
		FollowLeader:   true, ReportInterval: gateReportInterval,
		LoadInterval: gateLoadInterval, StreamDelay: gateStreamDelay,
	}
}

// shareOf returns a share of a bound of the platform, limit at most. It returns limit if
// the platform names no bound.
func shareOf(bound time.Duration, share float64, limit time.Duration) time.Duration {
	if bound <= 0 {
		return limit
	}
	return min(limit, time.Duration(float64(bound)*share))
}

// controlQueries asks the leader of control. It implements gate.PermitSource and
// gate.OriginSource.
type controlQueries struct {
	control *remote.Client
}

// AskOrigin asks where a stream began.
func (q *controlQueries) AskOrigin(ctx context.Context, question gate.OriginQuestion) (gate.OriginAnswer, error) {
	argument, err := proto.Marshal(&wire.OriginQuestion{Service: string(question.Service), Stream: uint64(question.Stream)})
	if err != nil {
		return gate.OriginAnswer{}, fmt.Errorf("encode stream: %w", err)
	}
	reply, err := q.control.Query(ctx, &wire.Query{Kind: ctrl.QueryOrigin, Argument: argument})
	if err != nil {
		return gate.OriginAnswer{}, err
	}
	message := new(wire.OriginAnswer)
	if err := proto.Unmarshal(reply.GetResult(), message); err != nil {
		return gate.OriginAnswer{}, fmt.Errorf("decode origin: %w", err)
	}
	answer := gate.OriginAnswer{
		Known:  message.GetKnown(),
		Origin: origin.Origin{Service: ident.ServiceName(message.GetService()), Version: ident.SoftwareVersion(message.GetVersion())},
	}
	for _, possible := range message.GetPossible() {
		answer.Possible = append(answer.Possible, gate.SoftwareAge{
			Version: ident.SoftwareVersion(possible.GetVersion()), Absent: time.Duration(possible.GetAbsentMs()) * time.Millisecond,
		})
	}
	return answer, nil
}

// AskSendPermit asks the leader for a permit.
func (q *controlQueries) AskSendPermit(ctx context.Context, request *wire.SendPermit) (*wire.SendPermitReply, error) {
	argument, err := proto.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode permit request: %w", err)
	}
	answer, err := q.control.Query(ctx, &wire.Query{Kind: ctrl.QuerySendPermit, Argument: argument})
	if err != nil {
		return nil, err
	}
	reply := new(wire.SendPermitReply)
	if err := proto.Unmarshal(answer.GetResult(), reply); err != nil {
		return nil, fmt.Errorf("decode permit: %w", err)
	}
	return reply, nil
}

// unearnedRetryRate returns the retries per second that all gates together may make
// without earning them.
func unearnedRetryRate(settings *platform.Settings) float64 {
	if settings.RetryWindow <= 0 {
		return 0
	}
	return settings.RetrySlack / settings.RetryWindow.Seconds() * unearnedRetryShare
}
