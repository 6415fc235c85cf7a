// Package member lets control processes find each other without a list of
// them, and keeps the members of the replicated log: the leader takes in those
// that come, and puts newcomers in the place of those that are gone.
package member

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/ident"
)

// queryAnnounce brings the word of one control process to another.
const queryAnnounce = "announce"

const (
	// joiningInterval is between announcements of a process that is no member
	// or knows no leader; it bounds how long a newcomer waits to be taken in.
	joiningInterval = 250 * time.Millisecond
	// settledInterval is between those of a member that has a leader, or that
	// holds no log.
	settledInterval = 2 * time.Second
	// heardLimit is how long the word of a process counts: it outlasts three
	// lost announcements of one that is joining.
	heardLimit = time.Second
	// knownLimit is how long an address is tried that nobody has heard of.
	knownLimit = time.Minute
	// registerTime is how long the first process waits for the others to start
	// before it names the founder, if it can't be that itself. All VMs of a
	// fresh system start within 0.3 s.
	registerTime = 800 * time.Millisecond
	askTimeout   = 500 * time.Millisecond
)

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Process is the word of one control process.
type Process struct {
	VM ident.VMName
	// ID is the identity of the data folder, empty without one.
	ID group.MemberID `json:",omitempty"`
	// Address takes calls of other processes.
	Address string
	// Fresh processes were started with the whole system.
	Fresh bool `json:",omitempty"`
}

// announcement is the answer to an Entry.
type announcement struct {
	Known []Process
	// Founder is the VM that is to form the group, if the answering process
	// names it.
	Founder ident.VMName `json:",omitempty"`
}

// DiscoveryConfig configures a Discovery.
type DiscoveryConfig struct {
	Self Process
	// Seeds are addresses of control processes from the settings. The first is
	// the same for all processes of a fresh system; the process there names the
	// founder.
	Seeds []string
	// Group is the replicated log, nil in a process without a data folder.
	Group  *group.Group
	Link   *link.Client
	Clock  Clock
	Logger log.Logger
}

// Discovery knows the control processes that announce themselves.
type Discovery struct {
	cfg     DiscoveryConfig
	started time.Time

	mu    sync.Mutex
	seeds []string
	known map[ident.VMName]*heard
}

// heard is an entry, when it was heard of, and when from itself.
type heard struct {
	entry  Process
	at     time.Time
	itself time.Time
}

// NewDiscovery returns a Discovery; Run starts it.
func NewDiscovery(cfg DiscoveryConfig) *Discovery {
	return &Discovery{cfg: cfg, started: cfg.Clock.Now(), seeds: cfg.Seeds, known: make(map[ident.VMName]*heard)}
}

// SetSeeds replaces the addresses from the settings.
func (d *Discovery) SetSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

// Run announces this process until ctx ends.
func (d *Discovery) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := settledInterval
		if d.joining() {
			interval = joiningInterval
		}
		d.found(d.named())
		d.announce(ctx)
		_ = d.cfg.Clock.Sleep(ctx, interval)
	}
}

// joining reports whether this process still looks for its place.
func (d *Discovery) joining() bool {
	if d.cfg.Group == nil {
		return len(d.ReplicaAddresses()) == 0
	}
	status := d.cfg.Group.Status()
	if status.Leader == "" {
		return true
	}
	return !slices.ContainsFunc(status.Members, func(m group.MemberStatus) bool {
		return m.ID == status.ID && !m.Learner
	})
}

// named returns the founder if this process is the one to name it.
func (d *Discovery) named() ident.VMName {
	if !d.cfg.Self.Fresh || len(d.cfg.Seeds) == 0 || d.cfg.Seeds[0] != d.cfg.Self.Address {
		return ""
	}
	if d.cfg.Self.ID != "" {
		return d.cfg.Self.VM
	}
	now := d.cfg.Clock.Now()
	if now.Sub(d.started) < registerTime {
		return ""
	}
	var founder ident.VMName
	for _, entry := range d.Live() {
		if entry.Fresh && entry.ID != "" && (founder == "" || entry.VM < founder) {
			founder = entry.VM
		}
	}
	return founder
}

// found forms the group if this process is its founder. Only a process of a
// fresh system does, and only with an empty folder.
func (d *Discovery) found(founder ident.VMName) {
	if founder != d.cfg.Self.VM || !d.cfg.Self.Fresh || d.cfg.Group == nil {
		return
	}
	if d.cfg.Group.BootstrapSingle(d.cfg.Self.Address) {
		_ = level.Info(d.cfg.Logger).Log("msg", "group founded", "member", d.cfg.Self.ID)
	}
}

