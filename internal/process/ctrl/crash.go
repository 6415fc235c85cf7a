package ctrl

import (
	"context"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// QueryInFlightAtCrash asks for the requests that were in flight when the target Name
// crashed, as a JSON list of numbers.
const QueryInFlightAtCrash = "crashed"

// crashed answers once all that was committed before has been applied, so that
// a sidecar that restarts misses no crash that was reported.
func (c *Control) crashed(ctx context.Context, target string) *wire.QueryReply {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if _, err := c.cfg.Log.Barrier(ctx); err != nil {
		return &wire.QueryReply{Error: err.Error(), Retry: true}
	}
	return answerJSON(c.cfg.Store.InFlightAtCrash(ident.TargetName(target)))
}
