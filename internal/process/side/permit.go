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
	// permitTimeout bounds one request for a permit.
	permitTimeout = 5 * time.Second
	// maxPermitWait bounds the wait between two requests for a permit, so
	// that a changed record is seen.
	maxPermitWait = 5 * time.Second
)

// permitFetch asks for one fetch of weights out of what the fleet may start.
// If it is not granted it returns when to ask again.
func (s *Sidecar) permitFetch(ctx context.Context) (granted bool, retryAfter time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	argument, err := proto.Marshal(&wire.Permit{Kind: string(permit.KindWeights), Amount: 1})
	if err != nil {
		return false, 0, fmt.Errorf("encode permit: %w", err)
	}
	answer, err := s.cfg.Control.Query(ctx, &wire.Query{Kind: ctrl.QueryPermit, Argument: argument})
	if err != nil {
		return false, 0, fmt.Errorf("ask for a permit: %w", err)
	}
	reply := new(wire.PermitReply)
	if err := proto.Unmarshal(answer.GetResult(), reply); err != nil {
		return false, 0, fmt.Errorf("decode permit: %w", err)
	}
	retryAfter = time.Duration(reply.GetRetryAfterMs()) * time.Millisecond
	return reply.GetGranted(), min(retryAfter, maxPermitWait), nil
}
