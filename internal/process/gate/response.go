package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cactusline.dev/cactusline/internal/request/carry"
	"cactusline.dev/cactusline/internal/request/place"
)

// bufferedResponse is a complete response of a target.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// forwardBuffered forwards a response that is not a stream to the caller once it is
// complete. A failure response is kept instead, since a retry may get a better one.
func (e *exchange) forwardBuffered(ctx context.Context, response *http.Response) (carry.Result, place.HealthSignal) {
	var body []byte
	if body, e.err = e.call.readBody(response); e.err == nil {
		e.err = e.checkEnd(ctx)
	}
	if e.err != nil {
		if ctx.Err() != nil {
			return e.contextEnded(ctx)
		}
		countBroken(reasonIncomplete)
		return carry.ResponseLost, place.Failing
	}
	buffered := &bufferedResponse{status: response.StatusCode, header: endToEndHeader(response.Header), body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		e.call.keptFailure = buffered
		return carry.TargetFailed, place.Failing
	}
	if len(e.call.meta.PromptParts) == 0 {
		now := e.call.gate.cfg.Clock.Now()
		e.call.gate.balancer.RecordWork(now, e.choice.Target, now.Sub(e.sentAt))
	}
	e.call.writeResponse(buffered)
	return carry.Completed, place.Healthy
}

// writeResponse writes a complete response to the caller.
func (c *call) writeResponse(response *bufferedResponse) {
	c.writeHead(response.status, response.header, len(response.body))
	if c.request.Method != http.MethodHead {
		_, _ = c.writer.Write(response.body) // fails if the caller has disconnected
	}
}

// setWriteDeadline sets the deadline of the next writes to the caller. The server
// resets it after the request.
func (c *call) setWriteDeadline(now time.Time) {
	// A connection that accepts no deadline is broken, and so the write fails.
	_ = http.NewResponseController(c.writer).SetWriteDeadline(now.Add(c.gate.cfg.WriteTimeout))
}

// writeHead writes the status and header of a response. The length is negative for
// streams.
func (c *call) writeHead(status int, header http.Header, length int) {
	c.setWriteDeadline(c.gate.cfg.Clock.Now())
	callerHeader := c.writer.Header()
	for name, values := range header {
		callerHeader[name] = values
	}
	if header.Get("Content-Type") == "" {
		callerHeader["Content-Type"] = nil // keeps net/http from detecting one
	}
	if length >= 0 {
		callerHeader.Set("Content-Length", strconv.Itoa(length))
	}
	c.writer.WriteHeader(status)
}

// respondError writes an error response of this process itself, with a reason that
// is also logged as the outcome.
func (c *call) respondError(status int, reason string) {
	retryAfter := randomRetryAfter()
	if c.routeTable == nil {
		retryAfter += startupRetryAfter
	}
	c.respondErrorRetryAfter(status, reason, retryAfter)
}

// deny rejects a request that the document does not allow. If a newer document may allow
// it, the caller is told to retry instead.
func (c *call) deny(status int, reason string) {
	if c.gate.mayDeny(c.routeTable) {
		c.respondError(status, reason)
		return
	}
	c.respondErrorRetryAfter(http.StatusServiceUnavailable, reasonUnconfirmed, randomRetryAfter()+startupRetryAfter)
}

const (
	// reasonUnconfirmed is the reason of a rejection by a document that may be out of date.
	reasonUnconfirmed = "DocumentUnconfirmed"
	// reasonStopping is the reason of a rejection, or of an unknown outcome, by a process
	// that stops.
	reasonStopping = "Stopping"
)

// finishQuarantined ends a request that must not run until the given time.
func (c *call) finishQuarantined(ctx context.Context, until time.Time) {
	if action := c.retryState.NextWithoutTarget(); action != carry.Reject {
		c.finish(ctx, action)
		return
	}
	wait := max(0, until.Sub(c.gate.cfg.Clock.Now()))
	c.respondErrorRetryAfter(http.StatusServiceUnavailable, "Quarantined", wait)
}

// respondErrorRetryAfter is respondError with the time after which the caller of a
// rejected request may retry.
func (c *call) respondErrorRetryAfter(status int, reason string, retryAfter time.Duration) {
	header := c.writer.Header()
	if status == http.StatusServiceUnavailable {
		c.gate.cfg.Dialect.SetRetryAfter(header, retryAfter)
	}
	header.Set("Content-Type", "application/json")
	body := fmt.Sprintf("{\"Error\":%q}\n", reason)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(status)
	_, _ = io.WriteString(c.writer, body) // fails if the caller has disconnected
	c.gate.logRequestEnded(c, status, reason)
}

// finish ends a request with the given action. It panics with http.ErrAbortHandler
// to break the caller's connection.
func (c *call) finish(ctx context.Context, action carry.Action) {
	switch action {
	case carry.Finish:
		lastAttempt := c.attempts[len(c.attempts)-1]
		c.gate.logRequestEnded(c, lastAttempt.Status, action.String())
	case carry.ForwardFailure:
		c.writeResponse(c.keptFailure)
		c.gate.logRequestEnded(c, c.keptFailure.status, action.String())
	case carry.Reject:
		c.respondError(http.StatusServiceUnavailable, "NotRun")
	case carry.ReportUnknown:
		c.respondError(http.StatusBadGateway, "Unknown")
	case carry.ReportTimeout:
		reason := "Expired"
		if errors.Is(context.Cause(ctx), errStopping) {
			reason = reasonStopping
		}
		c.respondError(http.StatusGatewayTimeout, reason)
	default: // carry.Abort
		reason := "Broken"
		switch cause := context.Cause(ctx); {
		case errors.Is(cause, errStopping):
			reason = reasonStopping
		case cause != nil && !errors.Is(cause, errDeadlineExceeded):
			reason = "CallerLeft"
		}
		c.gate.logRequestEnded(c, 0, reason)
		panic(http.ErrAbortHandler)
	}
}
