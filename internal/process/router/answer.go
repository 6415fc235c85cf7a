package router

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cactusline.dev/cactusline/internal/conn/httpd"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/relay"
)

// streamed passes an answer on as it comes. The outcome is only known at the
// end, so it follows as a trailer.
type streamed struct {
	w       http.ResponseWriter
	control *http.ResponseController
	clock   Clock
}

func newStreamed(w http.ResponseWriter, clock Clock) *streamed {
	return &streamed{w: w, control: http.NewResponseController(w), clock: clock}
}

// writeTimeout is how long a caller may take none of an answer.
const writeTimeout = 30 * time.Second

// WriteHead implements relay.AnswerWriter.
func (s *streamed) WriteHead(status int, headers []*wire.Header) {
	copyHeaders(s.w.Header(), headers)
	s.w.Header().Del("Content-Length")
	s.w.Header().Set("Trailer", httpd.OutcomeHeader)
	s.w.WriteHeader(status)
}

// WriteData implements relay.AnswerWriter. A caller that takes nothing for writeTimeout
// counts as gone, so that it does not hold its place at the engine.
func (s *streamed) WriteData(data []byte) error {
	_ = s.control.SetWriteDeadline(s.clock.Now().Add(writeTimeout))
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.control.Flush()
}

// finish ends the answer. One that is cut is ended by an error event and a
// broken connection, so that no caller takes it for whole.
func (s *streamed) finish(result relay.Result) {
	s.w.Header().Set(httpd.OutcomeHeader, string(outcomeOf(result.Outcome)))
	if !result.Truncated {
		return
	}
	event, err := json.Marshal(httpd.ErrorBody{Error: &httpd.Error{
		Code:    codeAnswerCut,
		Message: "the answer ended before it was whole",
		Request: result.Record.Request,
		Outcome: outcomeOf(result.Outcome),
	}})
	if err == nil {
		_, _ = s.w.Write([]byte("data: " + string(event) + "\n\n"))
		_ = s.control.Flush()
	}
	panic(http.ErrAbortHandler)
}

// buffered keeps an answer until it is whole, so that its outcome can head it
// and an idempotent request can run again after a part of it has come.
type buffered struct {
	status  int
	headers []*wire.Header
	body    []byte
}

// WriteHead implements relay.AnswerWriter.
func (b *buffered) WriteHead(status int, headers []*wire.Header) {
	b.status = status
	b.headers = headers
}

// WriteData implements relay.AnswerWriter.
func (b *buffered) WriteData(data []byte) error {
	b.body = append(b.body, data...)
	return nil
}

// Reset implements relay.BufferedWriter.
func (b *buffered) Reset() { *b = buffered{} }

func (b *buffered) finish(w http.ResponseWriter, result relay.Result) {
	copyHeaders(w.Header(), b.headers)
	w.Header().Set(httpd.OutcomeHeader, string(outcomeOf(result.Outcome)))
	w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body)
}

// hopHeaders belong to one connection and are never passed on.
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func copyHeaders(to http.Header, from []*wire.Header) {
	for _, h := range from {
		to.Add(h.GetName(), h.GetValue())
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
}
