package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"cactusline.dev/cactusline/internal/request/carry"
	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/route"
)

const (
	// defaultWait is how long a caller is taken to wait that does not say.
	defaultWait = 30 * time.Second
	// bodyTimeout bounds the time in which a body comes.
	bodyTimeout = 10 * time.Second
	// defaultMaxBody bounds bodies where the document does not.
	defaultMaxBody = 8 << 20
)

// Why a request's context ended, besides that the caller has gone.
var (
	errLate = errors.New("the request's time is up")
	errSlow = errors.New("the target's time is up")
)

// ServeHTTP takes one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{gate: g, writer: w, request: r, began: g.cfg.Clock.Now(), ask: g.cfg.Dialect.ParseRequest(r.Header)}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if !j.admit() || !j.readBody() {
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), j.deadline, errLate)
	defer cancel()
	j.run(ctx)
}

// job is one request on its way.
type job struct {
	gate    *Gate
	writer  http.ResponseWriter
	request *http.Request
	began   time.Time
	// deadline is when the caller, or the route, gives up.
	deadline time.Time
	ask      RequestMeta
	table    *route.Table
	route    *route.Route
	customer *route.Customer
	body     []byte
	state    carry.Request
	place    place.Ask
	// failure is a target's answer that is given to the caller if no better
	// one comes.
	failure *heldAnswer
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	// started says that the caller has the head of a stream.
	started bool
	// heard ends the patience of the attempt under way.
	heard func()
	// paid says that the budget was charged for the next repeat.
	paid  atomic.Bool
	trail []attempt
}

// attempt is what is logged of one attempt.
type attempt struct {
	Target ident.TargetName
	Reason place.Reason
	Load   int
	Mean   float64
	Fetch  string `json:",omitempty"`
	Result string
	Status int    `json:",omitempty"`
	Reused bool   `json:",omitempty"`
	Took   string `json:",omitempty"`
	Error  string `json:",omitempty"`
}

// admit finds route, customer and service, or answers why there are none.
func (j *job) admit() bool {
	j.table = j.gate.inForce()
	if j.table == nil {
		j.refuse(http.StatusServiceUnavailable, "NoDocument")
		return false
	}
	path, _, _ := strings.Cut(j.request.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = j.request.URL.EscapedPath()
	}
	if j.route = j.table.Find(j.request.Host, path); j.route == nil {
		j.refuse(http.StatusNotFound, "NoRoute")
		return false
	}
	j.customer = j.table.Customer(j.ask.APIKey)
	if j.customer == nil && j.table.Keyed() && !j.route.Public {
		j.refuse(http.StatusUnauthorized, "NoCustomer")
		return false
	}
	if j.ask.ID == "" {
		j.refuse(http.StatusBadRequest, "NoRequestID")
		return false
	}
	wait := j.ask.Timeout
	if wait <= 0 {
		wait = defaultWait
	}
	j.deadline = j.began.Add(min(wait, j.route.Timeout))
	j.lastEvent = j.ask.LastEventID
	j.place = place.Ask{Parts: j.ask.PromptParts, Model: j.ask.Model}
	j.place.Service = j.route.Choose(j.draw())
	j.state = carry.Request{
		Repeatable:  j.route.Repeatable(),
		RetryFailed: true,
		Attempts:    max(1, j.route.Attempts),
	}
	return true
}

// draw spreads requests over the services of a route; those that share a
// prompt stay together.
func (j *job) draw() float64 {
	if len(j.ask.PromptParts) > 0 {
		return j.place.Draw()
	}
	request := place.Ask{Model: string(j.ask.ID)}
	return request.Draw()
}

// readBody reads the whole body, or answers why it can't.
func (j *job) readBody() bool {
	limit := int64(j.table.Limits().MaxBody)
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if j.request.ContentLength > limit {
		j.refuse(http.StatusRequestEntityTooLarge, "BodyTooLong")
		return false
	}
	if j.request.ContentLength == 0 {
		return true
	}
	control := http.NewResponseController(j.writer)
	_ = control.SetReadDeadline(j.began.Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(j.writer, j.request.Body, limit))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		j.refuse(http.StatusRequestEntityTooLarge, "BodyTooLong")
		return false
	case err != nil:
		j.writer.Header().Set("Connection", "close")
		j.refuse(http.StatusRequestTimeout, "BodyIncomplete")
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	j.body = body
	return true
}

// run has the request answered.
func (j *job) run(ctx context.Context) {
	j.gate.budget.RecordRequest(j.began, j.name())
	for {
		pick, found := j.gate.field.Choose(j.gate.cfg.Clock.Now(), &j.place)
		if !found {
			j.end(ctx, j.state.Exhausted())
			return
		}
		result := j.try(ctx, pick)
		step := j.state.Next(result, j.mayRepeat)
		if step != carry.Again && step != carry.Resume {
			j.end(ctx, step)
			return
		}
		j.place.Tried = append(j.place.Tried, pick.Target)
	}
}

// mayRepeat charges the budget of repeats.
func (j *job) mayRepeat() bool {
	return j.paid.Swap(false) || j.gate.budget.Spend(j.gate.cfg.Clock.Now(), j.name())
}

// name returns the customer, empty if nobody is known.
func (j *job) name() ident.CustomerName {
	if j.customer == nil {
		return ""
	}
	return j.customer.Name
}

// urgency ranks the request: the customer's rank goes before the route's.
func (j *job) urgency() int {
	if j.customer != nil && j.customer.Ranked {
		return j.customer.Priority
	}
	return j.route.Priority
}
