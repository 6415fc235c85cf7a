package group_test

import (
	"time"

	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/process/raftpb"
)

// wipe is a lost disk whose member is being replaced.
type wipe struct {
	old   string
	fresh *simMember
}

// trouble keeps bringing faults until the time given.
func (s *sim) trouble(until time.Duration) {
	if s.now > until {
		return
	}
	s.after(s.calm*s.between(20*time.Millisecond, 300*time.Millisecond), func() { s.trouble(until) })
	m := s.vms[s.rng.IntN(len(s.vms))]
	other := s.vms[s.rng.IntN(len(s.vms))]
	switch s.rng.IntN(9) {
	case 0:
		s.cut[[2]int{m.vm, other.vm}] = s.now + s.between(0, 1500*time.Millisecond)
	case 1:
		end := s.now + s.between(0, 1500*time.Millisecond)
		for peer := range s.vms {
			s.cut[[2]int{m.vm, peer}] = end
			s.cut[[2]int{peer, m.vm}] = end
		}
	case 2:
		m.frozen = s.now + s.between(0, 1500*time.Millisecond)
	case 3:
		m.offset += s.between(-100*time.Millisecond, 100*time.Millisecond)
	case 4:
		if m.up {
			m.crash()
		}
	case 5, 6:
		if m.up && m.disk.crashAt == 0 {
			m.disk.crashAt = m.disk.ops + 1 + s.rng.IntN(12)
		}
	case 7:
		s.wipeDisk(m)
	case 8:
		if m.up {
			m.node.TransferLeader(m.time(), other.id)
			m.drain()
		}
	}
}

// wipeDisk loses the disk of a voter, unless one is being replaced already.
func (s *sim) wipeDisk(m *simMember) {
	if s.wiped != nil || !s.settled() {
		return
	}
	s.wipes++
	s.wiped = &wipe{old: m.id, fresh: m}
	m.up = false
	m.life++
	s.clients.lost(m)
	m.disk = newDisk(s.rng)
	m.start()
	s.replace()
}

// settled reports whether all three members are committed voters.
func (s *sim) settled() bool {
	leader := s.leading()
	if leader == nil {
		return false
	}
	point, ok := leader.node.SnapshotHeader(leader.node.Status().Commit)
	if !ok || len(point.GetMembers().GetMembers()) != len(s.vms) {
		return false
	}
	for _, member := range point.GetMembers().GetMembers() {
		if member.GetLearner() || s.byID(member.GetId()) == nil {
			return false
		}
	}
	return leader.node.Status().OwnTermCommitted
}

// leading returns the leader of the newest term.
func (s *sim) leading() *simMember {
	var found *simMember
	term := uint64(0)
	for _, m := range s.vms {
		if !m.up || m.node.Status().Role != raft.Leader || m.node.Status().Term <= term {
			continue
		}
		found = m
		term = m.node.Status().Term
	}
	return found
}

// replace goes through the steps of a replacement on whoever leads.
func (s *sim) replace() {
	if s.wiped == nil {
		return
	}
	s.after(s.between(20*time.Millisecond, 60*time.Millisecond), s.replace)
	leader := s.leading()
	if leader == nil || leader.frozen > s.now {
		return
	}
	if s.settled() {
		for _, view := range leader.node.Status().Members {
			if view.Member.GetId() == s.wiped.fresh.id && view.Match >= leader.node.Status().Commit {
				s.wiped = nil
				return
			}
		}
	}
	fresh := &raftpb.Member{Id: s.wiped.fresh.id, Vm: vmName(s.wiped.fresh.vm)}
	for _, change := range []raft.Change{
		{Kind: raft.AddLearner, Member: fresh},
		{Kind: raft.Promote, Member: fresh},
		{Kind: raft.Remove, Member: &raftpb.Member{Id: s.wiped.old}},
	} {
		if _, _, refusal := leader.node.ProposeMemberChange(leader.time(), change); refusal != raft.AlreadyDone {
			break
		}
	}
	leader.drain()
}

// heal ends all faults.
func (s *sim) heal() {
	s.loss = 0
	s.cut = map[[2]int]time.Duration{}
	for _, m := range s.vms {
		m.disk.crashAt = 0
		m.frozen = 0
	}
}
