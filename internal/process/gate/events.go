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
	maxEventBytes    = 1 << 20
)

var errTruncatedEvent = errors.New("stream ended within an event")

// relayEvents forwards the events of a stream to the caller as they arrive. It
// forwards only complete events, so that another target can resume the stream after
// any of them.
func (e *exchange) relayEvents(ctx context.Context, response *http.Response) (carry.Result, place.HealthSignal) {
	c := e.call
	buffer, err := c.growBuffer(nil, eventBufferBytes)
	for {
		if err == nil && len(buffer) == cap(buffer) {
			buffer, err = c.growBuffer(buffer, 2*cap(buffer))
		}
		if err != nil {
			e.err = err
			return e.streamFailed(ctx)
		}
		var n int
		n, err = response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if length := completeEventsLen(buffer); length > 0 {
			e.recordProgress(c.gate.cfg.Clock.Now())
			if err := e.forwardEvents(response, buffer[:length]); err != nil {
				e.err = err
				return e.forwardingFailed(ctx, err)
			}
			buffer = append(buffer[:0], buffer[length:]...)
		}
		if err == nil && len(buffer) > maxEventBytes {
			err = fmt.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(buffer)) > 0 {
			err = errTruncatedEvent
		}
		if errors.Is(err, io.EOF) {
			if err := e.checkEnd(ctx); err != nil {
				e.err = err
				return e.streamFailed(ctx)
			}
			if !c.streamStarted {
				e.startStream(response)
			}
			return carry.Completed, place.Healthy
		}
		if err != nil {
			e.err = fmt.Errorf("read events: %w", err)
			return e.streamFailed(ctx)
		}
	}
}

// callerWriteError is a failure to write an event to the caller.
type callerWriteError struct {
	err error
}

// Error implements error.
func (e *callerWriteError) Error() string { return "write to caller: " + e.err.Error() }

// Unwrap returns the cause.
func (e *callerWriteError) Unwrap() error { return e.err }

// forwardingFailed returns the result of a stream whose events could not be
// forwarded.
func (e *exchange) forwardingFailed(ctx context.Context, err error) (carry.Result, place.HealthSignal) {
	var writeErr *callerWriteError
	if errors.As(err, &writeErr) {
		return carry.CallerGone, place.Inconclusive
	}
	return e.streamFailed(ctx)
}

// streamFailed returns the result of a stream that ended early or is invalid.
func (e *exchange) streamFailed(ctx context.Context) (carry.Result, place.HealthSignal) {
	if ctx.Err() != nil {
		return e.contextEnded(ctx)
	}
	countBroken(reasonIncomplete)
	if !e.call.streamStarted {
		return carry.ResponseLost, place.Failing
	}
	return carry.Truncated, place.Failing
}

// startStream writes the head of the response to the caller.
func (e *exchange) startStream(response *http.Response) {
	e.call.streamStarted = true
	e.call.retryState.MarkStarted()
	e.call.pinOrigin(e.choice.Target)
	e.call.writeHead(response.StatusCode, endToEndHeader(response.Header), -1)
}

// forwardEvents writes complete events to the caller, except those that it already
// has.
func (e *exchange) forwardEvents(response *http.Response, events []byte) error {
	c := e.call
	events, err := c.dropSeenEvents(events)
	if err != nil || len(events) == 0 {
		return err
	}
	if !c.streamStarted {
		e.startStream(response)
	}
	now := c.gate.cfg.Clock.Now()
	c.gate.balancer.RecordActivity(now, e.choice.Target)
	c.setWriteDeadline(now)
	if _, err := c.writer.Write(events); err != nil {
		return &callerWriteError{err: err}
	}
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		return &callerWriteError{err: err}
	}
	return nil
}

// eventGapError is returned if a target resumes a stream later than after the last
// event that the caller has.
type eventGapError struct {
	last, next uint64
}

// Error implements error.
func (e *eventGapError) Error() string {
	return fmt.Sprintf("stream continues with event %d after event %d", e.next, e.last)
}

// dropSeenEvents returns the events after the last one that the caller has and
// updates lastEventID. Events whose IDs are not numbers are never dropped.
func (c *call) dropSeenEvents(events []byte) ([]byte, error) {
	remaining := events
	for len(remaining) > 0 {
		size := firstEventLen(remaining)
		id := eventID(remaining[:size])
		next, isNumber := parseEventID(id)
		last, known := parseEventID(c.lastEventID)
		switch {
		case isNumber && known && next <= last:
			// The caller already has this event. The full slice expression makes
			// append copy, since remaining still refers to the old array.
			events = append(events[:len(events)-len(remaining):len(events)-len(remaining)], remaining[size:]...)
		case isNumber && known && next > last+1:
			return nil, &eventGapError{last: last, next: next}
		case id != "":
			c.lastEventID = id
		}
		remaining = remaining[size:]
	}
	return events, nil
}

func parseEventID(id string) (uint64, bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil
}

// completeEventsLen returns the length of the complete events at the start of data.
func completeEventsLen(data []byte) int {
	length := 0
	if at := bytes.LastIndex(data, []byte("\n\n")); at >= 0 {
		length = at + 2
	}
	if at := bytes.LastIndex(data, []byte("\r\n\r\n")); at >= 0 {
		length = max(length, at+4)
	}
	return length
}

// firstEventLen returns the length of the first of some complete events.
func firstEventLen(events []byte) int {
	length := len(events)
	if at := bytes.Index(events, []byte("\n\n")); at >= 0 {
		length = at + 2
	}
	if at := bytes.Index(events, []byte("\r\n\r\n")); at >= 0 {
		length = min(length, at+4)
	}
	return length
}

// eventID returns the ID of an event, empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
