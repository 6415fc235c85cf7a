package gate

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cactusline.dev/cactusline/internal/conn/http1"
	"cactusline.dev/cactusline/internal/conn/pool"
	"cactusline.dev/cactusline/internal/request/carry"
	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/version/route"
)

const (
	// firstByteTimeoutFactor is the first byte timeout of a repeatable request, as a
	// multiple of the route's latency objective. After it the request may be retried
	// at another target.
	firstByteTimeoutFactor = 2
	// unreachableAfter is how long a connection must have been attempted for the target
	// to count as unreachable, if the deadline ends the attempt. Connecting takes one
	// round trip, up to 25 ms.
	unreachableAfter = 100 * time.Millisecond
	// firstSilenceCheck is when an attempt without a response first checks whether its
	// target answers no process, and silenceCheckInterval is how often it does so later.
	firstSilenceCheck    = 300 * time.Millisecond
	silenceCheckInterval = 100 * time.Millisecond
	// endCheckTimeout bounds how long a response that ended with its connection is held.
	endCheckTimeout = 200 * time.Millisecond
)

// attemptTarget makes one attempt at a target.
func (c *call) attemptTarget(ctx context.Context, choice place.Choice) carry.Result {
	start := c.gate.cfg.Clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if limit := c.firstByteTimeout(); limit > 0 {
		stop := c.watchFirstByte(choice.Target, limit, cancel)
		defer stop()
		c.stopTimer = stop
	}
	e := &exchange{call: c, choice: choice, startedAt: start}
	result, signal := e.run(ctx)
	now := c.gate.cfg.Clock.Now()
	c.gate.balancer.ReleaseTokens(choice)
	ejected := c.gate.balancer.Finish(now, choice.Target, signal)
	attempt := attemptLog{
		Target: choice.Target.Name, Version: choice.Target.Version, Reason: choice.Reason, Load: choice.Load, Mean: choice.MeanLoad, Fetch: choice.FetchFrom,
		Result: result.String(), Status: e.status, Reused: e.reused, UntilClose: e.untilClose, Took: now.Sub(start).String(),
	}
	if choice.RateLimit.Limited {
		attempt.RateLimit = &choice.RateLimit.Rate
		metrics.GetOrCreateCounter("cactusline_limited_target_attempts_total").Inc()
	}
	if choice.Full {
		attempt.Full = true
		metrics.GetOrCreateCounter("cactusline_full_target_attempts_total").Inc()
	}
	if choice.Slowness != 1 {
		attempt.Slowness = choice.Slowness
	}
	if e.err != nil {
		attempt.Error = e.err.Error()
	}
	c.attempts = append(c.attempts, attempt)
	e.recordOutcome(now, result)
	if ejected {
		c.gate.logTargetEjected(c, attempt)
	}
	return result
}

// firstByteTimeout returns how long an attempt waits for the first byte of a
// response, or 0 if only the deadline applies. Only the first attempt at a
// repeatable request has such a timeout.
func (c *call) firstByteTimeout() time.Duration {
	if !c.route.Repeatable() || c.retryState.MaxRuns < 2 || c.retryState.Attempts() > 0 || c.route.LatencyObjective <= 0 {
		return 0
	}
	return firstByteTimeoutFactor * c.route.LatencyObjective
}

// watchFirstByte cancels an attempt that is to be retried at another target since no
// response has begun: after limit if the target is silent, and sooner if control says that
// it answers no process. The returned function ends that.
func (c *call) watchFirstByte(target *place.Target, limit time.Duration, cancel context.CancelCauseFunc) func() {
	var stopped atomic.Bool
	waited := min(limit, firstSilenceCheck)
	started := make(chan *time.Timer, 1)
	timer := time.AfterFunc(waited, func() {
		timer := <-started
		started <- timer
		last := waited >= limit
		silent := last || c.gate.balancer.IsSilent(c.gate.cfg.Clock.Now(), target)
		switch {
		case stopped.Load():
		case silent && c.prepayRetryIfSilent(target, waited):
			cancel(errTargetSilent)
		case !last:
			next := min(limit-waited, silenceCheckInterval)
			waited += next
			timer.Reset(next)
		}
	})
	started <- timer
	return func() {
		stopped.Store(true)
		timer.Stop()
	}
}

// stopFirstByteTimer stops the timer once a response has begun.
func (c *call) stopFirstByteTimer() {
	if c.stopTimer != nil {
		c.stopTimer()
		c.stopTimer = nil
	}
}

