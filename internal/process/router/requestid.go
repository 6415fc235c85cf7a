package router

import (
	"fmt"
	"sync/atomic"

	"cactusline.dev/cactusline/internal/version/ident"
)

// requestIDs generates request IDs.
type requestIDs struct {
	prefix string
	count  atomic.Uint64
}

// next returns a request ID that is unique in the fleet.
func (r *requestIDs) next() ident.RequestID {
	return ident.RequestID(fmt.Sprintf("%s-%d", r.prefix, r.count.Add(1)))
}
