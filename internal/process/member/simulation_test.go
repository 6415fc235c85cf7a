package member_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/member"
	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/process/raftpb"
	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Each simulation runs faultSteps steps with faults, then recoverySteps steps
// without.
const (
	simTick            = 10 * time.Millisecond
	faultSteps         = 2000
	recoverySteps      = 1200
	simHeartbeat       = 100 * time.Millisecond
	simElectionTimeout = 500 * time.Millisecond
	// recoveryTime is how long after the end of a fault the next one may start.
	recoveryTime = 4 * time.Second
	// announcementTTL is how long a VM counts as live after its announcement.
	announcementTTL = time.Second
)

// simVM is a VM with its member and its disk.
type simVM struct {
	name    string
	id      string
	state   raft.State
	node    *raft.Node
	applied map[uint64]uint64
	// downUntil is when the current fault ends. A replaced VM never returns.
	downUntil time.Time
	replaced  bool
	// lastAnnounced maps member IDs to the time at which this VM last received
	// their announcements.
	lastAnnounced map[string]time.Time
}

// delivery is a message that arrives at a given time.
type delivery struct {
	at      time.Time
	message *raftpb.Message
}

// simulation runs Raft nodes whose leader changes the members as Plan decides.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	vms      []*simVM
	inFlight []delivery
	loss     float64
	// committedValues holds the value committed at each index.
	committedValues map[uint64]uint64
	// acked holds the values whose commit was acknowledged.
	acked map[uint64]bool
	// proposed holds the index of each proposed value.
	proposed       map[uint64]uint64
	nextValue      uint64
	nextFaultAfter time.Time
	// lastNumber is the last number used in the name of a VM or member.
	lastNumber int
	minVoters  int
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0),
		committedValues: map[uint64]uint64{}, acked: map[uint64]bool{}, proposed: map[uint64]uint64{}, nextValue: 1, minVoters: 3,
	}
	s.loss = []float64{0, 0.02, 0.1}[s.rng.IntN(3)]
	for range 3 + s.rng.IntN(3) {
		s.addVM()
	}
	first := s.vms[0]
	first.node.Bootstrap(s.now, &raftpb.Snapshot{Index: 1, Term: 1, Members: &raftpb.Members{
		Members: []*raftpb.Member{{Id: first.id, Vm: first.name, Address: first.name}},
	}})
	s.nextFaultAfter = s.now.Add(recoveryTime)
	return s
}

// addVM starts a new VM with an empty disk.
func (s *simulation) addVM() *simVM {
	s.lastNumber++
	vm := &simVM{name: fmt.Sprintf("vm%d", s.lastNumber), lastAnnounced: map[string]time.Time{}}
	s.vms = append(s.vms, vm)
	s.wipe(vm)
	return vm
}

func (s *simulation) wipe(vm *simVM) {
	s.lastNumber++
	vm.id = fmt.Sprintf("%s/%d", vm.name, s.lastNumber)
	vm.state = raft.State{}
	s.start(vm)
}

func (s *simulation) start(vm *simVM) {
	vm.applied = map[uint64]uint64{}
	vm.node = raft.New(s.now, raft.Config{
		ID: vm.id, HeartbeatInterval: simHeartbeat, ElectionTimeout: simElectionTimeout, Rand: s.rng,
		Assert: func(invariant, detail string) { s.t.Fatalf("%s: %s", invariant, detail) },
	}, raft.State{HardState: vm.state.HardState, Snapshot: vm.state.Snapshot, Entries: append([]*raftpb.Entry(nil), vm.state.Entries...)})
}

// isUp reports whether a VM is running and connected.
func (s *simulation) isUp(vm *simVM) bool { return !vm.replaced && !s.now.Before(vm.downUntil) }

// step advances the simulation by one tick.
func (s *simulation) step(faults bool) {
	s.now = s.now.Add(simTick)
	if faults && s.now.After(s.nextFaultAfter) && s.rng.IntN(30) == 0 {
		s.injectFault()
	}
	s.deliver()
	for _, vm := range s.vms {
		if s.isUp(vm) {
			vm.node.Tick(s.now)
			s.drainReady(vm)
		}
	}
	if s.rng.IntN(5) == 0 {
		s.announce()
	}
	s.runLeaders()
}

// injectFault makes one VM fail. The members must tolerate one failure at a time.
func (s *simulation) injectFault() {
	vm := s.vms[s.rng.IntN(len(s.vms))]
	if !s.isUp(vm) {
		return
	}
	outage := time.Duration(200+s.rng.IntN(5000)) * time.Millisecond
	switch s.rng.IntN(4) {
	case 0: // disconnected or paused
		vm.downUntil = s.now.Add(outage)
	case 1: // power loss
		vm.downUntil = s.now.Add(outage)
		s.start(vm)
	case 2: // disk lost
		vm.downUntil = s.now.Add(outage)
		s.wipe(vm)
	case 3: // replaced by another VM
		vm.replaced = true
		newVM := s.addVM()
		newVM.downUntil = s.now.Add(outage)
	}
	s.nextFaultAfter = s.now.Add(outage + recoveryTime)
}