// prepayRetryIfSilent reports whether a request is retried at another target after
// its first byte timeout. That is the case if the target is silent and the retry
// budget allows it; the retry is then already charged. A target that still responds
// to other requests is only busy, and another target may be as busy.
func (c *call) prepayRetryIfSilent(target *place.Target, waited time.Duration) bool {
	now := c.gate.cfg.Clock.Now()
	if !c.gate.balancer.SilentFor(now, target, waited/2) || !c.spendRetry(now) {
		return false
	}
	c.retryPrepaid.Store(true)
	return true
}

// exchange is the use of a connection by one attempt.
type exchange struct {
	call   *call
	choice place.Choice
	// startedAt is when the attempt began.
	startedAt time.Time
	conn      *pool.Conn
	// sentAt is when the request was sent.
	sentAt time.Time
	status int
	reused bool
	// untilClose is set if the response has neither a length nor chunks, and so ends
	// with its connection.
	untilClose bool
	// firstEventAt is when the first event of a stream arrived, and survived is set once
	// the target has gone on for survivalPeriod after it.
	firstEventAt time.Time
	survived     bool
	err          error
}

// run sends the request to the target and forwards the response to the caller.
func (e *exchange) run(ctx context.Context) (carry.Result, place.HealthSignal) {
	use := pool.Use{Unrepeatable: !e.call.route.Repeatable(), Request: e.call.meta.ID}
	if e.conn, e.err = e.call.gate.pool.Get(ctx, e.choice.Target.Address, use); e.err != nil {
		if ctx.Err() != nil {
			return e.contextEnded(ctx)
		}
		return carry.NotSent, e.connectSignal()
	}
	if !e.call.gate.balancer.MaySend(e.call.gate.cfg.Clock.Now(), e.choice.Target) {
		// The target has said so, or its domain was evacuated, while this request waited
		// for its connection.
		e.conn.Discard()
		e.err = errTargetUnwilling
		return carry.NotSent, place.Inconclusive
	}
	if !e.call.gate.balancer.MayFetchFrom(e.call.gate.cfg.Clock.Now(), e.choice.FetchFrom) {
		e.choice.FetchFrom = ""
	}
	e.reused = e.conn.Reused
	stopWatch := e.conn.CloseOnCancel(ctx)
	e.sentAt = e.call.gate.cfg.Clock.Now()
	var sent bool
	if sent, e.err = e.conn.Send(e.targetRequest()); e.err != nil {
		return e.transportFailed(ctx, sent)
	}
	response, err := e.conn.Receive(e.call.request.Method, e.matchesRequest) //nolint:bodyclose // the connection is closed, or the body is read to its end
	if err != nil {
		e.err = err
		return e.transportFailed(ctx, true)
	}
	e.call.stopFirstByteTimer()
	e.call.gate.balancer.RecordActivity(e.call.gate.cfg.Clock.Now(), e.choice.Target)
	e.status = response.StatusCode
	e.recordNotice(response)
	e.recordFraming(response)
	result, signal := e.forwardResponse(ctx, response)
	if !stopWatch() || e.err != nil {
		e.conn.Discard()
		return result, signal
	}
	e.conn.Release(response)
	return result, signal
}

// recordFraming records whether the end of the response is that of its connection.
func (e *exchange) recordFraming(response *http.Response) {
	if !pool.EndsWithConnection(response) {
		return
	}
	e.untilClose = true
	e.call.untilClose = true
	metrics.GetOrCreateCounter("cactusline_responses_until_close_total").Inc()
}

