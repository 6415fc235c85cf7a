package router

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"cactusline.dev/cactusline/internal/conn/httpd"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/relay"
)

// streamWriter forwards an answer to the caller as it arrives. The outcome is known
// only at the end, so it is sent as a trailer.
type streamWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	clock      Clock
}

func newStreamWriter(w http.ResponseWriter, clock Clock) *streamWriter {
	return &streamWriter{w: w, controller: http.NewResponseController(w), clock: clock}
}

// writeTimeout is how long a write to the caller may block.
const writeTimeout = 30 * time.Second

// WriteHead implements relay.AnswerWriter.
func (s *streamWriter) WriteHead(status int, headers []*wire.Header) {
	copyHeaders(s.w.Header(), headers)
	s.w.Header().Del("Content-Length")
	s.w.Header().Set("Trailer", httpd.OutcomeHeader)
	s.w.WriteHeader(status)
}

// WriteData implements relay.AnswerWriter. It fails if the caller reads nothing for
// writeTimeout, so that a stalled caller does not hold its slot at the engine.
func (s *streamWriter) WriteData(data []byte) error {
	_ = s.controller.SetWriteDeadline(s.clock.Now().Add(writeTimeout))
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.controller.Flush()
}

// finish ends the answer. A truncated answer ends with an error event and an aborted
// connection, so that the caller can't mistake it for a complete one.
func (s *streamWriter) finish(result relay.Result) {
	s.w.Header().Set(httpd.OutcomeHeader, string(httpOutcome(result.Outcome)))
	if !result.Truncated {
		return
	}
	event, err := json.Marshal(httpd.ErrorBody{Error: &httpd.Error{
		Code:    codeAnswerCut,
		Message: "the answer was cut off before it was complete",
		Request: result.Record.Request,
		Outcome: httpOutcome(result.Outcome),
	}})
	if err == nil {
		_, _ = s.w.Write([]byte("data: " + string(event) + "\n\n"))
		_ = s.controller.Flush()
	}
	panic(http.ErrAbortHandler)
}

// bufferedWriter holds an answer until it is complete, so that the outcome can be
// sent as a header and an idempotent request can be retried after part of its
// answer has arrived.
type bufferedWriter struct {
	status  int
	headers []*wire.Header
	body    []byte
	// cancel ends the context of the request once the answer is too long.
	cancel  context.CancelFunc
	tooLong bool
}

// maxBufferedAnswerBytes limits an answer that is held until it is complete. A target
// in trouble may send one without end.
const maxBufferedAnswerBytes = 8 << 20

var errAnswerTooLong = fmt.Errorf("answer exceeds %d bytes", maxBufferedAnswerBytes)

// WriteHead implements relay.AnswerWriter.
func (b *bufferedWriter) WriteHead(status int, headers []*wire.Header) {
	b.status = status
	b.headers = headers
}

// WriteData implements relay.AnswerWriter. It fails once the answer is too long.
func (b *bufferedWriter) WriteData(data []byte) error {
	if b.tooLong || len(b.body)+len(data) > maxBufferedAnswerBytes {
		b.tooLong = true
		b.body = nil
		b.cancel()
		return errAnswerTooLong
	}
	b.body = append(b.body, data...)
	return nil
}

// Reset implements relay.BufferedWriter.
func (b *bufferedWriter) Reset() { *b = bufferedWriter{cancel: b.cancel, tooLong: b.tooLong} }

// finish writes the complete answer to the caller.
func (b *bufferedWriter) finish(w http.ResponseWriter, result relay.Result) {
	copyHeaders(w.Header(), b.headers)
	w.Header().Set(httpd.OutcomeHeader, string(httpOutcome(result.Outcome)))
	w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body)
}

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeaders adds src to dst and removes hop-by-hop headers from dst.
func copyHeaders(dst http.Header, src []*wire.Header) {
	for _, h := range src {
		dst.Add(h.GetName(), h.GetValue())
	}
	for _, name := range hopByHopHeaders {
		dst.Del(name)
	}
}
