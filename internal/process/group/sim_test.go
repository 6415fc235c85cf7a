package group_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/process/raftpb"
	"cactusline.dev/cactusline/internal/process/walog"
)

const (
	simHeartbeat = 60 * time.Millisecond
	simElection  = 300 * time.Millisecond
	simTick      = 15 * time.Millisecond
	snapshotGap  = 15
	snapshotKeep = 5
)

// sim runs members, the real core on the real log, over a simulated network
// and simulated disks, in one goroutine and from one seed.
type sim struct {
	rng     *rand.Rand
	now     time.Duration
	steps   int
	events  eventHeap
	vms     []*simMember
	loss    float64
	double  float64
	calm    time.Duration            // factor on the time between faults
	delay   time.Duration            // of every message; random where zero
	cut     map[[2]int]time.Duration // one-way, until
	applied map[uint64]uint64        // index → hash of term and entry
	leaders map[uint64]string
	broken  []string
	clients *clients
	wiped   *wipe
	first   *raftpb.Snapshot
	draws   int
	wipes   int
	crashes int
}

// simMember is the member on one VM.
type simMember struct {
	sim    *sim
	vm     int
	id     string
	disk   *disk
	log    *walog.Log
	node   *raft.Node
	up     bool
	life   int // counts starts, so that events of an earlier one are dropped
	frozen time.Duration
	offset time.Duration
	queue  []raft.Ready
	busy   bool
	reg    register
}

// register is the state machine: the last value written.
type register struct {
	index uint64
	saved uint64
	value uint64
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSim(seed uint64) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]time.Duration{},
		applied: map[uint64]uint64{}, leaders: map[uint64]string{},
	}
	s.loss = []float64{0, 0.01, 0.1}[s.rng.IntN(3)]
	s.calm = time.Duration(1 + 3*s.rng.IntN(2))
	s.double = []float64{0, 0.1}[s.rng.IntN(2)]
	s.first = &raftpb.Snapshot{Index: 1, Term: 1, Members: &raftpb.Members{}}
	for vm := range 3 + 2*s.rng.IntN(2) {
		m := &simMember{sim: s, vm: vm, disk: newDisk(s.rng)}
		s.vms = append(s.vms, m)
		m.start()
		s.first.Members.Members = append(s.first.Members.Members, &raftpb.Member{Id: m.id, Vm: vmName(vm)})
	}
	s.vms[0].node.Bootstrap(s.vms[0].time(), s.first)
	s.clients = newClients(s)
	s.clients.schedule()
	return s
}

func vmName(vm int) string { return fmt.Sprintf("c%d", vm+1) }

func (s *sim) violate(invariant, detail string) {
	s.broken = append(s.broken, fmt.Sprintf("%s at %v: %s", invariant, s.now, detail))
}

func (s *sim) after(d time.Duration, run func()) {
	s.draws++
	heap.Push(&s.events, event{at: s.now + d, seq: s.draws, run: run})
}

// run handles events until there were as many as given, or one has broken an
// invariant.
func (s *sim) run(steps int) {
	for range steps {
		if len(s.broken) > 0 {
			return
		}
		next := heap.Pop(&s.events).(event)
		s.now = max(s.now, next.at)
		s.steps++
		next.run()
	}
}

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

