package gate

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/carry"
	"cactusline.dev/cactusline/internal/request/origin"
	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/route"
)

const (
	// originTimeout bounds the question where a stream began.
	originTimeout = 300 * time.Millisecond
	// originRetryDelay is the pause before control is asked once more about a stream
	// that it does not know. By then it has the report of a gate that runs.
	originRetryDelay = 60 * time.Millisecond
	// streamTimeouts is how long a stream can last over all requests of its caller, in
	// timeouts of its route.
	streamTimeouts = 2
)

// OriginSource asks control where streams began.
type OriginSource interface {
	// AskOrigin returns the origin of a stream, and false if control does not know it.
	AskOrigin(ctx context.Context, key origin.StreamKey) (origin.Origin, bool, error)
}

// streamOrigins holds where the streams of this gate began, and which of them control
// does not have yet.
type streamOrigins struct {
	table *origin.Table

	mu         sync.Mutex
	unreported map[origin.Origin][]origin.StreamKey
	// added receives a value when there is something to report.
	added chan struct{}
}

func newStreamOrigins() *streamOrigins {
	return &streamOrigins{
		table: origin.NewTable(origin.Config{}), unreported: make(map[origin.Origin][]origin.StreamKey),
		added: make(chan struct{}, 1),
	}
}

// record records the origin of a stream whose first event has arrived.
func (s *streamOrigins) record(now time.Time, id ident.RequestID, began origin.Origin) {
	key := origin.KeyOf(id)
	s.table.Record(now, key, began)
	s.mu.Lock()
	s.unreported[began] = append(s.unreported[began], key)
	s.mu.Unlock()
	select {
	case s.added <- struct{}{}:
	default:
	}
}

// take removes and returns the streams that are to be reported.
func (s *streamOrigins) take() map[origin.Origin][]origin.StreamKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.unreported
	s.unreported = make(map[origin.Origin][]origin.StreamKey)
	return taken
}

// StreamOrigins returns where the streams began that control has not been told of, or all
// recent ones if all is set, as for a control process that this gate has not reported to.
func (g *Gate) StreamOrigins(all bool) []*wire.StreamOrigins {
	streams := g.origins.take()
	if all {
		streams = g.origins.table.All(g.cfg.Clock.Now())
	}
	messages := make([]*wire.StreamOrigins, 0, len(streams))
	for began, keys := range streams {
		message := &wire.StreamOrigins{Service: string(began.Service), Version: string(began.Version)}
		for _, key := range keys {
			message.Streams = append(message.Streams, uint64(key))
		}
		messages = append(messages, message)
	}
	return messages
}

// StreamsBegan returns a channel that receives a value when StreamOrigins has new streams.
func (g *Gate) StreamsBegan() <-chan struct{} { return g.origins.added }

// pinOrigin restricts a stream that has begun to targets of the version that began it.
func (c *call) pinOrigin(target *place.Target) {
	if c.placement.Pinned {
		return
	}
	c.placement.Pinned, c.placement.Version = true, target.Version
	if c.route.Resumable {
		c.gate.origins.record(c.gate.cfg.Clock.Now(), c.meta.ID, origin.Origin{Service: target.Service, Version: target.Version})
	}
}

// takesUpStream reports whether the request goes on with a stream that another one began.
func (c *call) takesUpStream() bool {
	return c.route.Kind == route.Stream && c.route.Resumable && (c.meta.Resumes != "" || c.meta.LastEventID != "")
}

// findOrigin restricts a request that takes up a stream to the service and version that
// began it. It returns false if these are not known, or the route does not lead there.
func (c *call) findOrigin(ctx context.Context) bool {
	began, source := c.streamOrigin(ctx)
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_streams_taken_up_total{origin=%q}", source)).Inc()
	c.originSource = source
	if source == originUnknown || !c.route.LeadsTo(began.Service) {
		return false
	}
	c.placement.Service = began.Service
	c.placement.Pinned, c.placement.Version = true, began.Version
	return true
}

// The ways in which the origin of a stream is known, as they are logged.
const (
	originUnknown = "Unknown"
	originHere    = "Gate"
	originControl = "Control"
	originOnly    = "OnlyVersion"
)

// streamOrigin returns where the stream that the request takes up began, and how that is
// known: from this gate, from control, or because the service has had one version for as
// long as the stream can have lasted.
func (c *call) streamOrigin(ctx context.Context) (origin.Origin, string) {
	g, service := c.gate, c.placement.Service
	if c.meta.Resumes != "" {
		key := origin.KeyOf(c.meta.Resumes)
		if began, found := g.origins.table.Lookup(c.startedAt, key); found {
			return began, originHere
		}
		if began, found := g.askOrigin(ctx, key); found {
			return began, originControl
		}
	}
	longest := streamTimeouts * c.route.Timeout
	if version, since, only := g.balancer.OnlyVersion(service); only && c.startedAt.Sub(since) >= longest {
		return origin.Origin{Service: service, Version: version}, originOnly
	}
	return origin.Origin{}, originUnknown
}

// askOrigin asks control where a stream began. If control does not know it, it is asked
// once more, since the report may be under way.
func (g *Gate) askOrigin(ctx context.Context, key origin.StreamKey) (origin.Origin, bool) {
	if g.cfg.Origins == nil {
		return origin.Origin{}, false
	}
	askCtx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	for range 2 {
		began, found, err := g.cfg.Origins.AskOrigin(askCtx, key)
		if err != nil {
			if ctx.Err() == nil {
				_ = level.Warn(g.cfg.Logger).Log("msg", "asking for the origin of a stream failed", "err", err)
			}
			return origin.Origin{}, false
		}
		if found {
			return began, true
		}
		_ = g.cfg.Clock.Sleep(askCtx, originRetryDelay)
	}
	return origin.Origin{}, false
}

// finishUnknownOrigin rejects a request that takes up a stream that began nobody knows
// where.
func (c *call) finishUnknownOrigin() {
	c.respondError(http.StatusServiceUnavailable, "OriginUnknown")
}

// finishWithoutTarget ends a request for which no target is left.
func (c *call) finishWithoutTarget(ctx context.Context) {
	action := c.retryState.NextWithoutTarget()
	if action == carry.Reject && c.placement.Pinned {
		c.respondError(http.StatusServiceUnavailable, "VersionGone")
		return
	}
	c.finish(ctx, action)
}
