package side

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/permit"
)

const (
	// permitTimeout limits one request for a permit.
	permitTimeout = 5 * time.Second
	// maxPermitWait limits the wait between two requests for a permit, so that
	// a change of the record is noticed in the meantime.
	maxPermitWait = 5 * time.Second
)

// requestWeightsPermit asks control for a permit to fetch the weights of one
// model. The whole fleet shares the rate of such fetches. If the permit is not
// granted, retryAfter says when to ask again.
func (s *Sidecar) requestWeightsPermit(ctx context.Context) (granted bool, retryAfter time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	argument, err := proto.Marshal(&wire.Permit{Kind: string(permit.KindWeights), Amount: 1})
	if err != nil {
		return false, 0, fmt.Errorf("encode permit request: %w", err)
	}
	result, err := s.cfg.Control.Query(ctx, &wire.Query{Kind: ctrl.QueryPermit, Argument: argument})
	if err != nil {
		return false, 0, fmt.Errorf("request permit: %w", err)
	}
	reply := new(wire.PermitReply)
	if err := proto.Unmarshal(result.GetResult(), reply); err != nil {
		return false, 0, fmt.Errorf("decode permit reply: %w", err)
	}
	retryAfter = time.Duration(reply.GetRetryAfterMs()) * time.Millisecond
	return reply.GetGranted(), min(retryAfter, maxPermitWait), nil
}
