package httpd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Headers of the callers' API.
const (
	// RequestHeader carries the request ID that the fleet assigned.
	RequestHeader = "Cactusline-Request"
	// OutcomeHeader carries the Outcome of a request.
	OutcomeHeader = "Cactusline-Outcome"
	// RetryAfterHeader carries the number of seconds after which to retry.
	RetryAfterHeader = "Retry-After"
	// IdempotencyKeyHeader carries the caller's key of a request that is not
	// repeatable.
	IdempotencyKeyHeader = "Idempotency-Key"
	// NotRepeatableHeader marks a request as not repeatable if its value is
	// true.
	NotRepeatableHeader = "Cactusline-Once"
)

// Outcome states whether a request has run.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeRan means that the request ran.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that the request did not run and will not.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Error is the content of an error response.
type Error struct {
	// Status is the HTTP status code.
	Status int `json:"-"`
	// Code is a short name of the cause, for programs.
	Code string
	// Message describes the error, for people.
	Message string
	// Request is the request ID; WriteError sets it.
	Request ident.RequestID
	// Outcome is the outcome of the request.
	Outcome Outcome
	// RetryAfter is when to retry; 0 means unspecified.
	RetryAfter Delay
}

// Error returns the code and the message.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error *Error
}

// Delay is a duration that is encoded in JSON as text with its unit, such as
// "1.5s", and as empty text if it is zero.
type Delay time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Delay) MarshalText() ([]byte, error) {
	if d == 0 {
		return nil, nil
	}
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Delay) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*d = 0
		return nil
	}
	parsed, err := time.ParseDuration(string(text))
	*d = Delay(parsed)
	return err
}

// seconds returns the delay in whole seconds, rounded up.
func (d Delay) seconds() int64 {
	return int64((time.Duration(d) + time.Second - 1) / time.Second)
}

// WriteError writes an error response. The status defaults to 500 and the
// outcome to OutcomeUnknown. It must be called before anything else is written.
func WriteError(w http.ResponseWriter, r *http.Request, failure Error) {
	if failure.Status == 0 {
		failure.Status = http.StatusInternalServerError
	}
	if failure.Outcome == "" {
		failure.Outcome = OutcomeUnknown
	}
	failure.Request = RequestID(r.Context())
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(OutcomeHeader, string(failure.Outcome))
	if failure.RetryAfter > 0 {
		header.Set(RetryAfterHeader, strconv.FormatInt(failure.RetryAfter.seconds(), 10))
	}
	w.WriteHeader(failure.Status)
	_ = json.NewEncoder(w).Encode(ErrorBody{Error: &failure})
}

// WriteJSON writes a response with body encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

type requestIDKey struct{}

func withRequestID(ctx context.Context, id ident.RequestID) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

// RequestID returns the request ID stored in ctx, or the empty ID if there is
// none.
func RequestID(ctx context.Context) ident.RequestID {
	id, _ := ctx.Value(requestIDKey{}).(ident.RequestID)
	return id
}

const requestIDBytes = 16

func newRandomID() ident.RequestID {
	var data [requestIDBytes]byte
	_, _ = rand.Read(data[:])
	return ident.RequestID(hex.EncodeToString(data[:]))
}
