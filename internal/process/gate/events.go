package gate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"cactusline.dev/cactusline/internal/request/carry"
	"cactusline.dev/cactusline/internal/request/place"
)

const (
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var errCutEvent = errors.New("stream ended within an event")

// relayEvents takes a stream's events to the caller as they come. Only whole
// events go out, so that another target may go on after any of them.
func (e *exchange) relayEvents(ctx context.Context, answer *http.Response) (carry.Result, place.Verdict) {
	j := e.job
	buffer := make([]byte, 0, eventBufferBytes)
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := answer.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if end := eventsEnd(buffer); end > 0 {
			if failure := e.pass(answer, buffer[:end]); failure != nil {
				e.err = failure
				return e.stopped(ctx, failure)
			}
			buffer = append(buffer[:0], buffer[end:]...)
		}
		if err == nil && len(buffer) > maxEventBytes {
			err = fmt.Errorf("event is longer than %d bytes", maxEventBytes)
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(buffer)) > 0 {
			err = errCutEvent
		}
		if errors.Is(err, io.EOF) {
			if !j.started {
				e.startStream(answer)
			}
			return carry.Answered, place.Served
		}
		if err != nil {
			e.err = fmt.Errorf("read events: %w", err)
			return e.brokenStream(ctx)
		}
	}
}

// callerError says that an event did not get to the caller.
type callerError struct {
	err error
}

// Error gives the cause.
func (e *callerError) Error() string { return "write to caller: " + e.err.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.err }

// stopped ends a relay whose events could not be passed on.
func (e *exchange) stopped(ctx context.Context, failure error) (carry.Result, place.Verdict) {
	var caller *callerError
	if errors.As(failure, &caller) {
		return carry.Left, place.Unclear
	}
	return e.brokenStream(ctx)
}

// brokenStream ends a relay whose target broke off.
func (e *exchange) brokenStream(ctx context.Context) (carry.Result, place.Verdict) {
	if ctx.Err() != nil {
		return e.ended(ctx)
	}
	if !e.job.started {
		return carry.Lost, place.Failing
	}
	return carry.Broken, place.Failing
}

// startStream writes the head of the caller's answer.
func (e *exchange) startStream(answer *http.Response) {
	e.job.started = true
	e.job.state.Began()
	e.job.head(answer.StatusCode, endToEnd(answer.Header), -1)
}

// pass writes whole events to the caller, without those that it has.
func (e *exchange) pass(answer *http.Response, events []byte) error {
	j := e.job
	events, err := j.fresh(events)
	if err != nil || len(events) == 0 {
		return err
	}
	if !j.started {
		e.startStream(answer)
	}
	now := j.gate.cfg.Clock.Now()
	j.gate.field.Heard(now, e.pick.Target)
	j.boundWrite(now)
	if _, err := j.writer.Write(events); err != nil {
		return &callerError{err: err}
	}
	if err := http.NewResponseController(j.writer).Flush(); err != nil {
		return &callerError{err: err}
	}
	return nil
}

// gapError says that a target went on after another event than the last one.
type gapError struct {
	last, next uint64
}

// Error gives both events.
func (e *gapError) Error() string {
	return fmt.Sprintf("stream goes on with event %d after event %d", e.next, e.last)
}

// fresh returns the events that follow the last one that the caller has, and
// notes the last of them. Ids that are no numbers are passed as they come.
func (j *job) fresh(events []byte) ([]byte, error) {
	rest := events
	for len(rest) > 0 {
		size := firstEventEnd(rest)
		id := eventID(rest[:size])
		next, isNumber := parseID(id)
		last, known := parseID(j.lastEvent)
		switch {
		case isNumber && known && next <= last:
			// The caller has it already.
			events = append(events[:len(events)-len(rest):len(events)-len(rest)], rest[size:]...)
		case isNumber && known && next > last+1:
			return nil, &gapError{last: last, next: next}
		case id != "":
			j.lastEvent = id
		}
		rest = rest[size:]
	}
	return events, nil
}

func parseID(id string) (uint64, bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil
}

// eventsEnd returns the length of the whole events at the start of data.
func eventsEnd(data []byte) int {
	end := 0
	if at := bytes.LastIndex(data, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(data, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+4)
	}
	return end
}

// firstEventEnd returns the length of the first of some whole events.
func firstEventEnd(events []byte) int {
	end := len(events)
	if at := bytes.Index(events, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.Index(events, []byte("\r\n\r\n")); at >= 0 {
		end = min(end, at+4)
	}
	return end
}

// eventID returns the id of an event, empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
