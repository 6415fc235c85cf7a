// Package ctrl implements the control role. It accepts changes from operators
// and claims from routers for the replicated store, and sends the current
// records to all other processes.
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
	"cactusline.dev/cactusline/internal/request/origin"
	"cactusline.dev/cactusline/internal/request/trail"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/store"
)

// Clock provides the time.
type Clock interface {
	Now() time.Time
	// Elapsed returns the time since an unspecified start, including the time for which
	// the machine was suspended.
	Elapsed() time.Duration
	After(d time.Duration) <-chan time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Log is the replicated log of the control processes.
type Log interface {
	// Propose returns the result of an entry after it has been committed and
	// applied.
	Propose(ctx context.Context, entry []byte) ([]byte, error)
	// Barrier returns once this process has applied every entry that was
	// committed before the call, with the index of the last of them.
	Barrier(ctx context.Context) (uint64, error)
}

// Store is the replicated state.
type Store interface {
	// DeltaSince returns the changes after a revision.
	DeltaSince(revision ident.Revision) record.Delta
	// Set returns the current set of records.
	Set() *record.Set
	// Changed returns a channel that is closed at the next change of the
	// records, the crash verdicts, the routing document or the evacuations.
	Changed() <-chan struct{}
	// Verdicts returns the verdicts on requests that were in flight when
	// targets crashed, and an index that rises when they change.
	Verdicts() ([]*wire.CrashVerdict, uint64)
	// Document returns the current routing document.
	Document() store.Document
	// Evacuations returns the domains for which there was an order, and an index
	// that rises when they change.
	Evacuations() ([]store.Evacuation, uint64)
	// Software returns the software versions that gates may have been told of.
	Software() []store.Software
	// InFlightAtCrash returns the requests that were in flight when a target
	// crashed.
	InFlightAtCrash(target ident.TargetName) []ident.Fingerprint
}

// Config holds the dependencies and settings of a Control.
type Config struct {
	// VM is the VM of this process.
	VM ident.VMName
	// Listener accepts calls of other processes of the system.
	Listener net.Listener
	Clock    Clock
	Logger   log.Logger
	Tracer   *trace.Tracer
	Log      Log
	Store    Store
	// Remote sends commands to the leader.
	Remote *remote.Client
	// Link calls a single control process.
	Link *link.Client
	// Group lists and changes the control processes; if it is nil, this is the
	// only one.
	Group Membership
	// Audit holds the exported audit entries; nil if there are none.
	Audit AuditFolder
	// Receive handles messages of the replicated log from other control
	// processes.
	Receive func(from group.MemberID, message []byte)
	// FallbackQuery answers queries of kinds that this package does not handle.
	FallbackQuery func(ctx context.Context, query *wire.Query) *wire.QueryReply
	// WeightFetchLimit limits the rate at which fetches of model weights start
	// in the whole fleet.
	WeightFetchLimit permit.Limit
	// Roster publishes the targets of the platform; nil if records list them.
	Roster *roster.Publisher
	// DocumentServices returns the services that a routing document names; nil if there are
	// no routing documents.
	DocumentServices func(document []byte) ([]ident.ServiceName, error)
	// OriginLog keeps the origins of streams; nil if they are held in memory only.
	OriginLog OriginLog
	// RedirectAddresses returns the addresses of control processes to which
	// watchers are redirected while this process is not a member of the control
	// group; nil disables redirection.
	RedirectAddresses func() []string
	// DeadPeerTimeout limits how long a connection to an unreachable process
	// stays open; 0 means the default of the operating system.
	DeadPeerTimeout time.Duration
	// MinVoters is the number of voters below which routing documents and evacuations
	// are rejected until groupFormationTimeout after the start, so that what is
	// accepted survives the tolerated number of lost VMs. 0 means no minimum.
	MinVoters int
}

// Control is a control process. It serves the other processes of the system.
type Control struct {
	cfg            Config
	hub            *hub
	loadAggregator *loadAggregator
	decisions      *trail.Ring
	permitLimiter  *permit.Limiter
	sendLimiter    *permit.SendLimiter
	origins        *origin.Table
	absences       absences
	claims         targetClaims
	clockSkews     clockSkews
	server         *link.Server

	mu            sync.Mutex
	recentMembers map[ident.VMName]recentMember
}

// New returns a control process, which Run starts.
func New(cfg Config) *Control {
	sendLimiter := permit.NewSendLimiter()
	c := &Control{
		cfg: cfg, hub: newHub(cfg, sendLimiter), sendLimiter: sendLimiter,
		origins: origin.NewTable(origin.Config{MaxStreams: maxStreams}), loadAggregator: newLoadAggregator(cfg.Clock), decisions: trail.NewRing(0),
		recentMembers: make(map[ident.VMName]recentMember),
		permitLimiter: permit.NewLimiter(permit.WeightLimits(cfg.WeightFetchLimit)),
	}
	c.server = link.NewServer(c)
	c.server.DeadPeerTimeout = cfg.DeadPeerTimeout
	return c
}

// Run serves calls until ctx is done.
func (c *Control) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.cfg.Listener.Close() })
	defer stop()
	go c.hub.runConfirmations(ctx)
	go c.hub.tickLoads(ctx)
	go c.trackMembers(ctx)
	go c.fillAuditGaps(ctx)
	c.registerMetrics()
	go c.loadAggregator.run(ctx)
	go c.countRouters(ctx)
	_ = level.Info(c.cfg.Logger).Log("msg", "control process is serving", "vm", c.cfg.VM, "address", c.cfg.Listener.Addr())
	if err := c.server.Serve(ctx, c.cfg.Listener); err != nil {
		return fmt.Errorf("serve calls: %w", err)
	}
	if err := c.server.Close(); err != nil {
		return fmt.Errorf("close call server: %w", err)
	}
	return nil
}

