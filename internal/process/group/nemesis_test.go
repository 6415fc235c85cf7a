package group_test

import (
	"time"

	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/process/raftpb"
)

// diskReplacement is the replacement of a member whose disk was wiped, while
// it is in progress.
type diskReplacement struct {
	oldID  string     // the identity before the wipe
	member *simMember // runs under a new identity
}

// injectFaults injects a random fault at random intervals until the given
// time.
func (s *sim) injectFaults(until time.Duration) {
	if s.now > until {
		return
	}
	s.schedule(s.faultIntervalFactor*s.randomDuration(20*time.Millisecond, 300*time.Millisecond), func() { s.injectFaults(until) })
	m := s.vms[s.rng.IntN(len(s.vms))]
	other := s.vms[s.rng.IntN(len(s.vms))]
	switch s.rng.IntN(9) {
	case 0: // cut one direction of a link
		s.cutUntil[[2]int{m.vm, other.vm}] = s.now + s.randomDuration(0, 1500*time.Millisecond)
	case 1: // isolate a VM
		end := s.now + s.randomDuration(0, 1500*time.Millisecond)
		for peer := range s.vms {
			s.cutUntil[[2]int{m.vm, peer}] = end
			s.cutUntil[[2]int{peer, m.vm}] = end
		}
	case 2: // freeze a process
		m.frozenUntil = s.now + s.randomDuration(0, 1500*time.Millisecond)
	case 3: // step a clock
		m.clockOffset += s.randomDuration(-100*time.Millisecond, 100*time.Millisecond)
	case 4: // crash now
		if m.up {
			m.crash()
		}
	case 5, 6: // crash during a disk operation
		if m.up && m.disk.crashAtOp == 0 {
			m.disk.crashAtOp = m.disk.opCount + 1 + s.rng.IntN(12)
		}
	case 7: // wipe a disk
		s.wipeDisk(m)
	case 8: // transfer leadership
		if m.up {
			m.node.TransferLeader(m.time(), other.id)
			m.processReady()
		}
	}
}

// wipeDisk wipes the disk of a member and starts its replacement, unless a
// replacement is in progress or some member is not a committed voter.
func (s *sim) wipeDisk(m *simMember) {
	if s.replacement != nil || !s.allVoters() {
		return
	}
	s.wipeCount++
	s.replacement = &diskReplacement{oldID: m.id, member: m}
	m.up = false
	m.incarnation++
	s.clients.memberCrashed(m)
	m.disk = newDisk(s.rng)
	m.start()
	s.reportLostDisk(s.replacement.oldID)
	s.continueReplacement()
}

// reportLostDisk lets some members learn, at random times, that the disk of a member is
// lost.
func (s *sim) reportLostDisk(id string) {
	for _, m := range s.vms {
		if s.rng.IntN(2) == 0 {
			continue
		}
		s.schedule(s.randomDuration(0, time.Second), func() {
			if m.up && m.frozenUntil <= s.now {
				m.node.ReportDiskLost(m.time(), id)
				m.processReady()
			}
		})
	}
}

// allVoters reports whether every member is a committed voter under its
// current identity, and the leader has committed an entry of its own term.
func (s *sim) allVoters() bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	header, ok := leader.node.SnapshotHeader(leader.node.Status().Commit)
	if !ok || len(header.GetMembers().GetMembers()) != len(s.vms) {
		return false
	}
	for _, member := range header.GetMembers().GetMembers() {
		if member.GetLearner() || s.memberByID(member.GetId()) == nil {
			return false
		}
	}
	return leader.node.Status().OwnTermCommitted
}

// leader returns the leader with the highest term, or nil.
func (s *sim) leader() *simMember {
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

// continueReplacement proposes the next step of the replacement to the current
// leader, and repeats until the new member is a voter that has synced all
// committed entries.
func (s *sim) continueReplacement() {
	if s.replacement == nil {
		return
	}
	s.schedule(s.randomDuration(20*time.Millisecond, 60*time.Millisecond), s.continueReplacement)
	leader := s.leader()
	if leader == nil || leader.frozenUntil > s.now {
		return
	}
	if s.allVoters() {
		for _, view := range leader.node.Status().Members {
			if view.Member.GetId() == s.replacement.member.id && view.Match >= leader.node.Status().Commit {
				s.replacement = nil
				return
			}
		}
	}
	newMember := &raftpb.Member{Id: s.replacement.member.id, Vm: vmName(s.replacement.member.vm)}
	// Propose the first change that has not been made yet.
	changes := []raft.Change{
		{Kind: raft.AddLearner, Member: newMember},
		{Kind: raft.Promote, Member: newMember},
		{Kind: raft.Remove, Member: &raftpb.Member{Id: s.replacement.oldID}},
	}
	if s.removesFirst {
		changes[1], changes[2] = changes[2], changes[1]
	}
	for _, change := range changes {
		_, _, result := leader.node.ProposeMemberChange(leader.time(), change)
		done := result == raft.AlreadyDone || change.Kind == raft.Remove && result == raft.NoSuchMember
		if !done {
			break
		}
	}
	leader.processReady()
}

// endFaults ends all network, disk and freeze faults.
func (s *sim) endFaults() {
	s.lossRate = 0
	s.cutUntil = map[[2]int]time.Duration{}
	for _, m := range s.vms {
		m.disk.crashAtOp = 0
		m.frozenUntil = 0
	}
}
