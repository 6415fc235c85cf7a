// Package member implements discovery of control processes and management of the
// members of the replicated log. Control processes find each other by announcing
// themselves to a few seed addresses. The leader adds new processes as members
// and replaces members that have failed.
package member

import (
	"cmp"
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

// queryAnnounce is the kind of the query with which a control process announces
// itself to another.
const queryAnnounce = "announce"

const (
	// joiningAnnounceInterval is the time between announcements of a process that
	// is not a voter or knows no leader. It bounds how long a new process waits to
	// be added.
	joiningAnnounceInterval = 250 * time.Millisecond
	// settledAnnounceInterval is the time between announcements of a voter that
	// knows a leader, or of a process without a data folder that knows processes
	// with one.
	settledAnnounceInterval = 2 * time.Second
	// liveTimeout is how long a process counts as live after its announcement. It
	// tolerates three lost announcements of a joining process.
	liveTimeout = time.Second
	// knownTimeout is how much longer ago than of any other process a process may last have
	// been heard of, and stay known. It doesn't run while this process hears of none.
	knownTimeout = time.Minute
	// recentTimeout is the time in which a process that runs is heard of, also if some
	// announcements are lost and another process passes them on.
	recentTimeout = 5 * settledAnnounceInterval
	// relayContacts is the number of processes with a data folder, beside the seeds, to which
	// a process without one announces itself, so that it learns of changes also once all
	// its seeds are gone.
	relayContacts = 2
	// founderWait is how long the first seed waits for the other processes to
	// start before it chooses the founder, if it cannot be the founder itself. All
	// VMs of a new system start within 0.3 s.
	founderWait     = 800 * time.Millisecond
	announceTimeout = 500 * time.Millisecond
)

// Clock is the source of time.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Process describes a control process as it announces itself.
type Process struct {
	VM ident.VMName
	// ID is the identity of the data folder, empty if the process has none.
	ID group.MemberID `json:",omitempty"`
	// Address is where the process accepts calls of other control processes.
	Address string
	// Fresh is set if the process was started together with the whole system, not
	// added to a running one.
	Fresh bool `json:",omitempty"`
}

// announceReply is the reply to an announcement.
type announceReply struct {
	// Self is the process that replies.
	Self  Process
	Known []Process
	// Ages are how long ago each of Known was last heard of, by the replying process or by
	// one that told it. Processes of earlier releases send none.
	Ages []time.Duration `json:",omitempty"`
	// Founder is the VM that must bootstrap the group. It is set only by the
	// process that chooses the founder.
	Founder ident.VMName `json:",omitempty"`
}

// DiscoveryConfig configures a Discovery.
type DiscoveryConfig struct {
	Self Process
	// Seeds are addresses of control processes from the settings. The first seed
	// is the same for all processes of a new system; that process chooses the
	// founder.
	Seeds []string
	// Group is the replicated log. It is nil in a process without a data folder.
	Group  *group.Group
	Link   *link.Client
	Clock  Clock
	Logger log.Logger
}

// Discovery announces this process to other control processes and records the
// processes that announce themselves.
type Discovery struct {
	cfg     DiscoveryConfig
	started time.Time

	mu    sync.Mutex
	seeds []string // current seed addresses; cfg.Seeds stays and determines the founder
	known map[ident.VMName]*knownProcess
	// founder is the founder that this process has chosen, if any.
	founder ident.VMName
}

// knownProcess is a process with the times of its last announcement to this process, and of
// the last one to any process, as far as this one knows. What others report never makes a
// process seem alive that has announced itself to nobody.
type knownProcess struct {
	process       Process
	lastHeard     time.Time
	lastAnnounced time.Time
}

// NewDiscovery returns a Discovery. Run starts the announcements.
func NewDiscovery(cfg DiscoveryConfig) *Discovery {
	return &Discovery{cfg: cfg, started: cfg.Clock.Now(), seeds: cfg.Seeds, known: make(map[ident.VMName]*knownProcess)}
}

// SetSeeds replaces the seed addresses.
func (d *Discovery) SetSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

// Run announces this process at intervals until ctx is done.
func (d *Discovery) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := settledAnnounceInterval
		if d.joining() {
			interval = joiningAnnounceInterval
		}
		d.bootstrapIfFounder(d.chooseFounder())
		d.announce(ctx)
		_ = d.cfg.Clock.Sleep(ctx, interval)
	}
}

// joining reports whether this process still has to find the group. With a data
// folder, that is while it is not a voter or knows no leader; without one, while
// it knows no process with a data folder.
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

