package gate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cactusline.dev/cactusline/internal/request/room"
)

// reasonNoRoom is the reason of a rejection because the targets have too little room.
const reasonNoRoom = "NoRoom"

// decideRoom decides whether there is room for the first attempt of the request. Later
// attempts take the place of the first.
func (c *call) decideRoom() room.Decision {
	if c.retryState.Attempts() > 0 || c.route.LatencyObjective <= 0 {
		return room.Decision{Admitted: true}
	}
	now := c.gate.cfg.Clock.Now()
	forecast, known := c.gate.balancer.Forecast(now, &c.placement)
	if !known {
		return room.Decision{Admitted: true}
	}
	c.forecast = forecast
	c.decision = c.gate.room.Decide(now, room.Request{
		Service: c.placement.Service, Customer: c.customerName(), Route: routeKey(c.route), Priority: c.priority(),
		Objective: c.route.LatencyObjective, Timeout: c.callerTimeout(now),
	}, room.Forecast{Wait: forecast.Wait, Work: forecast.Work}, rand.Float64(), rand.Float64())
	return c.decision
}

// callerTimeout returns the time that the caller has left, which may be longer than that of
// the route.
func (c *call) callerTimeout(now time.Time) time.Duration {
	if c.meta.Timeout <= 0 {
		return c.deadline.Sub(now)
	}
	return c.startedAt.Add(c.meta.Timeout).Sub(now)
}

// finishWithoutRoom ends a request that has no room.
func (c *call) finishWithoutRoom(decision room.Decision) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_no_room_total{class=%q,priority=\"%d\"}", decision.Class, c.priority())).Inc()
	c.respondErrorRetryAfter(http.StatusServiceUnavailable, reasonNoRoom, decision.RetryAfter)
}

// roomFields returns what was known when the request was admitted or rejected, as it is
// logged: nil if no request had to wait.
func (c *call) roomFields() []any {
	if c.forecast.Wait <= 0 {
		return nil
	}
	return []any{"Room", roomLog{
		Class: c.decision.Class, Level: round(c.decision.Level), Rejected: round(c.decision.Rejected),
		Wait: c.forecast.Wait.String(), Work: c.forecast.Work.String(), ReportAge: c.forecast.Age.String(),
	}}
}

// roomLog is a decision as it is logged, under the names of its fields.
type roomLog struct {
	Class room.Class
	// Level is the level of overload of the service, and Rejected the part of the requests
	// of the class that are rejected.
	Level, Rejected float64
	// Wait is the predicted time until the request begins at the best target, and Work the
	// time that it takes then. ReportAge is how old that target's report of its load was.
	Wait, Work, ReportAge string
}

// round rounds to three decimals, which are enough for a log line.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
