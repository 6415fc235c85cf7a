package ctrl

import (
	"context"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// QueryInFlightAtCrash asks for the fingerprints of the requests that were in
// flight when the target in Query.Name crashed. The result is a JSON list of
// numbers.
const QueryInFlightAtCrash = "crashed"

// answerInFlightAtCrash answers after everything committed before the query has
// been applied, so that a restarted sidecar sees every crash that was reported.
func (c *Control) answerInFlightAtCrash(ctx context.Context, target string) *wire.QueryReply {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if _, err := c.cfg.Log.Barrier(ctx); err != nil {
		return &wire.QueryReply{Error: err.Error(), Retry: true}
	}
	return answerJSON(c.cfg.Store.InFlightAtCrash(ident.TargetName(target)))
}