// chooseFounder returns the founder if this process is the first seed of a new
// system, and "" otherwise or while the founder is undecided. The process itself
// is preferred if it has a data folder; otherwise, after founderWait, the founder
// is the live process of the new system with a data folder whose VM has the
// smallest name. The choice is made once: a second founder would form a second group.
func (d *Discovery) chooseFounder() ident.VMName {
	if !d.cfg.Self.Fresh || len(d.cfg.Seeds) == 0 || d.cfg.Seeds[0] != d.cfg.Self.Address {
		return ""
	}
	if d.cfg.Self.ID != "" {
		return d.cfg.Self.VM
	}
	now := d.cfg.Clock.Now()
	if now.Sub(d.started) < founderWait {
		return ""
	}
	live := d.Live()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.founder != "" {
		return d.founder
	}
	for _, process := range live {
		if process.Fresh && process.ID != "" && (d.founder == "" || process.VM < d.founder) {
			d.founder = process.VM
		}
	}
	if d.founder != "" {
		_ = level.Info(d.cfg.Logger).Log("msg", "founder of the group chosen", "vm", d.founder)
	}
	return d.founder
}

// bootstrapIfFounder bootstraps the group if this process is the founder. Only a
// process of a new system does so, and only if its member has never been part of a
// group.
func (d *Discovery) bootstrapIfFounder(founder ident.VMName) {
	if founder != d.cfg.Self.VM || !d.cfg.Self.Fresh || d.cfg.Group == nil {
		return
	}
	if d.cfg.Group.BootstrapSingle(d.cfg.Self.Address) {
		_ = level.Info(d.cfg.Logger).Log("msg", "group bootstrapped", "member", d.cfg.Self.ID)
	}
}

// announce sends an announcement to all addresses.
func (d *Discovery) announce(ctx context.Context) {
	var wg sync.WaitGroup
	for _, address := range d.announceAddresses() {
		wg.Go(func() { d.announceTo(ctx, address) })
	}
	wg.Wait()
}

// announceAddresses returns the addresses to announce this process to: those of
// the seeds, of the members and, while joining, of all known processes. A process
// without a data folder, which knows no members, has relayContacts in their place.
func (d *Discovery) announceAddresses() []string {
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
		status := d.cfg.Group.Status()
		for _, member := range append(status.Members, status.Leaving...) {
			add(member.Address)
		}
	}
	if d.joining() {
		for _, process := range d.Known() {
			add(process.Address)
		}
	}
	if d.cfg.Group == nil {
		others := slices.DeleteFunc(d.ReplicaAddresses(), func(address string) bool { return slices.Contains(list, address) })
		for _, address := range others[:min(len(others), relayContacts)] {
			add(address)
		}
	}
	return list
}

// announceTo sends an announcement to one address and records the processes in
// the reply.
func (d *Discovery) announceTo(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	argument, err := json.Marshal(d.cfg.Self)
	if err != nil {
		_ = level.Error(d.cfg.Logger).Log("msg", "encode announcement failed", "err", err)
		return
	}
	members := d.membersAt(address)
	reply := new(wire.QueryReply)
	call := &wire.Call{Body: &wire.Call_Query{Query: &wire.Query{Kind: queryAnnounce, Argument: argument}}}
	if err := d.cfg.Link.Ask(ctx, address, call, reply); err != nil {
		_ = level.Debug(d.cfg.Logger).Log("msg", "control process unreachable", "address", address, "err", err)
		return
	}
	var answer announceReply
	if err := json.Unmarshal(reply.GetResult(), &answer); err != nil {
		_ = level.Warn(d.cfg.Logger).Log("msg", "invalid reply to announcement", "address", address, "answer", reply.GetError(), "err", err)
		return
	}
	d.reportLostDisks(members, answer.Self)
	d.recordReports(&answer)
	if len(d.cfg.Seeds) > 0 && address == d.cfg.Seeds[0] {
		d.bootstrapIfFounder(answer.Founder)
	}
}

// membersAt returns the members of the log at an address.
func (d *Discovery) membersAt(address string) []group.MemberStatus {
	if d.cfg.Group == nil {
		return nil
	}
	status := d.cfg.Group.Status()
	return slices.DeleteFunc(append(status.Members, status.Leaving...), func(m group.MemberStatus) bool { return m.Address != address })
}

// reportLostDisks reports those of members whose VM now has another data folder.
// members are the members at the address of the replying process before it was
// asked. A reply that was sent later proves that the folder of a member is gone,
// while an announcement may be older than the member.
func (d *Discovery) reportLostDisks(members []group.MemberStatus, replying Process) {
	if replying.ID == "" {
		return
	}
	for _, member := range members {
		if member.VM != replying.VM || member.ID == replying.ID || member.DiskLost {
			continue
		}
		err := d.cfg.Group.ReportDiskLost(member.ID)
		_ = level.Info(d.cfg.Logger).Log("msg", "disk of member is lost", "member", member.ID, "now", replying.ID, "err", err)
	}
}

// Answer returns the reply to an announcement, and nil for other queries.
func (d *Discovery) Answer(query *wire.Query) *wire.QueryReply {
	if query.GetKind() != queryAnnounce {
		return nil
	}
	var process Process
	if err := json.Unmarshal(query.GetArgument(), &process); err != nil {
		return &wire.QueryReply{Error: fmt.Sprintf("decode announcement: %v", err)}
	}
	d.recordAnnouncement(process)
	reply := announceReply{Self: d.cfg.Self, Founder: d.chooseFounder()}
	d.addReports(&reply)
	result, err := json.Marshal(reply)
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	return &wire.QueryReply{Result: result}
}

