package ctrl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/store"
)

const (
	// queryMembers asks the leader to change the control processes.
	queryMembers = "members"
	// promoteInterval is how often the leader looks whether a newcomer has
	// caught up.
	promoteInterval = 50 * time.Millisecond
	// leaderTimeout is how long a change of members waits for a leader.
	leaderTimeout = 2 * time.Second
)

// Membership changes the member list of the replicated log. *group.Group is one.
type Membership interface {
	Status() group.Status
	AddLearner(ctx context.Context, member group.Member) error
	Promote(ctx context.Context, member group.Member) error
	Remove(ctx context.Context, member group.Member) error
	Replace(ctx context.Context, old group.MemberID, fresh group.Member) error
	TransferLeadership(ctx context.Context, to group.MemberID) error
}

// MemberVerb is what a change of the control processes does.
type MemberVerb string

// The changes of the control processes.
const (
	// MemberAdd makes New a voter once it has caught up.
	MemberAdd MemberVerb = "add"
	// MemberRemove takes Old out.
	MemberRemove MemberVerb = "remove"
	// MemberReplace makes New a voter and then takes Old out.
	MemberReplace MemberVerb = "replace"
	// MemberTransfer hands leadership to New.
	MemberTransfer MemberVerb = "transfer"
)

// MemberChange asks for a change of the control processes. Old and New are
// VMs, or members' identities where a VM has several.
type MemberChange struct {
	Verb  MemberVerb
	Old   string `json:",omitempty"`
	New   string `json:",omitempty"`
	Actor string `json:",omitempty"`
}

// MemberRefusedError says that a change of the control processes was not
// begun, or why it can't go on.
type MemberRefusedError struct {
	Message string
}

// Error returns the reason.
func (e *MemberRefusedError) Error() string { return e.Message }

// NoLeaderError says that a change of the control processes was not begun,
// because this process knows no leader. Another one may.
type NoLeaderError struct {
	Message string
}

// Error returns the reason.
func (e *NoLeaderError) Error() string { return e.Message }

// joined returns an error if this process is no member of control yet, which
// knows no leader however long it waits.
func (c *Control) joined() error {
	if c.cfg.Group == nil {
		return nil
	}
	status := c.cfg.Group.Status()
	for _, member := range status.Members {
		if member.ID == status.ID {
			return nil
		}
	}
	return &NoLeaderError{Message: fmt.Sprintf("%s is no member of control yet", status.ID)}
}

// memberAnswer is the leader's answer to a change.
type memberAnswer struct {
	Refused string
	Failed  string
	// Elsewhere says that the process does not lead.
	Elsewhere bool
}

// ChangeMembers changes the control processes at their leader and returns
// once the change has committed. A *MemberRefusedError tells why it can't, and
// a *NoLeaderError that another process is to be asked; any other error means that it may have been made, in part too, and asking again
// goes on from there.
func (c *Control) ChangeMembers(ctx context.Context, change MemberChange) error {
	if err := c.joined(); err != nil {
		return err
	}
	until := c.cfg.Clock.Now().Add(leaderTimeout)
	for {
		answer := c.changeAtLeader(ctx, change)
		switch {
		case answer.Refused != "":
			return &MemberRefusedError{Message: answer.Refused}
		case !answer.Elsewhere && answer.Failed == "":
			return nil
		case !answer.Elsewhere:
			return errors.New(answer.Failed)
		}
		if c.cfg.Clock.Sleep(ctx, leaderInterval) != nil || c.cfg.Clock.Now().After(until) {
			return &NoLeaderError{Message: "no leader took the change: " + answer.Failed}
		}
	}
}

// changeAtLeader makes the change here if this process leads, else asks the
// one that does.
func (c *Control) changeAtLeader(ctx context.Context, change MemberChange) memberAnswer {
	if c.cfg.Group == nil {
		return memberAnswer{Refused: "this control process has no others"}
	}
	status := c.cfg.Group.Status()
	if status.Leader == status.ID {
		return c.changeHere(ctx, change)
	}
	for _, member := range status.Members {
		if member.ID == status.Leader {
			return c.askLeader(ctx, member.Address, change)
		}
	}
	return memberAnswer{Elsewhere: true, Failed: "no leader is known"}
}

func (c *Control) askLeader(ctx context.Context, address string, change MemberChange) memberAnswer {
	argument, err := json.Marshal(change)
	if err != nil {
		return memberAnswer{Refused: err.Error()}
	}
	call := &wire.Call{Body: &wire.Call_Query{Query: &wire.Query{Kind: queryMembers, Argument: argument}}}
	reply := new(wire.QueryReply)
	var answer memberAnswer
	err = c.cfg.Link.Ask(ctx, address, call, reply)
	if err == nil {
		err = json.Unmarshal(reply.GetResult(), &answer)
	}
	if err != nil {
		return memberAnswer{Failed: fmt.Sprintf("ask the leader at %s: %v", address, err)}
	}
	return answer
}

// answerMembers serves a change that another control process passes on.
func (c *Control) answerMembers(ctx context.Context, argument []byte) *wire.QueryReply {
	var change MemberChange
	if err := json.Unmarshal(argument, &change); err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	return answerJSON(c.changeHere(ctx, change))
}

