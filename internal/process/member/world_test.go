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

// The sizes of the random runs: 2,000 steps of 10 ms and a rest in which all
// is well.
const (
	worldTick      = 10 * time.Millisecond
	worldSteps     = 2000
	worldRest      = 1200
	worldHeartbeat = 100 * time.Millisecond
	worldElection  = 500 * time.Millisecond
	// catchUp is how long a VM counts as lost after it is back.
	catchUp = 4 * time.Second
	// heardFor is how long an announcement counts.
	heardFor = time.Second
)

// machine is one VM with its disk.
type machine struct {
	vm      string
	id      string
	state   raft.State
	node    *raft.Node
	applied map[uint64]uint64
	// until is when a loss ends; gone ones never come back.
	until time.Time
	gone  bool
	// told is when the machine's word last came to the leader.
	told map[string]time.Time
}

type mail struct {
	at time.Time
	m  *raftpb.Message
}

// world runs the cores of a group whose members are planned by Plan.
type world struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	machines []*machine
	mails    []mail
	loss     float64
	// entries holds what committed at each index; acked are the values whose
	// proposers were told so.
	entries map[uint64]uint64
	acked   map[uint64]bool
	waiting map[uint64]uint64
	next    uint64
	quietAt time.Time
	made    int
	min     int
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0),
		entries: map[uint64]uint64{}, acked: map[uint64]bool{}, waiting: map[uint64]uint64{}, next: 1, min: 3,
	}
	w.loss = []float64{0, 0.02, 0.1}[w.rng.IntN(3)]
	for range 3 + w.rng.IntN(3) {
		w.add()
	}
	first := w.machines[0]
	first.node.Bootstrap(w.now, &raftpb.Snapshot{Index: 1, Term: 1, Members: &raftpb.Members{
		Members: []*raftpb.Member{{Id: first.id, Vm: first.vm, Address: first.vm}},
	}})
	w.quietAt = w.now.Add(catchUp)
	return w
}

// add starts a new VM with an empty disk.
func (w *world) add() *machine {
	w.made++
	m := &machine{vm: fmt.Sprintf("vm%d", w.made), told: map[string]time.Time{}}
	w.machines = append(w.machines, m)
	w.wipe(m)
	return m
}

func (w *world) wipe(m *machine) {
	w.made++
	m.id = fmt.Sprintf("%s/%d", m.vm, w.made)
	m.state = raft.State{}
	w.start(m)
}

func (w *world) start(m *machine) {
	m.applied = map[uint64]uint64{}
	m.node = raft.New(w.now, raft.Config{
		ID: m.id, HeartbeatInterval: worldHeartbeat, ElectionTimeout: worldElection, Rand: w.rng,
		Assert: func(invariant, detail string) { w.t.Fatalf("%s: %s", invariant, detail) },
	}, raft.State{HardState: m.state.HardState, Snapshot: m.state.Snapshot, Entries: append([]*raftpb.Entry(nil), m.state.Entries...)})
}

// up reports whether a machine works and is connected.
func (w *world) up(m *machine) bool { return !m.gone && !w.now.Before(m.until) }

// step moves the world on by one tick.
func (w *world) step(faults bool) {
	w.now = w.now.Add(worldTick)
	if faults && w.now.After(w.quietAt) && w.rng.IntN(30) == 0 {
		w.lose()
	}
	w.deliver()
	for _, m := range w.machines {
		if w.up(m) {
			m.node.Tick(w.now)
			w.pump(m)
		}
	}
	if w.rng.IntN(5) == 0 {
		w.announce()
	}
	w.lead()
}

// lose takes one machine away, as many as are to be borne at once.
func (w *world) lose() {
	m := w.machines[w.rng.IntN(len(w.machines))]
	if !w.up(m) {
		return
	}
	down := time.Duration(200+w.rng.IntN(5000)) * time.Millisecond
	switch w.rng.IntN(4) {
	case 0: // cut off or frozen
		m.until = w.now.Add(down)
	case 1: // power
		m.until = w.now.Add(down)
		w.start(m)
	case 2: // disk lost
		m.until = w.now.Add(down)
		w.wipe(m)
	case 3: // replaced by another VM
		m.gone = true
		fresh := w.add()
		fresh.until = w.now.Add(down)
	}
	w.quietAt = w.now.Add(down + catchUp)
}

