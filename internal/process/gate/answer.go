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

// maxHeldBytes bounds an answer that is read whole before the caller gets any
// of it.
const maxHeldBytes = 8 << 20

// heldAnswer is a whole answer of a target.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

var errTooLong = fmt.Errorf("answer is longer than %d bytes", maxHeldBytes)

// readWhole reads an answer's body.
func readWhole(answer *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxHeldBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read answer's body: %w", err)
	}
	if len(body) > maxHeldBytes {
		return nil, errTooLong
	}
	return body, nil
}

// takePlain takes an answer that is no stream to the caller, once it is whole.
func (e *exchange) takePlain(ctx context.Context, answer *http.Response) (carry.Result, place.Verdict) {
	var body []byte
	if body, e.err = readWhole(answer); e.err != nil {
		if ctx.Err() != nil {
			return e.ended(ctx)
		}
		return carry.Lost, place.Failing
	}
	held := &heldAnswer{status: answer.StatusCode, header: endToEnd(answer.Header), body: body}
	if answer.StatusCode >= http.StatusInternalServerError {
		e.job.failure = held
		return carry.Failed, place.Failing
	}
	e.job.write(held)
	return carry.Answered, place.Served
}

// write gives the caller a whole answer.
func (j *job) write(answer *heldAnswer) {
	j.head(answer.status, answer.header, len(answer.body))
	if j.request.Method != http.MethodHead {
		_, _ = j.writer.Write(answer.body) // the caller may have gone
	}
}

// boundWrite gives the next writes to the caller their time. The server takes the
// bound away after the request.
func (j *job) boundWrite(now time.Time) {
	// A connection that takes no deadline is broken, which the write shows.
	_ = http.NewResponseController(j.writer).SetWriteDeadline(now.Add(j.gate.cfg.WriteTimeout))
}

// head writes an answer's head; length is below 0 for streams.
func (j *job) head(status int, header http.Header, length int) {
	j.boundWrite(j.gate.cfg.Clock.Now())
	out := j.writer.Header()
	for name, values := range header {
		out[name] = values
	}
	if header.Get("Content-Type") == "" {
		out["Content-Type"] = nil // keeps the server from guessing one
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	j.writer.WriteHeader(status)
}

// refuse answers by this process itself.
func (j *job) refuse(status int, reason string) {
	header := j.writer.Header()
	if status == http.StatusServiceUnavailable {
		wait := comeBack()
		if j.table == nil {
			wait += startTime
		}
		j.gate.cfg.Dialect.SetRetryAfter(header, wait)
	}
	header.Set("Content-Type", "application/json")
	body := fmt.Sprintf("{\"Error\":%q}\n", reason)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	j.writer.WriteHeader(status)
	_, _ = io.WriteString(j.writer, body) // the caller may have gone
	j.gate.logEnd(j, status, reason)
}

// end carries out the last step of a request.
func (j *job) end(ctx context.Context, step carry.Step) {
	switch step {
	case carry.Finish:
		j.gate.logEnd(j, http.StatusOK, step.String())
	case carry.Pass:
		j.write(j.failure)
		j.gate.logEnd(j, j.failure.status, step.String())
	case carry.Refuse:
		j.refuse(http.StatusServiceUnavailable, "NotRun")
	case carry.Unknown:
		j.refuse(http.StatusBadGateway, "Unknown")
	case carry.Expire:
		j.refuse(http.StatusGatewayTimeout, "Expired")
	default:
		reason := "Broken"
		if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errLate) {
			reason = "CallerLeft"
		}
		j.gate.logEnd(j, 0, reason)
		panic(http.ErrAbortHandler)
	}
}