// announce tells the seeds and all known processes of this one.
func (d *Discovery) announce(ctx context.Context) {
	var work sync.WaitGroup
	for _, address := range d.addresses() {
		work.Go(func() { d.tell(ctx, address) })
	}
	work.Wait()
}

func (d *Discovery) addresses() []string {
	var list []string
	add := func(address string) {
		if address != "" && address != d.cfg.Self.Address && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	d.mu.Lock()
	seeds := d.seeds
	d.mu.Unlock()
	for _, seed := range seeds {
		add(seed)
	}
	if d.cfg.Group != nil {
		for _, member := range d.cfg.Group.Status().Members {
			add(member.Address)
		}
	}
	if d.joining() {
		for _, entry := range d.Known() {
			add(entry.Address)
		}
	}
	return list
}

func (d *Discovery) tell(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	argument, err := json.Marshal(d.cfg.Self)
	if err != nil {
		_ = level.Error(d.cfg.Logger).Log("msg", "encode announcement", "err", err)
		return
	}
	reply := new(wire.QueryReply)
	call := &wire.Call{Body: &wire.Call_Query{Query: &wire.Query{Kind: queryAnnounce, Argument: argument}}}
	if err := d.cfg.Link.Ask(ctx, address, call, reply); err != nil {
		_ = level.Debug(d.cfg.Logger).Log("msg", "control process not reached", "address", address, "err", err)
		return
	}
	var answer announcement
	if err := json.Unmarshal(reply.GetResult(), &answer); err != nil {
		_ = level.Warn(d.cfg.Logger).Log("msg", "announcement not understood", "address", address, "answer", reply.GetError(), "err", err)
		return
	}
	for _, entry := range answer.Known {
		d.hear(entry, false)
	}
	if len(d.cfg.Seeds) > 0 && address == d.cfg.Seeds[0] {
		d.found(answer.Founder)
	}
}

// Answer answers a query, nil for one that is not of this package.
func (d *Discovery) Answer(query *wire.Query) *wire.QueryReply {
	if query.GetKind() != queryAnnounce {
		return nil
	}
	var entry Process
	if err := json.Unmarshal(query.GetArgument(), &entry); err != nil {
		return &wire.QueryReply{Error: fmt.Sprintf("read announcement: %v", err)}
	}
	d.hear(entry, true)
	known := append(d.Known(), d.cfg.Self)
	if d.cfg.Group != nil {
		for _, member := range d.cfg.Group.Status().Members {
			known = append(known, Process{VM: member.VM, ID: member.ID, Address: member.Address})
		}
	}
	result, err := json.Marshal(announcement{Known: known, Founder: d.named()})
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	return &wire.QueryReply{Result: result}
}

// hear notes the word of a process, from itself or from another one.
func (d *Discovery) hear(entry Process, itself bool) {
	if entry.VM == d.cfg.Self.VM || entry.VM == "" {
		return
	}
	now := d.cfg.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.known[entry.VM]
	if known == nil {
		known = &heard{}
		d.known[entry.VM] = known
		_ = level.Debug(d.cfg.Logger).Log("msg", "control process heard of", "vm", entry.VM, "address", entry.Address, "member", entry.ID, "itself", itself)
	}
	switch {
	case itself:
		known.entry, known.at, known.itself = entry, now, now
	case now.Sub(known.itself) > heardLimit:
		// The process's own word goes before that of others.
		if known.entry != entry {
			known.at = now
		}
		known.entry = entry
	}
	for vm, other := range d.known {
		if now.Sub(other.at) > knownLimit {
			delete(d.known, vm)
		}
	}
}

// Known returns the processes that were heard of.
func (d *Discovery) Known() []Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]Process, 0, len(d.known))
	for _, known := range d.known {
		list = append(list, known.entry)
	}
	return list
}

// Live returns the processes that announced themselves lately, this one too.
func (d *Discovery) Live() []Process {
	now := d.cfg.Clock.Now()
	list := []Process{d.cfg.Self}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, known := range d.known {
		if !known.itself.IsZero() && now.Sub(known.itself) <= heardLimit {
			list = append(list, known.entry)
		}
	}
	return list
}

// ReplicaAddresses returns the addresses of the other processes with a data folder.
func (d *Discovery) ReplicaAddresses() []string {
	var list []string
	for _, entry := range d.Known() {
		if entry.ID != "" {
			list = append(list, entry.Address)
		}
	}
	slices.Sort(list)
	return list
}