// announce delivers the announcements between all VMs, some of which are lost.
func (s *simulation) announce() {
	for _, vm := range s.vms {
		for _, other := range s.vms {
			if s.isUp(vm) && s.isUp(other) && s.rng.Float64() >= s.loss {
				other.lastAnnounced[vm.id] = s.now
			}
		}
	}
}

// runLeaders makes the leaders propose values and change the members.
func (s *simulation) runLeaders() {
	for _, vm := range s.vms {
		status := vm.node.Status()
		if !s.isUp(vm) || status.Role != raft.Leader {
			continue
		}
		if s.rng.IntN(8) == 0 {
			s.propose(vm)
		}
		if s.rng.IntN(10) == 0 {
			s.changeMembers(vm, status)
		}
		s.drainReady(vm)
	}
}

func (s *simulation) propose(vm *simVM) {
	value := s.nextValue
	s.nextValue++
	if index, _, ok := vm.node.Propose(s.now, []byte(fmt.Sprint(value))); ok {
		s.proposed[value] = index
	}
}

// changeMembers takes the next step of the planned membership change. Like
// Group.Replace, a replacement takes several steps: add, catch up, remove, promote.
func (s *simulation) changeMembers(vm *simVM, status raft.Status) {
	groupStatus := group.Status{ID: group.MemberID(status.ID), Leader: group.MemberID(status.Leader)}
	for _, memberView := range status.Members {
		groupStatus.Members = append(groupStatus.Members, group.MemberStatus{
			Member: group.Member{
				ID: group.MemberID(memberView.Member.GetId()), VM: ident.VMName(memberView.Member.GetVm()), Address: memberView.Member.GetAddress(),
			},
			Learner: memberView.Member.GetLearner(), Match: memberView.Match, LastContact: memberView.LastContact, DiskLost: memberView.DiskLost,
		})
	}
	var live []member.Process
	for _, other := range s.vms {
		if at, found := vm.lastAnnounced[other.id]; found && s.now.Sub(at) <= announcementTTL {
			live = append(live, member.Process{VM: ident.VMName(other.name), ID: group.MemberID(other.id), Address: other.name})
		}
	}
	change := member.Plan(s.now, groupStatus, live, s.minVoters)
	newMember := &raftpb.Member{Id: string(change.New.ID), Vm: string(change.New.VM), Address: change.New.Address}
	switch change.Kind {
	case member.AddLearner:
		vm.node.ProposeMemberChange(s.now, raft.Change{Kind: raft.AddLearner, Member: newMember})
	case member.Promote:
		vm.node.ProposeMemberChange(s.now, raft.Change{Kind: raft.Promote, Member: newMember})
	case member.Remove:
		vm.node.ProposeMemberChange(s.now, raft.Change{Kind: raft.Remove, Member: &raftpb.Member{Id: string(change.Old)}})
	case member.Replace:
		s.replace(vm, string(change.Old), newMember)
	}
}

func (s *simulation) replace(vm *simVM, old string, newMember *raftpb.Member) {
	if _, _, result := vm.node.ProposeMemberChange(s.now, raft.Change{Kind: raft.AddLearner, Member: newMember}); result != raft.AlreadyDone {
		return
	}
	status := vm.node.Status()
	for _, memberView := range status.Members {
		if memberView.Member.GetId() == newMember.GetId() && memberView.Match < status.Commit {
			return
		}
	}
	if _, _, result := vm.node.ProposeMemberChange(s.now, raft.Change{Kind: raft.Remove, Member: &raftpb.Member{Id: old}}); result != raft.NoSuchMember {
		return
	}
	vm.node.ProposeMemberChange(s.now, raft.Change{Kind: raft.Promote, Member: newMember})
}

// drainReady handles the Readys of a node. Writes are durable at once.
func (s *simulation) drainReady(vm *simVM) {
	for {
		ready, ok := vm.node.Ready(s.now)
		if !ok {
			return
		}
		s.save(vm, ready)
		s.send(ready.Messages)
		s.send(ready.MessagesAfterSync)
		for _, entry := range ready.Committed {
			s.apply(vm, entry)
		}
		if ready.Seq > 0 {
			vm.node.Persisted(s.now, ready.Seq)
		}
	}
}