// checkEnd returns nil if a response that was read to its end is complete. One that
// ended with its connection may have been cut off by a crash of the target, and so is
// not taken for complete if the target refuses another connection. A connection that
// times out shows nothing: the VM of the target had just closed the last one.
func (e *exchange) checkEnd(ctx context.Context) error {
	if !e.untilClose {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	err := e.call.gate.pool.Probe(ctx, e.choice.Target.Address)
	if isRefused(err) {
		return fmt.Errorf("response ended with its connection: %w", err)
	}
	return nil
}

// matchesRequest reports whether a response is to this request.
func (e *exchange) matchesRequest(header http.Header) bool {
	return e.call.gate.cfg.Dialect.ParseResponse(header).RequestID == e.call.meta.ID
}

// targetRequest returns the request that is sent to the target.
func (e *exchange) targetRequest() *pool.Request {
	c := e.call
	meta := ForwardMeta{
		Timeout:     c.deadline.Sub(c.gate.cfg.Clock.Now()),
		Target:      e.choice.Target.Name,
		Customer:    c.customerName(),
		Priority:    -1,
		FetchFrom:   e.choice.FetchFrom,
		LastEventID: c.lastEventID,
	}
	if len(c.meta.PromptParts) > 0 {
		meta.Priority = c.priority()
	}
	uri := c.request.RequestURI
	if uri == "" || uri[0] != '/' {
		uri = c.request.URL.RequestURI()
	}
	return &pool.Request{
		Method: c.request.Method, URI: uri, Host: c.request.Host,
		Header: c.gate.cfg.Dialect.ForwardHeader(endToEndHeader(c.request.Header), meta),
		Body:   c.body,
	}
}

// transportFailed returns the result of an exchange that got no response. If sent
// is false, the target cannot have received the request.
func (e *exchange) transportFailed(ctx context.Context, sent bool) (carry.Result, place.HealthSignal) {
	e.conn.Discard()
	if ctx.Err() != nil {
		return e.contextEnded(ctx)
	}
	signal := place.Unreachable
	switch {
	case http1.IsMalformed(e.err):
		countBroken(reasonMalformed)
	case e.reused:
		// The target may just have closed an idle connection.
		signal = place.Inconclusive
	}
	if !sent {
		return carry.NotSent, signal
	}
	return carry.ResponseLost, signal
}

// Reasons why a response is broken.
const (
	reasonMalformed  = "Malformed"
	reasonIncomplete = "Incomplete"
)

// countBroken counts a response of a target that is malformed or incomplete.
func countBroken(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_broken_responses_total{reason=%q}", reason)).Inc()
}

// contextEnded returns the result of an exchange whose context has ended.
func (e *exchange) contextEnded(ctx context.Context) (carry.Result, place.HealthSignal) {
	e.err = context.Cause(ctx)
	switch {
	case errors.Is(e.err, errTargetSilent):
		return carry.ResponseLost, place.Unreachable
	case errors.Is(e.err, errDeadlineExceeded), errors.Is(e.err, errStopping):
		// Without a connection the request was not sent, so the caller can be told
		// that it was not run.
		if e.conn == nil {
			return carry.NotSent, e.connectSignal()
		}
		return carry.DeadlineExceeded, place.Inconclusive
	}
	return carry.CallerGone, place.Inconclusive
}

// connectSignal returns what a failure to connect shows of the target. A timeout shows
// nothing if the deadline left too little time.
func (e *exchange) connectSignal() place.HealthSignal {
	if errors.Is(e.err, errStopping) {
		return place.Inconclusive
	}
	var netErr net.Error
	timedOut := errors.Is(e.err, errDeadlineExceeded) || errors.As(e.err, &netErr) && netErr.Timeout()
	if timedOut && e.call.gate.cfg.Clock.Now().Sub(e.startedAt) < unreachableAfter {
		return place.Inconclusive
	}
	return place.Unreachable
}

// forwardResponse forwards a response to the caller, unless the target says that it
// did not run the request, or the caller has a part of a stream that the response does
// not continue.
func (e *exchange) forwardResponse(ctx context.Context, response *http.Response) (carry.Result, place.HealthSignal) {
	if e.call.gate.cfg.Dialect.ParseResponse(response.Header).NotRun {
		return e.discardRejection(ctx, response)
	}
	if e.call.route.Kind == route.Stream && response.StatusCode == http.StatusOK {
		return e.relayEvents(ctx, response)
	}
	if e.call.streamStarted {
		e.err = fmt.Errorf("target answered a resumed stream with status %d", response.StatusCode)
		if response.StatusCode < http.StatusInternalServerError {
			return carry.TargetFailed, place.Inconclusive
		}
		return carry.TargetFailed, place.Failing
	}
	return e.forwardBuffered(ctx, response)
}

// discardRejection reads the rest of a response that says that the request has not run. One
// that breaks off says nothing.
func (e *exchange) discardRejection(ctx context.Context, response *http.Response) (carry.Result, place.HealthSignal) {
	e.err = drainBody(response)
	switch {
	case e.err != nil && !errors.Is(e.err, errResponseTooLong) && ctx.Err() == nil:
		countBroken(reasonIncomplete)
		return carry.ResponseLost, place.Failing
	case e.err == nil && response.StatusCode == http.StatusMisdirectedRequest:
		return carry.Refused, place.Unreachable
	}
	return carry.Refused, place.Inconclusive
}
