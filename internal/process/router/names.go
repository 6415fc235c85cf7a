package router

import (
	"fmt"
	"sync/atomic"

	"cactusline.dev/cactusline/internal/version/ident"
)

// requestNames draws the ids of requests.
type requestNames struct {
	prefix string
	count  atomic.Uint64
}

// next returns an id that no other request of the fleet has.
func (n *requestNames) next() ident.RequestID {
	return ident.RequestID(fmt.Sprintf("%s-%d", n.prefix, n.count.Add(1)))
}
