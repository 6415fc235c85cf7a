package ctrl

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/permit"
)

// QueryPermit asks the leader for a permit. Query.Argument is a wire.Permit and
// the result a wire.PermitReply.
const QueryPermit = "permit"

// permitConfirmTimeout is the timeout for the confirmation of leadership by a
// quorum.
const permitConfirmTimeout = time.Second

// answerPermit grants a permit if this process is the leader. The permit is
// taken from the token bucket before a quorum confirms the leadership. If the
// confirmation fails, the permit is lost, so that no permits are granted in
// addition to those of a newer leader.
func (c *Control) answerPermit(ctx context.Context, argument []byte) *wire.QueryReply {
	request := new(wire.Permit)
	if err := proto.Unmarshal(argument, request); err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	term, leads, leader := c.leadership()
	if !leads {
		return &wire.QueryReply{Error: "not the leader", Leader: leader, Retry: true}
	}
	granted, retryAfter := c.permitLimiter.Take(c.cfg.Clock.Now(), term, permit.Kind(request.GetKind()), request.GetAmount())
	if granted && !c.confirmLeadership(ctx, term) {
		return &wire.QueryReply{Error: "leadership was not confirmed by a quorum", Retry: true}
	}
	result, err := proto.Marshal(&wire.PermitReply{
		Granted:      granted,
		RetryAfterMs: uint32(retryAfter.Milliseconds()),
	})
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	return &wire.QueryReply{Result: result}
}

// confirmLeadership reports whether a quorum confirms that this process is
// still the leader in the given term.
func (c *Control) confirmLeadership(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, permitConfirmTimeout)
	defer cancel()
	if _, err := c.cfg.Log.Barrier(ctx); err != nil {
		return false
	}
	currentTerm, leads, _ := c.leadership()
	return leads && currentTerm == term
}

// leadership returns the term and whether this process is the leader. Otherwise
// it also returns the leader's address, empty if no leader is known.
func (c *Control) leadership() (term uint64, leads bool, leader string) {
	if c.cfg.Group == nil {
		return 0, true, ""
	}
	status := c.cfg.Group.Status()
	if status.Leader == status.ID {
		return status.Term, true, ""
	}
	for _, member := range status.Members {
		if member.ID == status.Leader {
			leader = member.Address
		}
	}
	return status.Term, false, leader
}