// ServeCall implements link.Handler.
func (c *Control) ServeCall(ctx context.Context, call *wire.Call, stream *link.Stream) {
	switch body := call.GetBody().(type) {
	case *wire.Call_Command:
		ctx, span := c.cfg.Tracer.Start(ctx, call.GetTraceParent(), "control.command")
		_ = stream.Send(c.propose(ctx, body.Command))
		span.End()
	case *wire.Call_Watch:
		c.serveWatch(ctx, call, body.Watch, stream)
	case *wire.Call_Balance:
		c.loadAggregator.serveReports(ctx, body.Balance, stream)
	case *wire.Call_Query:
		_ = stream.Send(c.query(ctx, body.Query))
	case *wire.Call_Peer:
		c.servePeer(body.Peer, stream)
	case *wire.Call_Probe:
		_ = stream.Send(&wire.ProbeReply{Revision: uint64(c.cfg.Store.Set().Revision())})
	}
}

// query answers a query of another process.
func (c *Control) query(ctx context.Context, query *wire.Query) *wire.QueryReply {
	switch query.GetKind() {
	case queryProcesses:
		return answerJSON(c.controlReport())
	case queryMembers:
		return c.answerMemberChange(ctx, query.GetArgument())
	case queryDecisions:
		return answerJSON(c.decisions.Get(ident.RequestID(query.GetName())))
	case queryAudit:
		return c.answerAudit(query.GetName())
	case QueryInFlightAtCrash:
		return c.answerInFlightAtCrash(ctx, query.GetName())
	case QueryPermit:
		return c.answerPermit(ctx, query.GetArgument())
	case QuerySendPermit:
		return c.answerSendPermit(query.GetArgument())
	case QueryOrigin:
		return c.answerOrigin(ctx, query.GetArgument())
	case QueryStoreDecisions:
		return c.storeDecisions(query.GetArgument())
	case queryPutDocument:
		return c.answerPutDocument(ctx, query.GetArgument())
	case queryDocument:
		return c.answerDocument(ctx)
	case queryEvacuate:
		return c.answerEvacuate(ctx, query.GetArgument())
	case queryEvacuations:
		return c.answerEvacuations(ctx)
	}
	if c.cfg.FallbackQuery == nil {
		return &wire.QueryReply{Error: "unknown query kind " + query.GetKind()}
	}
	return c.cfg.FallbackQuery(ctx, query)
}