// addReports adds the known processes to a reply, then this one and the members of the log.
// Of a member that isn't known, nothing was heard since this process started.
func (d *Discovery) addReports(reply *announceReply) {
	now := d.cfg.Clock.Now()
	add := func(process Process, age time.Duration) {
		reply.Known = append(reply.Known, process)
		reply.Ages = append(reply.Ages, max(0, age))
	}
	reported := make(map[ident.VMName]bool)
	for _, known := range d.knownByAge() {
		reported[known.process.VM] = true
		add(known.process, now.Sub(known.lastHeard))
	}
	add(d.cfg.Self, 0)
	if d.cfg.Group == nil {
		return
	}
	for _, member := range d.cfg.Group.Status().Members {
		if !reported[member.VM] {
			add(Process{VM: member.VM, ID: member.ID, Address: member.Address}, min(now.Sub(d.started), knownTimeout))
		}
	}
}

// recordReports records the processes in a reply.
func (d *Discovery) recordReports(reply *announceReply) {
	now := d.cfg.Clock.Now()
	for i, process := range reply.Known {
		heard := now
		if i < len(reply.Ages) {
			heard = now.Add(-max(0, reply.Ages[i]))
		}
		d.recordReport(now, process, heard)
	}
}

// recordReport records a process of which another one has heard at the given time. It counts
// only if the process has not announced itself within liveTimeout, and if that is news.
func (d *Discovery) recordReport(now time.Time, process Process, heard time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.entry(process)
	if known == nil || now.Sub(known.lastAnnounced) <= liveTimeout || !heard.After(known.lastHeard) {
		return
	}
	known.process, known.lastHeard = process, heard
	d.forgetOld()
}

// recordAnnouncement records a process that announced itself to this one.
func (d *Discovery) recordAnnouncement(process Process) {
	now := d.cfg.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.entry(process); known != nil {
		known.process, known.lastHeard, known.lastAnnounced = process, now, now
		d.forgetOld()
	}
}

// entry returns the entry of a process, adding it if there is none, and nil for this process
// and for one without a name. The caller holds the lock.
func (d *Discovery) entry(process Process) *knownProcess {
	if process.VM == d.cfg.Self.VM || process.VM == "" {
		return nil
	}
	known := d.known[process.VM]
	if known == nil {
		known = &knownProcess{}
		d.known[process.VM] = known
		_ = level.Debug(d.cfg.Logger).Log("msg", "control process discovered", "vm", process.VM, "address", process.Address, "member", process.ID)
	}
	return known
}

// forgetOld forgets the processes that were last heard of knownTimeout before another one.
// The caller holds the lock.
func (d *Discovery) forgetOld() {
	var newest time.Time
	for _, known := range d.known {
		if known.lastHeard.After(newest) {
			newest = known.lastHeard
		}
	}
	for vm, known := range d.known {
		if newest.Sub(known.lastHeard) > knownTimeout {
			delete(d.known, vm)
		}
	}
}

// knownByAge returns the known processes, the one last heard of first.
func (d *Discovery) knownByAge() []knownProcess {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]knownProcess, 0, len(d.known))
	for _, known := range d.known {
		list = append(list, *known)
	}
	slices.SortFunc(list, func(a, b knownProcess) int {
		return cmp.Or(b.lastHeard.Compare(a.lastHeard), cmp.Compare(a.process.VM, b.process.VM))
	})
	return list
}

// Known returns the other processes that are known, from themselves or from
// others, the one last heard of first.
func (d *Discovery) Known() []Process {
	known := d.knownByAge()
	list := make([]Process, 0, len(known))
	for _, of := range known {
		list = append(list, of.process)
	}
	return list
}

// Live returns this process and those that announced themselves within
// liveTimeout.
func (d *Discovery) Live() []Process {
	now := d.cfg.Clock.Now()
	list := []Process{d.cfg.Self}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, known := range d.known {
		if !known.lastAnnounced.IsZero() && now.Sub(known.lastAnnounced) <= liveTimeout {
			list = append(list, known.process)
		}
	}
	return list
}

// ReplicaAddresses returns the addresses of the other known processes that have a
// data folder and so can hold a replica of the log, the one last heard of first. Those
// that were not heard of for recentTimeout are left out, unless that holds for all.
func (d *Discovery) ReplicaAddresses() []string {
	now := d.cfg.Clock.Now()
	var list []string
	recent := 0
	for _, known := range d.knownByAge() {
		if known.process.ID == "" {
			continue
		}
		list = append(list, known.process.Address)
		if now.Sub(known.lastHeard) <= recentTimeout {
			recent = len(list)
		}
	}
	if recent > 0 {
		return list[:recent]
	}
	return list
}
