package group_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/process/raftpb"
)

const (
	clientCount   = 3
	clientTimeout = 700 * time.Millisecond
)

// call is one client's operation under way. A write is known by its value, a
// read by its number.
type call struct {
	client  int
	write   bool
	value   uint64
	member  *simMember
	index   uint64 // write: its entry; read: the confirmed point
	term    uint64
	started int64
	ended   bool
}

type clients struct {
	sim     *sim
	calls   []*call // under way, one for each client
	reads   map[uint64]*call
	history []porcupine.Operation
	last    uint64
	clock   int64
	nextID  int
	done    int
}

// answer is what porcupine sees of an operation.
type input struct {
	write bool
	value uint64
}

func newClients(s *sim) *clients {
	return &clients{sim: s, calls: make([]*call, clientCount), reads: map[uint64]*call{}, nextID: clientCount}
}

func (c *clients) schedule() {
	for slot := range c.calls {
		c.sim.after(c.sim.between(0, 300*time.Millisecond), func() { c.begin(slot) })
	}
}

func (c *clients) tick() int64 {
	c.clock++
	return c.clock
}

// begin starts an operation of the client in a slot on some member.
func (c *clients) begin(slot int) {
	s := c.sim
	s.after(s.between(10*time.Millisecond, 80*time.Millisecond), func() { c.begin(slot) })
	m := s.vms[s.rng.IntN(len(s.vms))]
	if c.calls[slot] != nil || !m.up || m.frozen > s.now {
		return
	}
	c.last++
	op := &call{client: slot, write: s.rng.IntN(2) == 0, value: c.last, member: m, started: c.tick()}
	if op.write {
		var ok bool
		op.index, op.term, ok = m.node.Propose(m.time(), binary.BigEndian.AppendUint64(nil, op.value))
		if !ok {
			return
		}
	} else {
		c.reads[op.value] = op
		m.node.ReadIndex(m.time(), op.value)
	}
	c.calls[slot] = op
	m.drain()
	s.after(clientTimeout, func() { c.giveUp(slot, op) })
}

// giveUp ends an operation without an answer: a write may take effect at any
// later time.
func (c *clients) giveUp(slot int, op *call) {
	if op.ended || c.calls[slot] != op {
		return
	}
	op.ended = true
	c.calls[slot] = nil
	delete(c.reads, op.value)
	if op.write {
		c.nextID++
		c.history = append(c.history, porcupine.Operation{
			ClientId: c.nextID, Input: input{true, op.value}, Call: op.started, Return: math.MaxInt64,
		})
	}
}

// lost ends the operations on a member that crashed.
func (c *clients) lost(m *simMember) {
	for slot, op := range c.calls {
		if op != nil && op.member == m {
			c.giveUp(slot, op)
		}
	}
}

func (c *clients) finish(slot int, value uint64) {
	op := c.calls[slot]
	op.ended = true
	c.calls[slot] = nil
	c.done++
	c.history = append(c.history, porcupine.Operation{
		ClientId: op.client, Input: input{op.write, op.value}, Call: op.started, Output: value, Return: c.tick(),
	})
}

// applied ends the write whose entry it is.
func (c *clients) applied(m *simMember, entry *raftpb.Entry) {
	for slot, op := range c.calls {
		if op != nil && op.write && op.member == m && op.index == entry.GetIndex() && op.term == entry.GetTerm() {
			c.finish(slot, op.value)
		}
	}
}

func (c *clients) confirmed(m *simMember, results []raft.ReadResult) {
	for _, result := range results {
		if op := c.reads[result.ID]; op != nil && op.member == m {
			op.index = result.Index
			delete(c.reads, result.ID)
		}
	}
}

// progress ends the reads whose point the member has applied.
func (c *clients) progress(m *simMember) {
	for slot, op := range c.calls {
		if op != nil && !op.write && op.member == m && op.index > 0 && op.index <= m.reg.index {
			c.finish(slot, m.reg.value)
		}
	}
}

// model is a register that starts at zero.
var model = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		op := in.(input)
		if op.write {
			return true, op.value
		}
		return out.(uint64) == state.(uint64), state
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, out) },
}
