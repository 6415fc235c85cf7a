package ctrl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

const (
	// queryProcesses asks a control process for its controlReport.
	queryProcesses = "processes"
	// queryTimeout is the timeout of a query to one other control process.
	queryTimeout = 500 * time.Millisecond
)

// Process is what the control processes know about one process that watches
// them.
type Process struct {
	Name   string
	Role   string
	Target ident.TargetName `json:",omitempty"`
	// InForce is the revision that the process last reported to act on.
	InForce ident.Revision
	// Document is the version of the routing document that the process last reported
	// to hold, 0 if it holds none.
	Document ident.Version `json:",omitempty"`
	// Age is the time since that report.
	Age record.Duration
	// Leased says whether the last report is younger than a lease. If so, the
	// process may still treat its records as the newest.
	Leased bool
	// Connected says whether the process is still watching.
	Connected bool
}

// Fleet is what the control processes know about the other processes.
type Fleet struct {
	// Processes are sorted by role and name.
	Processes []Process
	// Loads are sorted by target.
	Loads []TargetLoad
	// Limits are the rates that targets accept, and their use, as the leader has them.
	Limits []TargetLimit
	// Software are the software versions in the platform's list, as the leader has it.
	Software []ServiceSoftware
	// Evacuations are the failure domains for which there was an order.
	Evacuations []DomainEvacuation
	// Unreachable are the VMs of control processes that did not answer.
	Unreachable []ident.VMName
	// Restarted are the VMs of control processes that started less than a lease
	// ago and may not know every process to which they granted a lease before.
	Restarted []ident.VMName
}

// controlReport is what one control process knows about the processes that
// watch it and the targets that report to it.
type controlReport struct {
	Processes []Process
	Loads     []TargetLoad
	Limits    []TargetLimit
	Software  []ServiceSoftware
	// Evacuations have the requests in flight of the process's watchers only.
	Evacuations []DomainEvacuation
	Restarted   bool
	// Clock is the time on the answering VM.
	Clock time.Time
}

// Fleet asks every control process for the processes that watch it, and
// combines the answers.
func (c *Control) Fleet(ctx context.Context) Fleet {
	members := c.otherMembers()
	answers := make([]*controlReport, len(members))
	var wg sync.WaitGroup
	for i, member := range members {
		wg.Go(func() { answers[i] = c.fetchControlReport(ctx, member) })
	}
	wg.Wait()
	var fleet Fleet
	fleet.add(c.cfg.VM, c.controlReport())
	for i, member := range members {
		fleet.add(member.VM, answers[i])
	}
	fleet.Processes = newestReports(fleet.Processes)
	fleet.Loads = newestLoads(fleet.Loads)
	fleet.Evacuations = newestEvacuations(fleet.Evacuations)
	return fleet
}

// TargetLimit is the use of the rate that a target accepts.
type TargetLimit struct {
	Target ident.TargetName
	// Rate is in requests per second.
	Rate ident.Rate
	// Cold is set if the limit ends by itself, when the target is no longer cold.
	Cold bool `json:",omitempty"`
	// Granted and Refused count the permits of the leader since its term began, or
	// since the target named its limit.
	Granted uint64
	Refused uint64
	// Leader is the VM of the process that grants the permits.
	Leader ident.VMName
}

// targetLimits returns the limits of targets, if this process grants their permits.
func (c *Control) targetLimits() []TargetLimit {
	if _, leads, _ := c.leadership(); !leads {
		return nil
	}
	var limits []TargetLimit
	for _, use := range c.sendLimiter.Uses(c.cfg.Clock.Now()) {
		limits = append(limits, TargetLimit{Target: use.Target, Rate: use.Rate, Cold: use.Cold, Granted: use.Granted, Refused: use.Refused, Leader: c.cfg.VM})
	}
	return limits
}

// add merges the answer of one control process, nil if it did not answer.
func (f *Fleet) add(vm ident.VMName, answer *controlReport) {
	if answer == nil {
		f.Unreachable = append(f.Unreachable, vm)
		return
	}
	f.Processes = append(f.Processes, answer.Processes...)
	f.Loads = append(f.Loads, answer.Loads...)
	f.Limits = append(f.Limits, answer.Limits...)
	f.Software = append(f.Software, answer.Software...)
	f.Evacuations = append(f.Evacuations, answer.Evacuations...)
	if answer.Restarted {
		f.Restarted = append(f.Restarted, vm)
	}
}

// controlReport returns the report of this process.
func (c *Control) controlReport() *controlReport {
	answer := c.hub.watcherReport()
	answer.Loads = c.loadAggregator.targetLoads()
	answer.Limits = c.targetLimits()
	answer.Software = c.serviceSoftware()
	answer.Evacuations = c.domainEvacuations()
	answer.Clock = c.cfg.Clock.Now()
	return answer
}

