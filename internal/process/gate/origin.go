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
	AskOrigin(ctx context.Context, question OriginQuestion) (OriginAnswer, error)
}

// OriginQuestion asks where a stream began.
type OriginQuestion struct {
	// Service is the service to which the route of the stream leads.
	Service ident.ServiceName
	// Stream is 0 if the caller does not name the stream.
	Stream origin.StreamKey
}

// OriginAnswer says where a stream began.
type OriginAnswer struct {
	// Known is set if Origin is the origin of the stream.
	Known  bool
	Origin origin.Origin
	// Possible are all versions at which streams of the service may have begun, if the
	// origin is not known.
	Possible []SoftwareAge
}

// SoftwareAge is a software version of a service, and how long no target of the service
// has had it for certain.
type SoftwareAge struct {
	Version ident.SoftwareVersion
	Absent  time.Duration
}

// only returns the one version of which targets served within a time, and false if there
// are none or several.
func (a *OriginAnswer) only(within time.Duration) (version ident.SoftwareVersion, ok bool) {
	for _, possible := range a.Possible {
		if possible.Absent >= within {
			continue
		}
		if ok {
			return "", false
		}
		version, ok = possible.Version, true
	}
	return version, ok
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
	c.setService(began.Service)
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
	g := c.gate
	question := OriginQuestion{Service: c.placement.Service}
	if c.meta.Resumes != "" {
		question.Stream = origin.KeyOf(c.meta.Resumes)
		if began, found := g.origins.table.Lookup(c.startedAt, question.Stream); found {
			return began, originHere
		}
	}
	longest := streamTimeouts * g.timeouts.longest(c.startedAt, c.routeTable, c.route)
	answer := g.askOrigin(ctx, question, longest)
	if answer.Known {
		return answer.Origin, originControl
	}
	if version, only := answer.only(longest); only {
		return origin.Origin{Service: question.Service, Version: version}, originOnly
	}
	return origin.Origin{}, originUnknown
}

// askOrigin asks control where a stream began. If control does not know it, and more than
// one version is possible, it is asked once more, since the report may be under way. A
// gate without control goes by its own list.
func (g *Gate) askOrigin(ctx context.Context, question OriginQuestion, longest time.Duration) OriginAnswer {
	if g.cfg.Origins == nil {
		return g.listedSoftware(question.Service)
	}
	askCtx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		answer, err := g.cfg.Origins.AskOrigin(askCtx, question)
		if err != nil {
			if ctx.Err() == nil {
				_ = level.Warn(g.cfg.Logger).Log("msg", "asking for the origin of a stream failed", "err", err)
			}
			return OriginAnswer{}
		}
		_, only := answer.only(longest)
		if answer.Known || only || question.Stream == 0 || attempt > 0 {
			return answer
		}
		_ = g.cfg.Clock.Sleep(askCtx, originRetryDelay)
	}
}

// listedSoftware returns what this gate's own list says of the versions of a service.
func (g *Gate) listedSoftware(service ident.ServiceName) OriginAnswer {
	version, since, only := g.balancer.OnlyVersion(service)
	if !only {
		return OriginAnswer{}
	}
	// Before since, there may have been any other version.
	return OriginAnswer{Possible: []SoftwareAge{{Version: version}, {Absent: g.cfg.Clock.Now().Sub(since)}}}
}

// finishUnknownOrigin rejects a request that takes up a stream that began nobody knows
// where.
func (c *call) finishUnknownOrigin() {
	c.respondError(http.StatusServiceUnavailable, "OriginUnknown")
}

// finishWithoutTarget ends a request for which no target is left.
func (c *call) finishWithoutTarget(ctx context.Context) {
	action := c.retryState.NextWithoutTarget()
	now := c.gate.cfg.Clock.Now()
	if action == carry.Reject && c.gate.balancer.IsEvacuated(&c.placement) {
		c.respondError(http.StatusServiceUnavailable, reasonEvacuated)
		return
	}
	if end, paused := c.gate.balancer.PauseEnd(now, &c.placement); paused && action == carry.Reject {
		c.finishPaused(now, end)
		return
	}
	if action == carry.Reject && c.placement.Pinned {
		c.respondError(http.StatusServiceUnavailable, "VersionGone")
		return
	}
	if c.finishOutsideHome(action) {
		return
	}
	c.finish(ctx, action)
}