// announce lets machines tell each other that they are there.
func (w *world) announce() {
	for _, m := range w.machines {
		for _, other := range w.machines {
			if w.up(m) && w.up(other) && w.rng.Float64() >= w.loss {
				other.told[m.id] = w.now
			}
		}
	}
}

// lead lets leaders take proposals and plan their members.
func (w *world) lead() {
	for _, m := range w.machines {
		status := m.node.Status()
		if !w.up(m) || status.Role != raft.Leader {
			continue
		}
		if w.rng.IntN(8) == 0 {
			w.propose(m)
		}
		if w.rng.IntN(10) == 0 {
			w.change(m, status)
		}
		w.pump(m)
	}
}

func (w *world) propose(m *machine) {
	value := w.next
	w.next++
	if index, _, ok := m.node.Propose(w.now, []byte(fmt.Sprint(value))); ok {
		w.waiting[value] = index
	}
}

// change makes the first step of the change that is due. A replacement goes on
// step by step, as Group.Replace does.
func (w *world) change(m *machine, status raft.Status) {
	view := group.Status{ID: group.MemberID(status.ID), Leader: group.MemberID(status.Leader)}
	for _, v := range status.Members {
		view.Members = append(view.Members, group.MemberStatus{
			Member: group.Member{
				ID: group.MemberID(v.Member.GetId()), VM: ident.VMName(v.Member.GetVm()), Address: v.Member.GetAddress(),
			},
			Learner: v.Member.GetLearner(), Match: v.Match, LastContact: v.LastContact,
		})
	}
	var heard []member.Process
	for _, other := range w.machines {
		if at, found := m.told[other.id]; found && w.now.Sub(at) <= heardFor {
			heard = append(heard, member.Process{VM: ident.VMName(other.vm), ID: group.MemberID(other.id), Address: other.vm})
		}
	}
	change := member.Plan(w.now, view, heard, w.min)
	fresh := &raftpb.Member{Id: string(change.New.ID), Vm: string(change.New.VM), Address: change.New.Address}
	switch change.Kind {
	case member.Add:
		m.node.ProposeMemberChange(w.now, raft.Change{Kind: raft.AddLearner, Member: fresh})
	case member.Promote:
		m.node.ProposeMemberChange(w.now, raft.Change{Kind: raft.Promote, Member: fresh})
	case member.Remove:
		m.node.ProposeMemberChange(w.now, raft.Change{Kind: raft.Remove, Member: &raftpb.Member{Id: string(change.Old)}})
	case member.Replace:
		w.replace(m, string(change.Old), fresh)
	}
}

func (w *world) replace(m *machine, old string, fresh *raftpb.Member) {
	if _, _, refusal := m.node.ProposeMemberChange(w.now, raft.Change{Kind: raft.AddLearner, Member: fresh}); refusal != raft.AlreadyDone {
		return
	}
	if _, _, refusal := m.node.ProposeMemberChange(w.now, raft.Change{Kind: raft.Promote, Member: fresh}); refusal != raft.AlreadyDone {
		return
	}
	m.node.ProposeMemberChange(w.now, raft.Change{Kind: raft.Remove, Member: &raftpb.Member{Id: old}})
}

// pump does what a core asks for; disks are synced at once.
func (w *world) pump(m *machine) {
	for {
		ready, ok := m.node.Ready(w.now)
		if !ok {
			return
		}
		w.save(m, ready)
		w.send(ready.Messages)
		w.send(ready.MessagesAfterSync)
		for _, entry := range ready.Committed {
			w.apply(m, entry)
		}
		if ready.Seq > 0 {
			m.node.Persisted(w.now, ready.Seq)
		}
	}
}