// propose sets the time of a command and proposes it.
func (c *Control) propose(ctx context.Context, command *wire.Command) *wire.CommandReply {
	entry, err := StampTime(c.cfg.Clock.Now(), command.GetEntry())
	if err != nil {
		return &wire.CommandReply{Error: err.Error()}
	}
	if refusal := c.checkVoters(entry); refusal != nil {
		return refusal
	}
	result, err := c.cfg.Log.Propose(ctx, entry)
	if err == nil {
		return &wire.CommandReply{Result: result}
	}
	return commandFailure(err)
}

// commandFailure returns the reply for a command whose proposal failed. If this
// process is not the leader, the command was not committed and may be retried;
// otherwise its outcome is unknown.
func commandFailure(err error) *wire.CommandReply {
	reply := &wire.CommandReply{Error: err.Error()}
	var notLeader *group.NotLeaderError
	if errors.As(err, &notLeader) {
		reply.Leader = notLeader.Address
		reply.Retry = true
		return reply
	}
	reply.Unknown = true
	return reply
}

// Command proposes an encoded command, here or at the leader, and returns its
// encoded result. After a *remote.RefusedError the command was not committed;
// after any other error it may have been. It implements admin.Control.
func (c *Control) Command(ctx context.Context, entry []byte) ([]byte, error) {
	if err := c.checkJoined(); err != nil {
		return nil, &remote.RefusedError{Message: err.Error()}
	}
	for {
		reply := c.propose(ctx, &wire.Command{Entry: entry})
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
			// The settings may name none of the members any more.
			c.cfg.Remote.SetAddresses(c.memberAddresses())
			c.cfg.Remote.SetLeader(reply.GetLeader())
			return c.cfg.Remote.ProposeEntry(ctx, entry, trace.Traceparent(ctx))
		}
		if err := c.cfg.Clock.Sleep(ctx, leaderRetryInterval); err != nil {
			return nil, &remote.RefusedError{Message: fmt.Sprintf("no leader: %v", err)}
		}
	}
}

// memberAddresses returns the addresses of the other members of the control group.
func (c *Control) memberAddresses() []string {
	if c.cfg.Group == nil {
		return nil
	}
	status := c.cfg.Group.Status()
	var list []string
	for _, member := range status.Members {
		if member.ID != status.ID {
			list = append(list, member.Address)
		}
	}
	return list
}

// leaderRetryInterval is the delay before another attempt while no leader is
// known.
const leaderRetryInterval = 50 * time.Millisecond

// Set returns the current set of records. It implements admin.Control.
func (c *Control) Set() *record.Set { return c.cfg.Store.Set() }

// StampTime sets the time of an encoded command, so that every replica applies
// it with the same time.
func StampTime(now time.Time, entry []byte) ([]byte, error) {
	// A command that this program can't apply must not get into the log.
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

// servePeer receives the replicated log's messages from another control
// process.
func (c *Control) servePeer(peer *wire.Peer, stream *link.Stream) {
	for {
		message := new(wire.PeerMessage)
		if stream.Receive(message) != nil {
			return
		}
		// From is the sender's VM name; Receive uses only the VM of the member ID.
		c.cfg.Receive(group.MemberID(peer.GetFrom()), message.GetData())
	}
}

// serveWatch sends updates to one process until it disconnects, or a single
// update if the watch asks for one only.
func (c *Control) serveWatch(ctx context.Context, call *wire.Call, request *wire.Watch, stream *link.Stream) {
	if request.GetOnce() {
		_ = stream.Send(watch.EncodeDelta(c.cfg.Store.DeltaSince(ident.Revision(call.GetRevision()))))
		return
	}
	if c.cfg.RedirectAddresses != nil && c.checkJoined() != nil {
		_ = stream.Send(&wire.Update{Controls: c.cfg.RedirectAddresses()})
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := c.hub.addWatcher(request, ident.Revision(call.GetRevision()))
	defer c.hub.removeWatcher(w)
	go func() {
		defer cancel()
		for {
			report := new(wire.Watch)
			if stream.Receive(report) != nil {
				return
			}
			c.recordReport(report)
			c.hub.recordReport(w, report)
		}
	}()
	c.hub.sendUpdates(ctx, w, stream)
}
