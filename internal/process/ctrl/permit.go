package ctrl

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/permit"
)

// QueryPermit asks the leader for a permit; Argument is a wire.Permit and the
// result a wire.PermitReply.
const QueryPermit = "permit"

// permitConfirmTimeout bounds the confirmation of one permit by a quorum.
const permitConfirmTimeout = time.Second

// permit grants a permit if this process leads. It is taken from the bucket
// before a quorum confirms the leadership: one that is not confirmed is lost,
// and none is granted beside those of a newer leader.
func (c *Control) permit(ctx context.Context, argument []byte) *wire.QueryReply {
	asked := new(wire.Permit)
	if err := proto.Unmarshal(argument, asked); err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	term, leads, leader := c.leads()
	if !leads {
		return &wire.QueryReply{Error: "not the leader", Leader: leader, Retry: true}
	}
	granted, retryAfter := c.permits.Take(c.cfg.Clock.Now(), term, permit.Kind(asked.GetKind()), asked.GetAmount())
	if granted && !c.confirms(ctx, term) {
		return &wire.QueryReply{Error: "leadership is not confirmed", Retry: true}
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

// confirms reports whether a quorum confirms that this process still leads
// the term.
func (c *Control) confirms(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, permitConfirmTimeout)
	defer cancel()
	if _, err := c.cfg.Log.Barrier(ctx); err != nil {
		return false
	}
	now, leads, _ := c.leads()
	return leads && now == term
}

// leads returns the term and whether this process leads it, and otherwise
// the leader's address, empty if it is not known.
func (c *Control) leads() (term uint64, leads bool, leader string) {
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
