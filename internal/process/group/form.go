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

// The entry for which a group's first snapshot stands. It holds the first
// member list and no state of the machine.
const (
	baseIndex = 1
	baseTerm  = 1
)

// formation is what a VM with an empty folder knows of the other bootstrap
// VMs.
type formation struct {
	founder bool
	empty   map[ident.VMName]emptyFolder
	nextAt  time.Time
}

// emptyFolder is a VM's word that its folder held no log at a time.
type emptyFolder struct {
	id MemberID
	at time.Time
}

func compareIDs(a, b MemberID) int { return cmp.Compare(a, b) }

func memberOf(m *raftpb.Member) Member {
	return Member{ID: MemberID(m.GetId()), VM: ident.VMName(m.GetVm()), Address: m.GetAddress()}
}

func (m Member) encode() *raftpb.Member {
	return &raftpb.Member{Id: string(m.ID), Vm: string(m.VM), Address: m.Address}
}

// startForming prepares to form a group; a group of one is formed at once.
func (g *Group) startForming(state *walog.State) error {
	self := g.bootstrapMember(g.cfg.VM)
	if self == nil {
		return fmt.Errorf("bootstrap list lacks this VM %q", g.cfg.VM)
	}
	if len(g.cfg.Bootstrap) == 1 {
		state.Snapshot = g.firstSnapshot(nil)
		if err := g.disk.Append(walog.Batch{Snapshot: state.Snapshot}); err != nil {
			return fmt.Errorf("form group: %w", err)
		}
		return nil
	}
	founder := slices.MinFunc(g.cfg.Bootstrap, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	g.forming = &formation{founder: founder.VM == g.cfg.VM, empty: map[ident.VMName]emptyFolder{}}
	return nil
}

// BootstrapSingle forms a group of this member alone, which others then join. It reports
// whether it did: a member that has ever taken part in a group does not.
func (g *Group) BootstrapSingle(address string) bool {
	formed := false
	err := g.do(func(now time.Time) {
		if !g.node.Empty() {
			return
		}
		self := Member{ID: g.id, VM: g.cfg.VM, Address: address}
		g.node.Bootstrap(now, &raftpb.Snapshot{
			Index: baseIndex, Term: baseTerm,
			Members: &raftpb.Members{Members: []*raftpb.Member{self.encode()}},
		})
		formed = true
	})
	return err == nil && formed
}

func (g *Group) bootstrapMember(vm ident.VMName) *Member {
	for i := range g.cfg.Bootstrap {
		if g.cfg.Bootstrap[i].VM == vm {
			return &g.cfg.Bootstrap[i]
		}
	}
	return nil
}

// firstSnapshot lists the bootstrap VMs under the identities heard.
func (g *Group) firstSnapshot(heard map[ident.VMName]emptyFolder) *raftpb.Snapshot {
	list := &raftpb.Members{}
	for _, member := range g.cfg.Bootstrap {
		member.ID = heard[member.VM].id
		if member.VM == g.cfg.VM {
			member.ID = g.id
		}
		list.Members = append(list.Members, member.encode())
	}
	return &raftpb.Snapshot{Index: baseIndex, Term: baseTerm, Members: list}
}

// hello asks the other bootstrap VMs for their folders, and forms the group
// once all have said lately that theirs are empty.
func (g *Group) hello(now time.Time) {
	if g.forming == nil {
		return
	}
	if !g.node.Empty() {
		g.forming = nil
		return
	}
	if now.Before(g.forming.nextAt) {
		return
	}
	g.forming.nextAt = now.Add(g.cfg.HeartbeatInterval)
	self := *g.bootstrapMember(g.cfg.VM)
	self.ID = g.id
	for _, member := range g.cfg.Bootstrap {
		if member.VM == g.cfg.VM {
			continue
		}
		g.node.Send(&raftpb.Message{
			Kind:   raftpb.MessageKind_HELLO,
			To:     string(UnresolvedID(member.VM)),
			Member: self.encode(),
		})
	}
}

// meet handles the messages by which VMs get to know each other, and reports
// whether m was one.
func (g *Group) meet(now time.Time, m *raftpb.Message) bool {
	switch m.GetKind() {
	case raftpb.MessageKind_HELLO:
		g.onHello(m)
	case raftpb.MessageKind_HELLO_REPLY:
		g.onHelloReply(now, m)
	default:
		return false
	}
	return true
}

func (g *Group) onHello(m *raftpb.Message) {
	if MemberID(m.GetTo()).VM() != g.cfg.VM {
		return
	}
	empty := g.node.Empty()
	newcomer := memberOf(m.GetMember())
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

func (g *Group) onHelloReply(now time.Time, m *raftpb.Message) {
	if g.forming == nil || !g.forming.founder || m.GetTo() != string(g.id) || !g.node.Empty() {
		return
	}
	from := MemberID(m.GetFrom())
	if m.GetReject() {
		delete(g.forming.empty, from.VM())
		return
	}
	g.forming.empty[from.VM()] = emptyFolder{id: from, at: now}
	for _, member := range g.cfg.Bootstrap {
		heard := g.forming.empty[member.VM]
		if member.VM != g.cfg.VM && now.Sub(heard.at) > g.cfg.ElectionTimeout {
			return
		}
	}
	g.node.Bootstrap(now, g.firstSnapshot(g.forming.empty))
	g.forming = nil
}