func (w *world) save(m *machine, ready raft.Ready) {
	if ready.Snapshot != nil {
		m.state.Snapshot, m.state.Entries = ready.Snapshot, nil
	}
	if ready.HardState != nil {
		m.state.HardState = ready.HardState
	}
	for _, entry := range ready.Entries {
		kept := m.state.Entries
		for len(kept) > 0 && kept[len(kept)-1].GetIndex() >= entry.GetIndex() {
			kept = kept[:len(kept)-1]
		}
		m.state.Entries = append(slices.Clip(kept), entry)
	}
}

func (w *world) send(messages []*raftpb.Message) {
	for _, m := range messages {
		if w.rng.Float64() < w.loss {
			continue
		}
		delay := time.Duration(5+w.rng.IntN(30)) * time.Millisecond
		w.mails = append(w.mails, mail{at: w.now.Add(delay), m: proto.CloneOf(m)})
	}
}

func (w *world) deliver() {
	due := w.mails
	w.mails = nil
	for _, mail := range due {
		if mail.at.After(w.now) {
			w.mails = append(w.mails, mail)
			continue
		}
		for _, m := range w.machines {
			from := w.byID(mail.m.GetFrom())
			if m.id == mail.m.GetTo() && w.up(m) && from != nil && w.up(from) {
				m.node.Step(w.now, mail.m)
				w.pump(m)
			}
		}
	}
}

func (w *world) byID(id string) *machine {
	for _, m := range w.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

// apply checks that all machines commit the same, and that what was
// acknowledged stays.
func (w *world) apply(m *machine, entry *raftpb.Entry) {
	var value uint64
	_, _ = fmt.Sscan(string(entry.GetData()), &value)
	if entry.GetKind() != raftpb.EntryKind_ENTRY_DATA {
		value = 0
	}
	if before, found := w.entries[entry.GetIndex()]; found && before != value {
		w.t.Fatalf("entry %d is %d on %s and %d elsewhere", entry.GetIndex(), value, m.id, before)
	}
	w.entries[entry.GetIndex()] = value
	m.applied[entry.GetIndex()] = value
	if w.waiting[value] == entry.GetIndex() {
		w.acked[value] = true
	}
}

// Any one VM may be cut off, powered off, wiped or replaced at a time, the next
// one as soon as it counts as back. Nothing that committed is lost, all commit
// the same, and in the end all VMs that are left vote.
func TestRandomisedMembersOutliveEachLoss(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 40}, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed)
		for range worldSteps {
			w.step(true)
		}
		acked := len(w.acked)
		for range worldRest {
			w.step(false)
		}
		assert.Assert(t, len(w.acked) > acked, "nothing commits after the faults: %s", w.describe())
		voters := 0
		for _, m := range w.machines {
			status := m.node.Status()
			if status.Role != raft.Leader || !w.up(m) {
				continue
			}
			for _, v := range status.Members {
				other := w.byID(v.Member.GetId())
				assert.Assert(t, other != nil && !other.gone, "%s votes and is gone: %s", v.Member.GetId(), w.describe())
				if !v.Member.GetLearner() {
					voters++
				}
			}
			w.checkAcked(m)
		}
		left := 0
		for _, m := range w.machines {
			if !m.gone {
				left++
			}
		}
		assert.Equal(t, voters, left, w.describe())
	})
}

// checkAcked checks that the leader's log holds all that was acknowledged.
func (w *world) checkAcked(m *machine) {
	held := map[uint64]bool{}
	for _, value := range w.entries {
		held[value] = true
	}
	last := m.node.Status().Commit
	for value, index := range w.waiting {
		if w.acked[value] {
			assert.Assert(w.t, held[value] && index <= last, "value %d at %d is lost", value, index)
		}
	}
}

func (w *world) describe() string {
	text := ""
	for _, m := range w.machines {
		status := m.node.Status()
		text += fmt.Sprintf("%s %s up=%v term=%d commit=%d members=%d; ", m.id, status.Role, w.up(m), status.Term, status.Commit, len(status.Members))
	}
	return text
}
