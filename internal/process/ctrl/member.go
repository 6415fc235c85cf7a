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
	// queryMembers asks the leader for a member change, in Query.Argument as
	// JSON.
	queryMembers = "members"
	// memberRetryInterval is the delay before a step of a member change is
	// retried, for example while a new member catches up.
	memberRetryInterval = 50 * time.Millisecond
	// leaderTimeout is how long a member change waits for a leader.
	leaderTimeout = 2 * time.Second
)

// Membership lists and changes the members of the replicated log. *group.Group
// implements it.
type Membership interface {
	Status() group.Status
	AddLearner(ctx context.Context, member group.Member) error
	Promote(ctx context.Context, member group.Member) error
	Remove(ctx context.Context, member group.Member) error
	Replace(ctx context.Context, old group.MemberID, newMember group.Member) error
	TransferLeadership(ctx context.Context, to group.MemberID) error
}

// MemberVerb is a kind of member change.
type MemberVerb string

// The kinds of member changes.
const (
	// MemberAdd makes New a voter after it has caught up.
	MemberAdd MemberVerb = "add"
	// MemberRemove removes Old.
	MemberRemove MemberVerb = "remove"
	// MemberReplace makes New a voter and then removes Old.
	MemberReplace MemberVerb = "replace"
	// MemberTransfer transfers leadership to New.
	MemberTransfer MemberVerb = "transfer"
)

// MemberChange is a request to change the members of the control group. Old and
// New are names of VMs, or member IDs if a VM has several members.
type MemberChange struct {
	Verb  MemberVerb
	Old   string `json:",omitempty"`
	New   string `json:",omitempty"`
	Actor string `json:",omitempty"`
}

// MemberRefusedError reports that a member change is not possible or can't be
// completed.
type MemberRefusedError struct {
	Message string
}

// Error returns the reason.
func (e *MemberRefusedError) Error() string { return e.Message }

// NoLeaderError reports that a member change did not begin because this process
// is not a member of the control group or knows no leader. Another control
// process may know one.
type NoLeaderError struct {
	Message string
}

// Error returns the reason.
func (e *NoLeaderError) Error() string { return e.Message }

// checkJoined returns an error if this process is not a member of the control
// group. Such a process never learns of a leader.
func (c *Control) checkJoined() error {
	if c.cfg.Group == nil {
		return nil
	}
	status := c.cfg.Group.Status()
	for _, member := range status.Members {
		if member.ID == status.ID {
			return nil
		}
	}
	return &NoLeaderError{Message: fmt.Sprintf("%s is not a member of the control group", status.ID)}
}

// memberChangeResult is the leader's answer to a member change. The zero value
// means success.
type memberChangeResult struct {
	Refused string
	Failed  string
	// NotLeader says that the process that was asked is not the leader.
	NotLeader bool `json:"Elsewhere"`
}

// ChangeMembers has the leader change the members of the control group, and
// returns once the change is committed. A *MemberRefusedError says why the
// change is not possible, and a *NoLeaderError says that another process must
// be asked. After any other error the change may have been made completely or
// in part; repeating it continues where it stopped.
func (c *Control) ChangeMembers(ctx context.Context, change MemberChange) error {
	if err := c.checkJoined(); err != nil {
		return err
	}
	deadline := c.cfg.Clock.Now().Add(leaderTimeout)
	for {
		result := c.changeAtLeader(ctx, change)
		switch {
		case result.Refused != "":
			return &MemberRefusedError{Message: result.Refused}
		case !result.NotLeader && result.Failed == "":
			return nil
		case !result.NotLeader:
			return errors.New(result.Failed)
		}
		// The process that was asked is not the leader, so ask again.
		if c.cfg.Clock.Sleep(ctx, leaderRetryInterval) != nil || c.cfg.Clock.Now().After(deadline) {
			return &NoLeaderError{Message: "no leader accepted the change: " + result.Failed}
		}
	}
}

// changeAtLeader makes the change if this process is the leader, and otherwise
// forwards it to the leader.
func (c *Control) changeAtLeader(ctx context.Context, change MemberChange) memberChangeResult {
	if c.cfg.Group == nil {
		return memberChangeResult{Refused: "this control process is not part of a group"}
	}
	status := c.cfg.Group.Status()
	if status.Leader == status.ID {
		return c.changeAsLeader(ctx, change)
	}
	for _, member := range status.Members {
		if member.ID == status.Leader {
			return c.forwardToLeader(ctx, member.Address, change)
		}
	}
	return memberChangeResult{NotLeader: true, Failed: "no leader is known"}
}

// forwardToLeader sends the change to the leader and returns its answer.
func (c *Control) forwardToLeader(ctx context.Context, address string, change MemberChange) memberChangeResult {
	argument, err := json.Marshal(change)
	if err != nil {
		return memberChangeResult{Refused: err.Error()}
	}
	call := &wire.Call{Body: &wire.Call_Query{Query: &wire.Query{Kind: queryMembers, Argument: argument}}}
	reply := new(wire.QueryReply)
	var result memberChangeResult
	err = c.cfg.Link.Ask(ctx, address, call, reply)
	if err == nil {
		err = json.Unmarshal(reply.GetResult(), &result)
	}
	if err != nil {
		return memberChangeResult{Failed: fmt.Sprintf("forward change to leader at %s: %v", address, err)}
	}
	return result
}