func (s *sim) byID(id string) *simMember {
	for _, m := range s.vms {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (m *simMember) time() time.Time { return time.Unix(1000, 0).Add(m.sim.now + m.offset) }

// start opens the disk; a crash may come during that as well.
func (m *simMember) start() {
	m.life++
	log, state, err := walog.Open(walog.Config{
		Folder: "/", FS: m.disk, SegmentBytes: 2000, Rand: m.sim.rng,
		NewID: func(rng *rand.Rand) string { return fmt.Sprintf("%s/%016x", vmName(m.vm), rng.Uint64()) },
	})
	if err != nil {
		if !m.disk.dead {
			m.sim.violate("log opens after a crash", err.Error())
		}
		m.crash()
		return
	}
	m.id, m.log, m.up, m.busy, m.queue = state.ID, log, true, false, nil
	m.reg = register{index: state.Snapshot.GetIndex(), saved: state.Snapshot.GetIndex()}
	m.reg.restore(state.Snapshot)
	m.node = raft.New(m.time(), raft.Config{
		ID: m.id, HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection,
		Rand: m.sim.rng, Assert: m.sim.violate,
	}, raft.State{HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries})
	if m.life > 1 && m.id == m.sim.first.GetMembers().GetMembers()[0].GetId() && m.node.Empty() {
		m.node.Bootstrap(m.time(), m.sim.first) // crashed before it had formed the group
	}
	m.later(simTick, m.tick)
}

func (r *register) restore(snapshot *raftpb.Snapshot) {
	if len(snapshot.GetData()) > 0 {
		r.value = binary.BigEndian.Uint64(snapshot.GetData())
	}
}

// later runs f on this start of the member, once it isn't frozen.
func (m *simMember) later(d time.Duration, f func()) {
	life := m.life
	m.sim.after(d, func() { m.runAt(life, f) })
}

func (m *simMember) runAt(life int, f func()) {
	if m.life != life || !m.up {
		return
	}
	if m.frozen > m.sim.now {
		m.sim.after(m.frozen-m.sim.now, func() { m.runAt(life, f) })
		return
	}
	f()
	m.drain()
}

func (m *simMember) tick() {
	m.node.Tick(m.time())
	m.later(m.sim.between(simTick/2, simTick*3/2), m.tick)
}

func (m *simMember) crash() {
	m.up = false
	m.life++
	if m.sim.rng.IntN(4) == 0 {
		m.disk.kill()
	} else {
		m.disk.crash()
	}
	m.sim.crashes++
	m.sim.clients.lost(m)
	life := m.life
	m.sim.after(m.sim.between(time.Millisecond, 800*time.Millisecond), func() {
		if m.life == life {
			m.start()
		}
	})
}

// drain does what the core asks for.
func (m *simMember) drain() {
	if !m.up {
		return
	}
	for {
		ready, ok := m.node.Ready(m.time())
		if !ok {
			break
		}
		m.send(ready.Messages)
		if ready.Seq > 0 {
			m.queue = append(m.queue, ready)
		}
		for _, entry := range ready.Committed {
			m.apply(entry)
		}
		m.sim.clients.confirmed(m, ready.Reads)
	}
	m.checkLeader()
	m.sim.clients.progress(m)
	if len(m.queue) > 0 && !m.busy {
		m.busy = true
		m.later(m.sim.between(100*time.Microsecond, 5*time.Millisecond), m.write)
	}
}

func (m *simMember) checkLeader() {
	status := m.node.Status()
	if status.Role != raft.Leader {
		return
	}
	if other, ok := m.sim.leaders[status.Term]; ok && other != status.ID {
		m.sim.violate("one leader a term", fmt.Sprintf("%s and %s in %d", other, status.ID, status.Term))
	}
	m.sim.leaders[status.Term] = status.ID
}

// write makes the queue durable with one sync.
func (m *simMember) write() {
	m.busy = false
	jobs := m.queue
	m.queue = nil
	var batches []walog.Batch
	for _, job := range jobs {
		if job.HasWrites() {
			batches = append(batches, walog.Batch{Snapshot: job.Snapshot, HardState: job.HardState, Entries: job.Entries})
		}
	}
	if len(batches) > 0 && m.failed(m.log.Append(batches...)) {
		return
	}
	for _, job := range jobs {
		if job.Snapshot != nil {
			m.reg = register{index: job.Snapshot.GetIndex(), saved: job.Snapshot.GetIndex()}
			m.reg.restore(job.Snapshot)
		}
		m.node.Persisted(m.time(), job.Seq)
		m.send(job.MessagesAfterSync)
	}
	m.snapshot()
}

func (m *simMember) failed(err error) bool {
	if err == nil {
		return false
	}
	if !m.disk.dead {
		m.sim.violate("log takes writes", err.Error())
	}
	m.crash()
	return true
}

func (m *simMember) snapshot() {
	if m.reg.index < m.reg.saved+snapshotGap {
		return
	}
	point, ok := m.node.SnapshotHeader(m.reg.index)
	if !ok {
		return
	}
	m.reg.saved = m.reg.index
	point.Data = binary.BigEndian.AppendUint64(nil, m.reg.value)
	if !m.failed(m.log.SaveSnapshot(point)) {
		m.node.Compact(point, snapshotKeep)
	}
}

func (m *simMember) apply(entry *raftpb.Entry) {
	index := entry.GetIndex()
	if index != m.reg.index+1 {
		m.sim.violate("applied in order", fmt.Sprintf("%s applied %d after %d", m.id, index, m.reg.index))
	}
	m.reg.index = index
	data := binary.BigEndian.AppendUint64(nil, entry.GetTerm())
	hash := xxhash.Sum64(append(data, entry.GetData()...))
	if known, ok := m.sim.applied[index]; ok && known != hash {
		m.sim.violate("committed entries never change", fmt.Sprintf("%s applied another entry at %d", m.id, index))
	}
	m.sim.applied[index] = hash
	if entry.GetKind() == raftpb.EntryKind_ENTRY_DATA {
		m.reg.value = binary.BigEndian.Uint64(entry.GetData())
	}
	m.sim.clients.applied(m, entry)
}

func (m *simMember) send(messages []*raftpb.Message) {
	for _, message := range messages {
		data, err := proto.Marshal(message)
		if err != nil {
			m.sim.violate("messages encode", err.Error())
		}
		m.sim.transmit(m.vm, message.GetTo(), data)
		if m.sim.rng.Float64() < m.sim.double {
			m.sim.transmit(m.vm, message.GetTo(), data)
		}
	}
}

func (s *sim) transmit(from int, id string, data []byte) {
	var vm int
	if _, err := fmt.Sscanf(id, "c%d/", &vm); err != nil {
		s.violate("messages have a receiver", id)
		return
	}
	to := s.vms[vm-1]
	if s.rng.Float64() < s.loss || s.cut[[2]int{from, to.vm}] > s.now {
		return
	}
	delay := s.between(time.Millisecond, 10*time.Millisecond)
	if s.rng.IntN(50) == 0 {
		delay *= 40
	}
	if s.delay > 0 {
		delay = s.delay
	}
	s.after(delay, func() {
		m := &raftpb.Message{}
		if err := proto.Unmarshal(data, m); err != nil {
			s.violate("messages decode", err.Error())
			return
		}
		to.runAt(to.life, func() { to.node.Step(to.time(), m) })
	})
}

// describe tells where each member stands.
func (s *sim) describe() string {
	text := ""
	for _, m := range s.vms {
		text += fmt.Sprintf("\n%s up %t now %v applied %d", m.id, m.up, s.now, m.reg.index)
		if m.up {
			text += fmt.Sprintf(" %+v", m.node.Status())
		}
	}
	return text
}
