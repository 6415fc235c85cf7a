package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/process/raftpb"
	"cactusline.dev/cactusline/internal/process/walog"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Index and term of a group's bootstrap snapshot. It holds the initial member
// list and no state of the state machine.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// bootstrapState is the state of a member that is forming a new group with the
// other bootstrap VMs.
type bootstrapState struct {
	isFounder    bool
	emptyReports map[ident.VMName]emptyLogReport // collected by the founder only
	nextHello    time.Time                       // when to send the next HELLO messages
}

// emptyLogReport records the reply of another VM that its log is empty.
type emptyLogReport struct {
	id         MemberID
	receivedAt time.Time
}

func compareIDs(a, b MemberID) int { return cmp.Compare(a, b) }

func memberFromProto(m *raftpb.Member) Member {
	return Member{ID: MemberID(m.GetId()), VM: ident.VMName(m.GetVm()), Address: m.GetAddress()}
}

func (m Member) toProto() *raftpb.Member {
	return &raftpb.Member{Id: string(m.ID), Vm: string(m.VM), Address: m.Address}
}

// startBootstrap prepares to form a group with the other bootstrap VMs. A
// group of one member is formed at once.
func (g *Group) startBootstrap(state *walog.State) error {
	self := g.bootstrapMember(g.cfg.VM)
	if self == nil {
		return fmt.Errorf("bootstrap list does not contain this VM %q", g.cfg.VM)
	}
	if len(g.cfg.Bootstrap) == 1 {
		state.Snapshot = g.bootstrapSnapshot(nil)
		if err := g.wal.Append(walog.Batch{Snapshot: state.Snapshot}); err != nil {
			return fmt.Errorf("form group: %w", err)
		}
		return nil
	}
	founder := slices.MinFunc(g.cfg.Bootstrap, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	g.bootstrap = &bootstrapState{isFounder: founder.VM == g.cfg.VM, emptyReports: map[ident.VMName]emptyLogReport{}}
	return nil
}

// BootstrapSingle forms a group with this member as its only voter, which
// other members can then join. It is for members that are opened without
// Config.Bootstrap. It reports whether it formed the group; it does not if
// this member has ever been part of a group or has stopped.
func (g *Group) BootstrapSingle(address string) bool {
	formed := false
	err := g.withNode(func(now time.Time) {
		if !g.node.Empty() {
			return
		}
		self := Member{ID: g.id, VM: g.cfg.VM, Address: address}
		g.node.Bootstrap(now, &raftpb.Snapshot{
			Index: bootstrapIndex, Term: bootstrapTerm,
			Members: &raftpb.Members{Members: []*raftpb.Member{self.toProto()}},
		})
		formed = true
	})
	return err == nil && formed
}

// bootstrapMember returns the entry of Config.Bootstrap for a VM, or nil.
func (g *Group) bootstrapMember(vm ident.VMName) *Member {
	for i := range g.cfg.Bootstrap {
		if g.cfg.Bootstrap[i].VM == vm {
			return &g.cfg.Bootstrap[i]
		}
	}
	return nil
}

// bootstrapSnapshot returns the first snapshot of the group, which lists the
// bootstrap VMs under their reported identities.
func (g *Group) bootstrapSnapshot(reports map[ident.VMName]emptyLogReport) *raftpb.Snapshot {
	list := &raftpb.Members{}
	for _, member := range g.cfg.Bootstrap {
		member.ID = reports[member.VM].id
		if member.VM == g.cfg.VM {
			member.ID = g.id
		}
		list.Members = append(list.Members, member.toProto())
	}
	return &raftpb.Snapshot{Index: bootstrapIndex, Term: bootstrapTerm, Members: list}
}

// sendHellos asks the other bootstrap VMs, once per heartbeat interval,
// whether their logs are empty. It stops once this member is part of a group.
func (g *Group) sendHellos(now time.Time) {
	if g.bootstrap == nil {
		return
	}
	if !g.node.Empty() {
		g.bootstrap = nil
		return
	}
	if now.Before(g.bootstrap.nextHello) {
		return
	}
	g.bootstrap.nextHello = now.Add(g.cfg.HeartbeatInterval)
	self := *g.bootstrapMember(g.cfg.VM)
	self.ID = g.id
	for _, member := range g.cfg.Bootstrap {
		if member.VM == g.cfg.VM {
			continue
		}
		g.node.Send(&raftpb.Message{
			Kind:   raftpb.MessageKind_HELLO,
			To:     string(UnresolvedID(member.VM)),
			Member: self.toProto(),
		})
	}
}

// handleDiscovery handles the messages by which VMs discover each other, and
// reports whether m was one.
func (g *Group) handleDiscovery(now time.Time, m *raftpb.Message) bool {
	switch m.GetKind() {
	case raftpb.MessageKind_HELLO:
		g.handleHello(m)
	case raftpb.MessageKind_HELLO_REPLY:
		g.handleHelloReply(now, m)
	default:
		return false
	}
	return true
}

// handleHello answers whether this member's log is empty. A member that is
// part of a group records the sender as a newcomer, in place of any earlier
// newcomer from the same VM.
func (g *Group) handleHello(m *raftpb.Message) {
	if MemberID(m.GetTo()).VM() != g.cfg.VM {
		return
	}
	empty := g.node.Empty()
	newcomer := memberFromProto(m.GetMember())
	// A description of any other member than the sender is ignored.
	if !empty && string(newcomer.ID) == m.GetFrom() {
		for id, known := range g.newcomers {
			if known.VM == newcomer.VM {
				delete(g.newcomers, id)
			}
		}
		g.newcomers[newcomer.ID] = newcomer
	}
	g.node.Send(&raftpb.Message{
		Kind:   raftpb.MessageKind_HELLO_REPLY,
		To:     m.GetFrom(),
		Reject: !empty,
	})
}

// handleHelloReply records the reply of another bootstrap VM. The founder
// forms the group once every other VM has reported an empty log within the
// last election timeout.
func (g *Group) handleHelloReply(now time.Time, m *raftpb.Message) {
	if g.bootstrap == nil || !g.bootstrap.isFounder || m.GetTo() != string(g.id) || !g.node.Empty() {
		return
	}
	from := MemberID(m.GetFrom())
	if m.GetReject() {
		delete(g.bootstrap.emptyReports, from.VM())
		return
	}
	g.bootstrap.emptyReports[from.VM()] = emptyLogReport{id: from, receivedAt: now}
	for _, member := range g.cfg.Bootstrap {
		// A missing report has the zero time, which is too old.
		report := g.bootstrap.emptyReports[member.VM]
		if member.VM != g.cfg.VM && now.Sub(report.receivedAt) > g.cfg.ElectionTimeout {
			return
		}
	}
	g.node.Bootstrap(now, g.bootstrapSnapshot(g.bootstrap.emptyReports))
	g.bootstrap = nil
}
