package ctrl

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/permit"
	"cactusline.dev/cactusline/internal/version/ident"
)

// QuerySendPermit asks the leader for the permit to send a request to a target that
// limits its rate. Query.Argument is a wire.SendPermit and the result a
// wire.SendPermitReply.
const QuerySendPermit = "send permit"

// sendPermitLease is how long after the last confirmation by a quorum a leader grants
// permits. Two leaders may grant permits at the same time for this long, less the least
// time of an election.
const sendPermitLease = 1200 * time.Millisecond

// answerSendPermit records the limits that a process knows of and grants a permit, if
// this process is the leader.
func (c *Control) answerSendPermit(argument []byte) *wire.QueryReply {
	message := new(wire.SendPermit)
	if err := proto.Unmarshal(argument, message); err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	term, leads, leader := c.leadership()
	if !leads {
		return &wire.QueryReply{Error: "not the leader", Leader: leader, Retry: true}
	}
	now := c.cfg.Clock.Now()
	limits := permit.DecodeSendLimits(now, message.GetLimits())
	if len(message.GetCandidates()) > 0 {
		c.sendLimiter.ObserveAsked(now, term, limits)
	} else {
		c.sendLimiter.Observe(now, term, limits)
	}
	reply := new(wire.SendPermitReply)
	if len(message.GetCandidates()) > 0 {
		if c.hub.confirmedAge() > sendPermitLease {
			return &wire.QueryReply{Error: "leadership was not confirmed by a quorum lately", Retry: true}
		}
		grant := c.sendLimiter.Take(now, term, decodeSendRequest(message))
		reply.Target = string(grant.Target)
		reply.NextMs = uint32(grant.Next.Milliseconds())
		reply.RetryAfterMs = uint32(grant.RetryAfter.Milliseconds())
	}
	result, err := proto.Marshal(reply)
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	return &wire.QueryReply{Result: result}
}

func decodeSendRequest(message *wire.SendPermit) permit.SendRequest {
	request := permit.SendRequest{Urgent: message.GetUrgent(), Last: message.GetLast(), Rejected: int(message.GetRejected())}
	for _, candidate := range message.GetCandidates() {
		request.Candidates = append(request.Candidates, ident.TargetName(candidate))
	}
	return request
}

// addRateLimits adds the limits of targets that changed since the last update to the
// watcher, and reports whether any did.
func (h *hub) addRateLimits(w *watcher, update *wire.Update) bool {
	limits, step := h.sendLimiter.ChangedSince(w.sentLimitStep)
	w.sentLimitStep = step
	now := h.cfg.Clock.Now()
	for _, limit := range limits {
		update.RateLimits = append(update.RateLimits, permit.EncodeSendLimit(now, limit))
	}
	return len(limits) > 0
}
