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

// operation is a pending operation of one client. value is the value to write,
// or the ID of a read; no two operations have the same.
type operation struct {
	client   int
	write    bool
	value    uint64
	member   *simMember
	index    uint64 // of the entry of a write, or the read index of a read once confirmed
	term     uint64
	callTime int64
	finished bool
}

// simClients runs clients that write and read the register, and records the
// history that porcupine checks.
type simClients struct {
	sim              *sim
	pending          []*operation          // at most one per client
	unconfirmedReads map[uint64]*operation // by read ID
	history          []porcupine.Operation
	lastValue        uint64
	lastTime         int64
	lastClientID     int
	completed        int
}

// operationInput is the input of an operation in the porcupine history.
type operationInput struct {
	write bool
	value uint64
}

func newClients(s *sim) *simClients {
	return &simClients{sim: s, pending: make([]*operation, clientCount), unconfirmedReads: map[uint64]*operation{}, lastClientID: clientCount}
}

func (c *simClients) schedule() {
	for client := range c.pending {
		c.sim.schedule(c.sim.randomDuration(0, 300*time.Millisecond), func() { c.startOperation(client) })
	}
}

// nextTime returns a logical time later than all before.
func (c *simClients) nextTime() int64 {
	c.lastTime++
	return c.lastTime
}

// startOperation starts a random operation of a client on a random member.
func (c *simClients) startOperation(client int) {
	s := c.sim
	s.schedule(s.randomDuration(10*time.Millisecond, 80*time.Millisecond), func() { c.startOperation(client) })
	m := s.vms[s.rng.IntN(len(s.vms))]
	if c.pending[client] != nil || !m.up || m.frozenUntil > s.now {
		return
	}
	c.lastValue++
	op := &operation{client: client, write: s.rng.IntN(2) == 0, value: c.lastValue, member: m, callTime: c.nextTime()}
	if op.write {
		var ok bool
		op.index, op.term, ok = m.node.Propose(m.time(), binary.BigEndian.AppendUint64(nil, op.value))
		if !ok {
			return
		}
	} else {
		c.unconfirmedReads[op.value] = op
		m.node.ReadIndex(m.time(), op.value)
	}
	c.pending[client] = op
	m.processReady()
	s.schedule(clientTimeout, func() { c.timeOut(client, op) })
}

// timeOut ends an operation whose answer did not arrive. A write may still
// take effect at any later time, so it stays in the history as never returned,
// and its client continues under a new ID.
func (c *simClients) timeOut(client int, op *operation) {
	if op.finished || c.pending[client] != op {
		return
	}
	op.finished = true
	c.pending[client] = nil
	delete(c.unconfirmedReads, op.value)
	if op.write {
		c.lastClientID++
		c.history = append(c.history, porcupine.Operation{
			ClientId: c.lastClientID, Input: operationInput{true, op.value}, Call: op.callTime, Return: math.MaxInt64,
		})
	}
}

// memberCrashed times out the operations pending on a member that crashed.
func (c *simClients) memberCrashed(m *simMember) {
	for client, op := range c.pending {
		if op != nil && op.member == m {
			c.timeOut(client, op)
		}
	}
}

func (c *simClients) finish(client int, value uint64) {
	op := c.pending[client]
	op.finished = true
	c.pending[client] = nil
	c.completed++
	c.history = append(c.history, porcupine.Operation{
		ClientId: op.client, Input: operationInput{op.write, op.value}, Call: op.callTime, Output: value, Return: c.nextTime(),
	})
}

// finishWrite finishes the write that proposed an applied entry.
func (c *simClients) finishWrite(m *simMember, entry *raftpb.Entry) {
	for client, op := range c.pending {
		if op != nil && op.write && op.member == m && op.index == entry.GetIndex() && op.term == entry.GetTerm() {
			c.finish(client, op.value)
		}
	}
}

// confirmReads records the read indexes that the leader confirmed.
func (c *simClients) confirmReads(m *simMember, results []raft.ReadResult) {
	for _, result := range results {
		if op := c.unconfirmedReads[result.ID]; op != nil && op.member == m {
			op.index = result.Index
			delete(c.unconfirmedReads, result.ID)
		}
	}
}

// finishReads finishes the reads whose read index the member has applied.
func (c *simClients) finishReads(m *simMember) {
	for client, op := range c.pending {
		if op != nil && !op.write && op.member == m && op.index > 0 && op.index <= m.state.index {
			c.finish(client, m.state.value)
		}
	}
}

// registerModel is the sequential specification: a register that starts at
// zero.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		op := in.(operationInput)
		if op.write {
			return true, op.value
		}
		return out.(uint64) == state.(uint64), state
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, out) },
}
