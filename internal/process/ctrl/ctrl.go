// Package ctrl is the control role: it takes the changes of operators and the
// claims of routers to the replicated store, and tells every other process
// what is in force.
package ctrl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/permit"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/request/trail"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/store"
)

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Log replicates entries over the control processes.
type Log interface {
	// Propose returns the result of entry once it is committed and applied.
	Propose(ctx context.Context, entry []byte) ([]byte, error)
	// Barrier returns once this process has applied all that was committed
	// before the call.
	Barrier(ctx context.Context) (uint64, error)
}

// Store is the replicated state.
type Store interface {
	// DeltaSince returns what changed above a revision.
	DeltaSince(revision ident.Revision) record.Delta
	// Set returns the records in force.
	Set() *record.Set
	// Changed returns a channel that is closed at the next change of the
	// records or the verdicts.
	Changed() <-chan struct{}
	// Verdicts returns the requests that crash targets, and a number that
	// rises when they change.
	Verdicts() ([]*wire.CrashVerdict, uint64)
	// Document returns the routing document.
	Document() store.Document
	// InFlightAtCrash returns the requests that were in flight when a target
	// crashed.
	InFlightAtCrash(target ident.TargetName) []ident.Fingerprint
}

// Config makes a Control.
type Config struct {
	// VM is this process's.
	VM ident.VMName
	// Listener takes calls of other processes of the system.
	Listener net.Listener
	Clock    Clock
	Logger   log.Logger
	Tracer   *trace.Tracer
	Log      Log
	Store    Store
	// Remote asks the other control processes.
	Remote *remote.Client
	// Link asks one control process.
	Link *link.Client
	// Group lists and changes the control processes; without it this one is
	// the only one.
	Group Membership
	// Audit holds the exported audit entries; nil for none.
	Audit AuditFolder
	// Receive takes messages of the replicated log.
	Receive func(from group.MemberID, message []byte)
	// FallbackQuery answers questions other than those of this package.
	FallbackQuery func(ctx context.Context, query *wire.Query) *wire.QueryReply
	// WeightFetchLimit limits the fetches of weights that the fleet may start.
	WeightFetchLimit permit.Limit
	// Roster lists the targets of the platform; nil where records list them.
	Roster *roster.Publisher
	// RedirectAddresses returns the addresses of processes to watch in place of this one
	// while it is no member yet; nil for none.
	RedirectAddresses func() []string
	// DeadPeerTimeout bounds how long a connection to another process outlives a cut;
	// 0 leaves that to the system.
	DeadPeerTimeout time.Duration
	// MinVoters is the number of voters without which no routing document is
	// taken, so that one that was taken outlives the losses to be borne.
	MinVoters int
}

// Control serves the other processes.
type Control struct {
	cfg      Config
	hub      *hub
	balancer *balancer
	trail    *trail.Ring
	permits  *permit.Limiter
	skews    skews
	server   *link.Server

	mu   sync.Mutex
	seen map[ident.VMName]seenMember
}

// New returns a control process; Run starts it.
func New(cfg Config) *Control {
	c := &Control{
		cfg: cfg, hub: newHub(cfg), balancer: newBalancer(cfg.Clock), trail: trail.NewRing(0),
		seen:    make(map[ident.VMName]seenMember),
		permits: permit.NewLimiter(permit.WeightLimits(cfg.WeightFetchLimit)),
	}
	c.server = link.NewServer(c)
	c.server.DeadPeerTimeout = cfg.DeadPeerTimeout
	return c
}

// Run serves until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.cfg.Listener.Close() })
	defer stop()
	go c.hub.confirm(ctx)
	go c.hub.pulse(ctx)
	go c.watchMembers(ctx)
	go c.fillAudit(ctx)
	c.measure()
	go c.balancer.run(ctx)
	go c.countRouters(ctx)
	_ = level.Info(c.cfg.Logger).Log("msg", "control serves", "vm", c.cfg.VM, "address", c.cfg.Listener.Addr())
	if err := c.server.Serve(ctx, c.cfg.Listener); err != nil {
		return fmt.Errorf("serve calls: %w", err)
	}
	if err := c.server.Close(); err != nil {
		return fmt.Errorf("close calls: %w", err)
	}
	return nil
}

// ServeCall implements link.Handler.
func (c *Control) ServeCall(ctx context.Context, call *wire.Call, stream *link.Stream) {
	switch body := call.GetBody().(type) {
	case *wire.Call_Command:
		ctx, span := c.cfg.Tracer.Start(ctx, call.GetTraceParent(), "control.command")
		_ = stream.Send(c.command(ctx, body.Command))
		span.End()
	case *wire.Call_Watch:
		c.serveWatch(ctx, call, body.Watch, stream)
	case *wire.Call_Balance:
		c.balancer.serve(ctx, body.Balance, stream)
	case *wire.Call_Query:
		_ = stream.Send(c.query(ctx, body.Query))
	case *wire.Call_Peer:
		c.servePeer(body.Peer, stream)
	case *wire.Call_Probe:
		_ = stream.Send(&wire.ProbeReply{Revision: uint64(c.cfg.Store.Set().Revision())})
	}
}

