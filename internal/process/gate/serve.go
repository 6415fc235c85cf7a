package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/request/carry"
	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/request/room"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/route"
)

const (
	// defaultTimeout applies to requests that state no timeout.
	defaultTimeout = 30 * time.Second
	// bodyTimeout bounds the time to read the body of a request.
	bodyTimeout = 10 * time.Second
	// defaultMaxBodyBytes applies if the document does not limit bodies.
	defaultMaxBodyBytes = 8 << 20
)

// Causes for the end of a request's context, apart from the caller's disconnect.
var (
	errDeadlineExceeded = errors.New("request deadline exceeded")
	errTargetSilent     = errors.New("target sent nothing in time")
	errTargetUnwilling  = errors.New("target leaves, pauses or is evacuated")
)

// ServeHTTP handles one request of a caller.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gate: g, writer: w, request: r, startedAt: g.cfg.Clock.Now(), meta: g.cfg.Dialect.ParseRequest(r.Header)}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c.account = guard.FromContext(r.Context())
	defer c.account.EndRequest()
	if !c.admit() || !c.readRequestBody() {
		return
	}
	if g.isLate(c.deadline) {
		c.respondError(http.StatusServiceUnavailable, reasonStopping)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.deadline, errDeadlineExceeded)
	defer cancel()
	c.run(ctx)
}

// call is a caller's request that is being handled.
type call struct {
	gate      *Gate
	writer    http.ResponseWriter
	request   *http.Request
	startedAt time.Time
	// deadline is the earlier one of the caller's and the route's.
	deadline   time.Time
	meta       RequestMeta
	routeTable *route.Table
	route      *route.Route
	customer   *route.Customer
	body       guard.Body
	retryState carry.RetryState
	placement  place.Request
	// keptFailure is a target's failure response, which is forwarded if no retry
	// gets a better one.
	keptFailure *bufferedResponse
	// lastEventID is the ID of the last event that the caller has.
	lastEventID string
	// streamStarted is set once the caller has the head of a stream.
	streamStarted bool
	// stopTimer stops the first byte timer of the current attempt.
	stopTimer func()
	// retryPrepaid is set if the budget was already charged for the next retry.
	retryPrepaid atomic.Bool
	attempts     []attemptLog
	// responseLost is set once an attempt ended without a complete response.
	responseLost bool
	// untilClose is set once a response ended with its connection.
	untilClose bool
	// onTrial is set once a trial of the request has begun, after its quarantine.
	onTrial bool
	// cachedFingerprint is 0 until fingerprint is called.
	cachedFingerprint ident.Fingerprint
	// partFingerprints is nil until sharedParts or subjects is called.
	partFingerprints []ident.Fingerprint
	// originSource is how the origin of a stream that the request takes up is known.
	originSource string
	// quarantinedBy is what the request was rejected for, 0 if it was not.
	quarantinedBy ident.Fingerprint
	// account is charged what the request and its response hold, nil if nothing is.
	account *guard.Conn
	// decision says whether there was room for the request.
	decision room.Decision
	// forecast is what was predicted for the decision.
	forecast place.Forecast
}

// attemptLog is one attempt as it is logged, under the names of its fields.
type attemptLog struct {
	Target  ident.TargetName
	Version ident.SoftwareVersion `json:",omitempty"`
	Reason  place.Reason
	Load    int
	Mean    float64
	Fetch   string `json:",omitempty"`
	Result  string
	Status  int  `json:",omitempty"`
	Reused  bool `json:",omitempty"`
	// UntilClose is set if the response ended with its connection.
	UntilClose bool `json:",omitempty"`
	// RateLimit is the rate that the target accepted from all callers, if it was limited.
	RateLimit *ident.Rate `json:",omitempty"`
	// Full is set if no target could hold the tokens of the request beside those in flight.
	Full bool `json:",omitempty"`
	// Slowness is how long work was expected to take, as a multiple of the usual time.
	Slowness float64 `json:",omitempty"`
	Took     string  `json:",omitempty"`
	Error    string  `json:",omitempty"`
}

// admit finds the route, customer and service of the request, checks that it has an
// ID, and sets its deadline, placement and retry state. If the request cannot be
// admitted, it writes an error response and returns false.
func (c *call) admit() bool {
	c.routeTable = c.gate.awaitStartup(c.request.Context(), c.meta.Timeout)
	if c.routeTable == nil {
		c.respondError(http.StatusServiceUnavailable, "NoDocument")
		return false
	}
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = c.request.URL.EscapedPath()
	}
	if c.route = c.routeTable.Find(c.request.Host, path); c.route == nil {
		c.deny(http.StatusNotFound, "NoRoute")
		return false
	}
	c.customer = c.routeTable.CustomerByKey(c.meta.APIKey)
	if c.customer == nil && c.routeTable.RequiresKey() && !c.route.Public {
		c.deny(http.StatusUnauthorized, "NoCustomer")
		return false
	}
	if c.meta.ID == "" {
		c.respondError(http.StatusBadRequest, "NoRequestID")
		return false
	}
	timeout := c.meta.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.startedAt.Add(min(timeout, c.route.Timeout))
	c.lastEventID = c.meta.LastEventID
	c.placement = place.Request{Parts: c.meta.PromptParts, Model: c.meta.Model, Urgent: c.priority() == 0}
	c.setHomeRegions()
	c.setService(c.route.ChooseService(c.splitFraction()))
	c.retryState = carry.RetryState{
		Repeatable:  c.route.Repeatable(),
		RetryFailed: true,
		MaxRuns:     max(1, c.route.Attempts),
	}
	return true
}