func (s *simulation) save(vm *simVM, ready raft.Ready) {
	if ready.Snapshot != nil {
		vm.state.Snapshot, vm.state.Entries = ready.Snapshot, nil
	}
	if ready.HardState != nil {
		vm.state.HardState = ready.HardState
	}
	for _, entry := range ready.Entries {
		kept := vm.state.Entries
		for len(kept) > 0 && kept[len(kept)-1].GetIndex() >= entry.GetIndex() {
			kept = kept[:len(kept)-1]
		}
		vm.state.Entries = append(slices.Clip(kept), entry)
	}
}

func (s *simulation) send(messages []*raftpb.Message) {
	for _, message := range messages {
		if s.rng.Float64() < s.loss {
			continue
		}
		delay := time.Duration(5+s.rng.IntN(30)) * time.Millisecond
		s.inFlight = append(s.inFlight, delivery{at: s.now.Add(delay), message: proto.CloneOf(message)})
	}
}

func (s *simulation) deliver() {
	due := s.inFlight
	s.inFlight = nil
	for _, next := range due {
		if next.at.After(s.now) {
			s.inFlight = append(s.inFlight, next)
			continue
		}
		for _, vm := range s.vms {
			from := s.byID(next.message.GetFrom())
			if vm.id == next.message.GetTo() && s.isUp(vm) && from != nil && s.isUp(from) {
				vm.node.Step(s.now, next.message)
				s.drainReady(vm)
			}
		}
	}
}

func (s *simulation) byID(id string) *simVM {
	for _, vm := range s.vms {
		if vm.id == id {
			return vm
		}
	}
	return nil
}

// apply records a committed entry and checks that no other VM committed a
// different value at its index. It acknowledges the entry's value.
func (s *simulation) apply(vm *simVM, entry *raftpb.Entry) {
	var value uint64
	_, _ = fmt.Sscan(string(entry.GetData()), &value)
	if entry.GetKind() != raftpb.EntryKind_ENTRY_DATA {
		value = 0
	}
	if before, found := s.committedValues[entry.GetIndex()]; found && before != value {
		s.t.Fatalf("entry %d is %d on %s and %d elsewhere", entry.GetIndex(), value, vm.id, before)
	}
	s.committedValues[entry.GetIndex()] = value
	vm.applied[entry.GetIndex()] = value
	if s.proposed[value] == entry.GetIndex() {
		s.acked[value] = true
	}
}

// One VM at a time is disconnected, powered off, wiped or replaced; the next
// fault may follow recoveryTime after the end of the last one. No acknowledged
// value may be lost, all VMs must commit the same values, and in the end all
// remaining VMs must be voters.
func TestRandomisedMembershipSurvivesFaults(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 40}, func(t *testing.T, seed uint64) {
		s := newSimulation(t, seed)
		for range faultSteps {
			s.step(true)
		}
		acked := len(s.acked)
		for range recoverySteps {
			s.step(false)
		}
		assert.Assert(t, len(s.acked) > acked, "no value was acknowledged after the faults: %s", s.describe())
		voters := 0
		for _, vm := range s.vms {
			status := vm.node.Status()
			if status.Role != raft.Leader || !s.isUp(vm) {
				continue
			}
			for _, memberView := range status.Members {
				other := s.byID(memberView.Member.GetId())
				assert.Assert(t, other != nil && !other.replaced, "member %s is on a replaced VM: %s", memberView.Member.GetId(), s.describe())
				if !memberView.Member.GetLearner() {
					voters++
				}
			}
			s.checkAcked(vm)
		}
		left := 0
		for _, vm := range s.vms {
			if !vm.replaced {
				left++
			}
		}
		assert.Equal(t, voters, left, s.describe())
	})
}

// checkAcked checks that all acknowledged values are committed, at an index up to
// the leader's commit index.
func (s *simulation) checkAcked(vm *simVM) {
	held := map[uint64]bool{}
	for _, value := range s.committedValues {
		held[value] = true
	}
	last := vm.node.Status().Commit
	for value, index := range s.proposed {
		if s.acked[value] {
			assert.Assert(s.t, held[value] && index <= last, "value %d at %d is lost", value, index)
		}
	}
}

func (s *simulation) describe() string {
	text := ""
	for _, vm := range s.vms {
		status := vm.node.Status()
		text += fmt.Sprintf("%s %s up=%v term=%d commit=%d members:", vm.id, status.Role, s.isUp(vm), status.Term, status.Commit)
		for _, view := range append(status.Members, status.Leaving...) {
			text += " " + view.Member.GetId()
			if view.Member.GetLearner() {
				text += "(learner)"
			}
			if view.DiskLost {
				text += "(lost)"
			}
		}
		text += "; "
	}
	return text
}
