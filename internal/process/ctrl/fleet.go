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
	// queryProcesses asks a control process for those that watch it.
	queryProcesses = "processes"
	// fleetTimeout bounds the question to one other control process.
	fleetTimeout = 500 * time.Millisecond
)

// Process is what control knows of one process that watches the records.
type Process struct {
	Name   string
	Role   string
	Target ident.TargetName `json:",omitempty"`
	// InForce is the revision that the process last said it acts on.
	InForce ident.Revision
	// Age is the time since that report.
	Age record.Duration
	// Leased says that the report is younger than a lease, so that the process
	// may still count its records as the newest.
	Leased bool
	// Connected says that the process still watches.
	Connected bool
}

// Fleet is what the control processes know of the others.
type Fleet struct {
	// Processes are sorted by role and name.
	Processes []Process
	// Loads are sorted by target.
	Loads []TargetLoad
	// Unreachable are the VMs of control processes that gave no answer.
	Unreachable []ident.VMName
	// Restarted are the VMs of control processes that started within a lease,
	// so that they may not know all to which they granted one before.
	Restarted []ident.VMName
}

// watched is what one control process knows of those that watch it.
type watched struct {
	Processes []Process
	Loads     []TargetLoad
	Restarted bool
	// Clock is the answering VM's.
	Clock time.Time
}

// Fleet asks every control process which processes watch it.
func (c *Control) Fleet(ctx context.Context) Fleet {
	members := c.members()
	answers := make([]*watched, len(members))
	var work sync.WaitGroup
	for i, member := range members {
		work.Go(func() { answers[i] = c.askWatched(ctx, member) })
	}
	work.Wait()
	var fleet Fleet
	fleet.add(c.cfg.VM, c.watched())
	for i, member := range members {
		fleet.add(member.VM, answers[i])
	}
	fleet.Processes = newest(fleet.Processes)
	fleet.Loads = youngest(fleet.Loads)
	return fleet
}

// add takes the answer of one control process, nil if there was none.
func (f *Fleet) add(vm ident.VMName, answer *watched) {
	if answer == nil {
		f.Unreachable = append(f.Unreachable, vm)
		return
	}
	f.Processes = append(f.Processes, answer.Processes...)
	f.Loads = append(f.Loads, answer.Loads...)
	if answer.Restarted {
		f.Restarted = append(f.Restarted, vm)
	}
}

// watched returns what this process knows.
func (c *Control) watched() *watched {
	answer := c.hub.watched()
	answer.Loads = c.balancer.loads()
	answer.Clock = c.cfg.Clock.Now()
	return answer
}

// members returns the other control processes, those that were taken out
// within a lease too, because what they granted may still run.
func (c *Control) members() []group.Member {
	if c.cfg.Group == nil {
		return nil
	}
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, member := range c.cfg.Group.Status().Members {
		if member.VM != c.cfg.VM {
			c.seen[member.VM] = seenMember{member: member.Member, at: now}
		}
	}
	others := make([]group.Member, 0, len(c.seen))
	for vm, seen := range c.seen {
		if now.Sub(seen.at) > watch.DefaultLease {
			delete(c.seen, vm)
			continue
		}
		others = append(others, seen.member)
	}
	return others
}

// seenMember is a control process and when it was last in the member list.
type seenMember struct {
	member group.Member
	at     time.Time
}

// watchMembers keeps the members seen up to date until ctx ends.
func (c *Control) watchMembers(ctx context.Context) {
	for c.cfg.Clock.Sleep(ctx, confirmInterval) == nil {
		c.members()
	}
}

// askWatched returns nil if the control process gave no answer.
func (c *Control) askWatched(ctx context.Context, member group.Member) *watched {
	asked := c.cfg.Clock.Now()
	reply, err := c.ask(ctx, member, &wire.Query{Kind: queryProcesses})
	if err != nil {
		return nil
	}
	answer := new(watched)
	if json.Unmarshal(reply.GetResult(), answer) != nil {
		return nil
	}
	c.noteClock(member.VM, asked, answer.Clock)
	return answer
}

// ask puts a question to one other control process.
func (c *Control) ask(ctx context.Context, member group.Member, query *wire.Query) (*wire.QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	reply := new(wire.QueryReply)
	call := &wire.Call{Body: &wire.Call_Query{Query: query}}
	if err := c.cfg.Link.Ask(ctx, member.Address, call, reply); err != nil {
		return nil, fmt.Errorf("ask control %s: %w", member.VM, err)
	}
	if reply.GetError() != "" {
		return nil, fmt.Errorf("ask control %s: %s", member.VM, reply.GetError())
	}
	return reply, nil
}

// answerJSON returns the reply that carries a value.
func answerJSON(value any) *wire.QueryReply {
	data, err := json.Marshal(value)
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	return &wire.QueryReply{Result: data}
}

// newest keeps one report of each process: the highest revision, which never
// falls in one process, and then the youngest report.
func newest(processes []Process) []Process {
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

// watched returns the watchers, and those that left within a lease.
func (h *hub) watched() *watched {
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget(now)
	answer := &watched{Restarted: now.Sub(h.started) < watch.DefaultLease}
	for w := range h.watchers {
		process := w.describe(now)
		process.Connected = true
		answer.Processes = append(answer.Processes, process)
	}
	for _, w := range h.gone {
		answer.Processes = append(answer.Processes, w.describe(now))
	}
	return answer
}

// forget drops watchers that left more than a lease ago. The caller holds the
// lock.
func (h *hub) forget(now time.Time) {
	h.gone = slices.DeleteFunc(h.gone, func(w *watcher) bool { return !w.describe(now).Leased })
}

func (w *watcher) describe(now time.Time) Process {
	w.mu.Lock()
	defer w.mu.Unlock()
	process := Process{
		Name:    w.report.GetProcess(),
		Role:    w.report.GetRole(),
		Target:  ident.TargetName(w.report.GetTarget()),
		InForce: ident.Revision(w.report.GetInForce()),
		Age:     record.Duration{Duration: now.Sub(w.reported).Round(time.Millisecond)},
		Leased:  now.Sub(w.reported) < watch.DefaultLease,
	}
	return process
}

// countInterval is how often the routers of the fleet are counted.
const countInterval = 5 * time.Second

// countRouters keeps the number of routers that is told to all of them, by
// which each works out its share of the customers' limits.
func (c *Control) countRouters(ctx context.Context) {
	for ctx.Err() == nil {
		var routers uint32
		for _, process := range c.Fleet(ctx).Processes {
			if process.Role == "router" && process.Leased {
				routers++
			}
		}
		c.hub.routers.Store(routers)
		_ = c.cfg.Clock.Sleep(ctx, countInterval)
	}
}