// setService sets the service that serves the request, and what its targets can hold.
func (c *call) setService(name ident.ServiceName) {
	c.placement.Service = name
	c.placement.Tokens = place.Tokens{
		Prompt: c.meta.PromptTokens, Output: c.meta.OutputTokens, Parts: c.meta.PartTokens, Capacity: c.routeTable.TokenCapacity(name),
	}
}

// splitFraction returns a number in [0, 1) that selects one of the services among
// which a route is split. Requests that share a prompt prefix get the same number.
func (c *call) splitFraction() float64 {
	if len(c.meta.PromptParts) > 0 {
		return c.placement.PrefixFraction()
	}
	// Without a prompt, the request ID is hashed in place of the model.
	byID := place.Request{Model: string(c.meta.ID)}
	return byID.PrefixFraction()
}

// readRequestBody reads the whole body of the request. If it cannot, it writes an
// error response and returns false.
func (c *call) readRequestBody() bool {
	limit := int64(c.routeTable.Limits().MaxBody)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.request.ContentLength > limit {
		c.respondError(http.StatusRequestEntityTooLarge, "BodyTooLong")
		return false
	}
	if c.request.ContentLength == 0 {
		return c.bodyRead(c.account.BeginRun())
	}
	controller := http.NewResponseController(c.writer)
	_ = controller.SetReadDeadline(c.startedAt.Add(bodyTimeout))
	var err error
	c.body, err = c.account.ReadBody(http.MaxBytesReader(c.writer, c.request.Body, limit), c.request.ContentLength)
	if !c.bodyRead(err) {
		return false
	}
	_ = controller.SetReadDeadline(time.Time{})
	// Trailers are not forwarded, and the parsed fields take more memory than is charged.
	c.request.Trailer = nil
	return true
}

// bodyRead returns true if the body was read without an error. Otherwise it writes an
// error response and returns false: the request has not run.
func (c *call) bodyRead(err error) bool {
	var tooLong *http.MaxBytesError
	var network net.Error
	if err == nil {
		return true
	}
	c.body = nil
	c.writer.Header().Set("Connection", "close")
	switch {
	case errors.As(err, &tooLong):
		c.respondError(http.StatusRequestEntityTooLarge, "BodyTooLong")
	case errors.Is(err, guard.ErrFull):
		c.respondError(http.StatusServiceUnavailable, "MemoryFull")
	case errors.Is(err, guard.ErrGaveWay), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		c.respondError(http.StatusRequestTimeout, "BodyIncomplete")
	default:
		c.respondError(http.StatusBadRequest, "BodyMalformed")
	}
	return false
}

// run makes attempts at targets until one action ends the request.
func (c *call) run(ctx context.Context) {
	c.gate.budget.Service(c.placement.Service).RecordRequest(c.startedAt, c.customerName())
	if c.isSuspect() {
		// Its caller may send it again; this process does not.
		c.retryState.MaxRuns = 1
	}
	if c.takesUpStream() && !c.findOrigin(ctx) {
		c.finishUnknownOrigin()
		return
	}
	for {
		if next, ok := c.mayRun(ctx, c.gate.cfg.Clock.Now()); !ok {
			c.finishQuarantined(ctx, next)
			return
		}
		if decision := c.decideRoom(); !decision.Admitted {
			c.finishWithoutRoom(decision)
			return
		}
		if retryAfter, ok := c.acquirePermit(ctx); !ok {
			c.finishRateLimited(ctx, retryAfter)
			return
		}
		choice, found := c.gate.balancer.Choose(c.gate.cfg.Clock.Now(), &c.placement)
		if !found {
			c.finishWithoutTarget(ctx)
			return
		}
		result := c.attemptTarget(ctx, choice)
		action := c.retryState.Next(result, c.allowRetry)
		if action != carry.Retry && action != carry.Resume {
			c.finish(ctx, action)
			return
		}
		c.placement.Tried = append(c.placement.Tried, choice.Target)
	}
}

// allowRetry charges the retry budget, unless the retry is already paid for, and
// reports whether the request may be retried.
func (c *call) allowRetry() bool {
	return c.retryPrepaid.Swap(false) || c.spendRetry(c.gate.cfg.Clock.Now())
}

// spendRetry charges the retry budget and counts whether it allows a retry.
func (c *call) spendRetry(now time.Time) bool {
	granted := c.gate.budget.Service(c.placement.Service).Spend(now, c.customerName())
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_retries_total{granted=%q}", strconv.FormatBool(granted))).Inc()
	return granted
}

// customerName returns the name of the customer, empty if unknown.
func (c *call) customerName() ident.CustomerName {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}

// priority returns the priority of the request. The customer's overrides the
// route's.
func (c *call) priority() int {
	if c.customer != nil && c.customer.HasPriority {
		return c.customer.Priority
	}
	return c.route.Priority
}