// query answers a question about the state of this process.
func (c *Control) query(ctx context.Context, query *wire.Query) *wire.QueryReply {
	switch query.GetKind() {
	case queryProcesses:
		return answerJSON(c.watched())
	case queryMembers:
		return c.answerMembers(ctx, query.GetArgument())
	case queryDecisions:
		return answerJSON(c.trail.Get(ident.RequestID(query.GetName())))
	case queryAudit:
		return c.answerAudit(query.GetName())
	case QueryInFlightAtCrash:
		return c.crashed(ctx, query.GetName())
	case QueryPermit:
		return c.permit(ctx, query.GetArgument())
	case QueryStoreDecisions:
		return c.keep(query.GetArgument())
	case queryPutDocument:
		return c.answerPut(ctx, query.GetArgument())
	case queryDocument:
		return c.answerDocument(ctx)
	}
	if c.cfg.FallbackQuery == nil {
		return &wire.QueryReply{Error: "no answer to " + query.GetKind()}
	}
	return c.cfg.FallbackQuery(ctx, query)
}

// command stamps a command with the time and proposes it.
func (c *Control) command(ctx context.Context, command *wire.Command) *wire.CommandReply {
	entry, err := StampTime(c.cfg.Clock.Now(), command.GetEntry())
	if err != nil {
		return &wire.CommandReply{Error: err.Error()}
	}
	if refusal := c.refuseEarly(entry); refusal != nil {
		return refusal
	}
	result, err := c.cfg.Log.Propose(ctx, entry)
	if err == nil {
		return &wire.CommandReply{Result: result}
	}
	return failure(err)
}

// failure words an entry that was not committed, as far as is known.
func failure(err error) *wire.CommandReply {
	reply := &wire.CommandReply{Error: err.Error()}
	var elsewhere *group.NotLeaderError
	if errors.As(err, &elsewhere) {
		reply.Leader = elsewhere.Address
		reply.Retry = true
		return reply
	}
	reply.Unknown = true
	return reply
}

// Command proposes an encoded command here, or at the leader, and returns its
// encoded result. A *remote.RefusedError means that it was not committed, any
// other error that it may have been. It implements admin.Control.
func (c *Control) Command(ctx context.Context, entry []byte) ([]byte, error) {
	if err := c.joined(); err != nil {
		return nil, &remote.RefusedError{Message: err.Error()}
	}
	for {
		reply := c.command(ctx, &wire.Command{Entry: entry})
		if reply.GetError() == "" {
			return reply.GetResult(), nil
		}
		if reply.GetUnknown() {
			return nil, &remote.UnknownOutcomeError{Err: errors.New(reply.GetError())}
		}
		if !reply.GetRetry() {
			return nil, &remote.RefusedError{Message: reply.GetError()}
		}
		if reply.GetLeader() != "" {
			return c.cfg.Remote.ProposeEntry(ctx, entry, trace.Traceparent(ctx))
		}
		if err := c.cfg.Clock.Sleep(ctx, leaderInterval); err != nil {
			return nil, &remote.RefusedError{Message: fmt.Sprintf("no leader: %v", err)}
		}
	}
}

// leaderInterval is how often a process that knows no leader looks for one.
const leaderInterval = 50 * time.Millisecond

// Set returns the records in force. It implements admin.Control.
func (c *Control) Set() *record.Set { return c.cfg.Store.Set() }

// StampTime sets the time of an encoded command, so that every replica applies it
// at the same time.
func StampTime(now time.Time, entry []byte) ([]byte, error) {
	// An entry that this program can't apply must not get into the log.
	if err := store.CheckCommand(entry); err != nil {
		return nil, fmt.Errorf("check command: %w", err)
	}
	command := new(cmdpb.Command)
	if err := proto.Unmarshal(entry, command); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	command.Time = now.UnixNano()
	stamped, err := proto.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return stamped, nil
}

// servePeer passes on the messages of another control process.
func (c *Control) servePeer(peer *wire.Peer, stream *link.Stream) {
	for {
		message := new(wire.PeerMessage)
		if stream.Receive(message) != nil {
			return
		}
		c.cfg.Receive(group.MemberID(peer.GetFrom()), message.GetData())
	}
}

// serveWatch keeps one process at the newest revision.
func (c *Control) serveWatch(ctx context.Context, call *wire.Call, first *wire.Watch, stream *link.Stream) {
	if first.GetOnce() {
		_ = stream.Send(watch.EncodeDelta(c.cfg.Store.DeltaSince(ident.Revision(call.GetRevision()))))
		return
	}
	if c.cfg.RedirectAddresses != nil && c.joined() != nil {
		_ = stream.Send(&wire.Update{Controls: c.cfg.RedirectAddresses()})
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := c.hub.join(first, ident.Revision(call.GetRevision()))
	defer c.hub.leave(w)
	go func() {
		defer cancel()
		for {
			report := new(wire.Watch)
			if stream.Receive(report) != nil {
				return
			}
			c.hub.take(w, report)
		}
	}()
	c.hub.feed(ctx, w, stream)
}