// changeHere makes the change as the leader, with an entry in the audit log
// before and after.
func (c *Control) changeHere(ctx context.Context, change MemberChange) memberAnswer {
	if c.cfg.Group == nil {
		return memberAnswer{Refused: "this control process has no others"}
	}
	if err := c.note(ctx, change, "asked"); err != nil {
		return answerOf(err)
	}
	answer := answerOf(c.changeGroup(ctx, change))
	if answer == (memberAnswer{}) {
		answer = answerOf(c.note(ctx, change, "done"))
	}
	return answer
}

func answerOf(err error) memberAnswer {
	var (
		refused   *MemberRefusedError
		member    *group.MemberChangeError
		elsewhere *group.NotLeaderError
	)
	switch {
	case err == nil:
		return memberAnswer{}
	case errors.As(err, &refused):
		return memberAnswer{Refused: refused.Message}
	case errors.As(err, &member) && member.Refusal == raft.LeaderNotRemovable:
		return memberAnswer{Refused: "the leader does not remove itself; transfer leadership first"}
	case errors.As(err, &member):
		return memberAnswer{Refused: err.Error()}
	case errors.As(err, &elsewhere):
		return memberAnswer{Elsewhere: true, Failed: err.Error()}
	}
	return memberAnswer{Failed: err.Error()}
}

// note records a change of members in the audit log.
func (c *Control) note(ctx context.Context, change MemberChange, stage string) error {
	entry, err := store.EncodeCommand(&cmdpb.Command{
		Actor: change.Actor,
		Body: &cmdpb.Command_Note{Note: &cmdpb.Note{
			Kind:    "Members",
			Subject: strings.TrimSpace(change.Old + " " + change.New),
			Detail:  string(change.Verb) + " " + stage,
		}},
	})
	if err != nil {
		return fmt.Errorf("encode note: %w", err)
	}
	// The change may have moved leadership elsewhere.
	if _, err := c.Command(ctx, entry); err != nil {
		return fmt.Errorf("record in the audit log: %w", err)
	}
	return nil
}

func (c *Control) changeGroup(ctx context.Context, change MemberChange) error {
	status := c.cfg.Group.Status()
	var old, fresh group.Member
	var err error
	if change.Verb == MemberRemove || change.Verb == MemberReplace {
		if old, err = findMember(&status, change.Old, false); err != nil {
			return err
		}
	}
	if change.Verb != MemberRemove {
		if fresh, err = findMember(&status, change.New, change.Verb != MemberTransfer); err != nil {
			return err
		}
	}
	switch change.Verb {
	case MemberAdd:
		err = c.addMember(ctx, fresh)
	case MemberRemove:
		err = c.cfg.Group.Remove(ctx, old)
	case MemberReplace:
		err = c.replaceMember(ctx, old, fresh)
	case MemberTransfer:
		err = c.transfer(ctx, fresh.ID)
	default:
		return &MemberRefusedError{Message: fmt.Sprintf("members can't %q: add, remove, replace and transfer are known", change.Verb)}
	}
	if err != nil {
		return fmt.Errorf("%s member: %w", change.Verb, err)
	}
	return nil
}

func (c *Control) replaceMember(ctx context.Context, old, fresh group.Member) error {
	if old.ID == fresh.ID {
		return &MemberRefusedError{Message: fmt.Sprintf("%s can't replace itself", old.ID)}
	}
	return c.cfg.Group.Replace(ctx, old.ID, fresh)
}

func (c *Control) transfer(ctx context.Context, to group.MemberID) error {
	if c.cfg.Group.Status().ID == to {
		return nil
	}
	return c.cfg.Group.TransferLeadership(ctx, to)
}

// addMember adds a learner and makes it a voter once it has caught up.
func (c *Control) addMember(ctx context.Context, fresh group.Member) error {
	if err := c.insist(ctx, c.cfg.Group.AddLearner, fresh); err != nil {
		return err
	}
	return c.insist(ctx, c.cfg.Group.Promote, fresh)
}

// insist makes one step of a change, again while the refusal is one that
// passes.
func (c *Control) insist(ctx context.Context, step func(context.Context, group.Member) error, member group.Member) error {
	for {
		err := step(ctx, member)
		var refused *group.MemberChangeError
		if !errors.As(err, &refused) {
			return err
		}
		switch refused.Refusal {
		case raft.AlreadyDone:
			return nil
		case raft.OwnTermUncommitted, raft.ChangeInProgress, raft.NotCaughtUp:
		default:
			return err
		}
		if c.cfg.Clock.Sleep(ctx, promoteInterval) != nil {
			return err
		}
	}
}

// findMember finds a member, or a newcomer first if newcomers count.
func findMember(status *group.Status, name string, newcomers bool) (group.Member, error) {
	matches := func(m group.Member) bool { return name == string(m.ID) || name == string(m.VM) }
	if newcomers {
		for _, m := range status.Newcomers {
			if matches(m) {
				return m, nil
			}
		}
	}
	var found []group.Member
	var ids []string
	for _, m := range status.Members {
		if matches(m.Member) {
			found = append(found, m.Member)
			ids = append(ids, string(m.ID))
		}
	}
	switch {
	case len(found) == 1:
		return found[0], nil
	case len(found) > 1:
		return group.Member{}, &MemberRefusedError{Message: fmt.Sprintf("%q is several members; name one of %s", name, strings.Join(ids, ", "))}
	case newcomers:
		return group.Member{}, &MemberRefusedError{Message: fmt.Sprintf("no VM %q asks to join; start its control process first", name)}
	}
	return group.Member{}, &MemberRefusedError{Message: fmt.Sprintf("%q is no member", name)}
}