// otherMembers returns the other control processes, and updates recentMembers.
// The result includes processes removed less than a lease ago, because leases
// that they granted may still run.
func (c *Control) otherMembers() []group.Member {
	if c.cfg.Group == nil {
		return nil
	}
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, member := range c.cfg.Group.Status().Members {
		if member.VM != c.cfg.VM {
			c.recentMembers[member.VM] = recentMember{member: member.Member, lastSeen: now}
		}
	}
	others := make([]group.Member, 0, len(c.recentMembers))
	for vm, recent := range c.recentMembers {
		if now.Sub(recent.lastSeen) > watch.DefaultLease {
			delete(c.recentMembers, vm)
			continue
		}
		others = append(others, recent.member)
	}
	return others
}

// recentMember is a control process and the time when it was last in the member
// list.
type recentMember struct {
	member   group.Member
	lastSeen time.Time
}

// trackMembers updates recentMembers until ctx is done.
func (c *Control) trackMembers(ctx context.Context) {
	for c.cfg.Clock.Sleep(ctx, confirmInterval) == nil {
		c.otherMembers()
	}
}

// fetchControlReport returns the report of another control process, nil if it
// did not answer.
func (c *Control) fetchControlReport(ctx context.Context, member group.Member) *controlReport {
	sentAt := c.cfg.Clock.Now()
	reply, err := c.queryMember(ctx, member, &wire.Query{Kind: queryProcesses})
	if err != nil {
		return nil
	}
	answer := new(controlReport)
	if json.Unmarshal(reply.GetResult(), answer) != nil {
		return nil
	}
	c.checkClockSkew(member.VM, sentAt, answer.Clock)
	return answer
}

// queryMember sends a query to another control process.
func (c *Control) queryMember(ctx context.Context, member group.Member, query *wire.Query) (*wire.QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply := new(wire.QueryReply)
	call := &wire.Call{Body: &wire.Call_Query{Query: query}}
	if err := c.cfg.Link.Ask(ctx, member.Address, call, reply); err != nil {
		return nil, fmt.Errorf("query control process on %s: %w", member.VM, err)
	}
	if reply.GetError() != "" {
		return nil, fmt.Errorf("query control process on %s: %s", member.VM, reply.GetError())
	}
	return reply, nil
}

// answerJSON returns a reply with the JSON of a value as its result.
func answerJSON(value any) *wire.QueryReply {
	data, err := json.Marshal(value)
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	return &wire.QueryReply{Result: data}
}

// newestReports keeps one report of each process: the one with the highest
// revision, which never decreases within a process, and of those the youngest.
func newestReports(processes []Process) []Process {
	slices.SortFunc(processes, func(a, b Process) int {
		return cmp.Or(
			cmp.Compare(a.Role, b.Role),
			cmp.Compare(a.Name, b.Name),
			cmp.Compare(b.InForce, a.InForce),
			cmp.Compare(a.Age.Duration, b.Age.Duration),
		)
	})
	return slices.CompactFunc(processes, func(a, b Process) bool {
		return a.Role == b.Role && a.Name == b.Name
	})
}

// watcherReport returns a report of the current watchers and those that left
// less than a lease ago. Loads and Clock are not set.
func (h *hub) watcherReport() *controlReport {
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropExpired(now)
	answer := &controlReport{Restarted: now.Sub(h.started) < watch.DefaultLease}
	for w := range h.watchers {
		process := w.describe(now)
		process.Connected = true
		answer.Processes = append(answer.Processes, process)
	}
	for _, w := range h.departed {
		answer.Processes = append(answer.Processes, w.describe(now))
	}
	return answer
}

// dropExpired forgets watchers that left more than a lease ago. The caller
// holds the lock.
func (h *hub) dropExpired(now time.Time) {
	h.departed = slices.DeleteFunc(h.departed, func(w *watcher) bool { return !w.describe(now).Leased })
}

// describe returns the state of the watcher as of its last report.
func (w *watcher) describe(now time.Time) Process {
	w.mu.Lock()
	defer w.mu.Unlock()
	process := Process{
		Name:     w.report.GetProcess(),
		Role:     w.report.GetRole(),
		Target:   ident.TargetName(w.report.GetTarget()),
		InForce:  ident.Revision(w.report.GetInForce()),
		Document: ident.Version(w.report.GetDocument()),
		Age:      record.Duration{Duration: now.Sub(w.reportedAt).Round(time.Millisecond)},
		Leased:   now.Sub(w.reportedAt) < watch.DefaultLease,
	}
	return process
}

// routerCountInterval is the interval between two counts of the routers.
const routerCountInterval = 5 * time.Second

// countRouters counts the routers of the fleet until ctx is done. The count is
// sent to all routers, which compute their share of the customers' limits from
// it.
func (c *Control) countRouters(ctx context.Context) {
	for ctx.Err() == nil {
		var routers uint32
		for _, process := range c.Fleet(ctx).Processes {
			if process.Role == "router" && process.Leased {
				routers++
			}
		}
		c.hub.routers.Store(routers)
		_ = c.cfg.Clock.Sleep(ctx, routerCountInterval)
	}
}