// answerMemberChange makes a change that another control process forwarded.
func (c *Control) answerMemberChange(ctx context.Context, argument []byte) *wire.QueryReply {
	var change MemberChange
	if err := json.Unmarshal(argument, &change); err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	return answerJSON(c.changeAsLeader(ctx, change))
}

// changeAsLeader makes the change, with entries in the audit log before and
// after it.
func (c *Control) changeAsLeader(ctx context.Context, change MemberChange) memberChangeResult {
	if c.cfg.Group == nil {
		return memberChangeResult{Refused: "this control process is not part of a group"}
	}
	if err := c.recordAudit(ctx, change, "asked"); err != nil {
		return newMemberChangeResult(err)
	}
	result := newMemberChangeResult(c.applyMemberChange(ctx, change))
	if result == (memberChangeResult{}) {
		result = newMemberChangeResult(c.recordAudit(ctx, change, "done"))
	}
	return result
}

// newMemberChangeResult returns the answer for the outcome of a change.
func newMemberChangeResult(err error) memberChangeResult {
	var (
		refused   *MemberRefusedError
		changeErr *group.MemberChangeError
		notLeader *group.NotLeaderError
	)
	switch {
	case err == nil:
		return memberChangeResult{}
	case errors.As(err, &refused):
		return memberChangeResult{Refused: refused.Message}
	case errors.As(err, &changeErr) && changeErr.Refusal == raft.LeaderNotRemovable:
		return memberChangeResult{Refused: "the leader cannot remove itself; transfer leadership first"}
	case errors.As(err, &changeErr):
		return memberChangeResult{Refused: err.Error()}
	case errors.As(err, &notLeader):
		return memberChangeResult{NotLeader: true, Failed: err.Error()}
	}
	return memberChangeResult{Failed: err.Error()}
}

// recordAudit records a stage of a member change in the audit log.
func (c *Control) recordAudit(ctx context.Context, change MemberChange, stage string) error {
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
	// The change may have transferred leadership, so the entry is proposed at the
	// current leader.
	if _, err := c.Command(ctx, entry); err != nil {
		return fmt.Errorf("record member change in audit log: %w", err)
	}
	return nil
}

// applyMemberChange resolves the members that the change names and makes it.
func (c *Control) applyMemberChange(ctx context.Context, change MemberChange) error {
	status := c.cfg.Group.Status()
	var old, newMember group.Member
	var err error
	if change.Verb == MemberRemove || change.Verb == MemberReplace {
		if old, err = findMember(&status, change.Old, false); err != nil {
			return err
		}
	}
	if change.Verb != MemberRemove {
		if newMember, err = findMember(&status, change.New, change.Verb != MemberTransfer); err != nil {
			return err
		}
	}
	switch change.Verb {
	case MemberAdd:
		err = c.addMember(ctx, newMember)
	case MemberRemove:
		err = c.cfg.Group.Remove(ctx, old)
	case MemberReplace:
		err = c.replaceMember(ctx, old, newMember)
	case MemberTransfer:
		err = c.transfer(ctx, newMember.ID)
	default:
		return &MemberRefusedError{Message: fmt.Sprintf("unknown member change %q: want add, remove, replace or transfer", change.Verb)}
	}
	if err != nil {
		return fmt.Errorf("%s member: %w", change.Verb, err)
	}
	return nil
}

func (c *Control) replaceMember(ctx context.Context, old, newMember group.Member) error {
	if old.ID == newMember.ID {
		return &MemberRefusedError{Message: fmt.Sprintf("%s cannot replace itself", old.ID)}
	}
	return c.cfg.Group.Replace(ctx, old.ID, newMember)
}

func (c *Control) transfer(ctx context.Context, to group.MemberID) error {
	if c.cfg.Group.Status().ID == to {
		return nil
	}
	return c.cfg.Group.TransferLeadership(ctx, to)
}

// addMember adds a learner and promotes it to a voter after it has caught up.
func (c *Control) addMember(ctx context.Context, newMember group.Member) error {
	if err := c.retryStep(ctx, c.cfg.Group.AddLearner, newMember); err != nil {
		return err
	}
	return c.retryStep(ctx, c.cfg.Group.Promote, newMember)
}

// retryStep makes one step of a change. It retries while the step is refused
// for a temporary reason.
func (c *Control) retryStep(ctx context.Context, step func(context.Context, group.Member) error, member group.Member) error {
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
			// These refusals are temporary.
		default:
			return err
		}
		if c.cfg.Clock.Sleep(ctx, memberRetryInterval) != nil {
			return err
		}
	}
}

// findMember returns the member with a name. If includeNewcomers is set,
// processes that ask to join are searched first.
func findMember(status *group.Status, name string, includeNewcomers bool) (group.Member, error) {
	matches := func(m group.Member) bool { return name == string(m.ID) || name == string(m.VM) }
	if includeNewcomers {
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
		return group.Member{}, &MemberRefusedError{Message: fmt.Sprintf("VM %q has several members; name one of %s", name, strings.Join(ids, ", "))}
	case includeNewcomers:
		return group.Member{}, &MemberRefusedError{Message: fmt.Sprintf("no VM %q asks to join; start its control process first", name)}
	}
	return group.Member{}, &MemberRefusedError{Message: fmt.Sprintf("%q is not a member", name)}
}
