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
	// RequestHeader carries the id that the fleet gave to the request.
	RequestHeader = "Cactusline-Request"
	// OutcomeHeader carries the Outcome of a request.
	OutcomeHeader = "Cactusline-Outcome"
	// RetryAfterHeader carries the whole seconds after which to come back.
	RetryAfterHeader = "Retry-After"
	// IdempotencyKeyHeader carries the caller's key of a request that is not repeatable.
	IdempotencyKeyHeader = "Idempotency-Key"
	// NotRepeatableHeader marks a request as not repeatable, with the value true.
	NotRepeatableHeader = "Cactusline-Once"
)

// Outcome is what is known of a request that has ended.
type Outcome string

// Outcomes.
const (
	// OutcomeRan says that the request ran.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun says that it did not run and will not.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown says that it may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Error is an answer that reports a failure.
type Error struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Code is a short name of the cause, for programs.
	Code string
	// Message says what is wrong, for people.
	Message string
	// Request is the id of the request; WriteError fills it in.
	Request ident.RequestID
	// Outcome of the request.
	Outcome Outcome
	// RetryAfter is when to come back; zero says nothing.
	RetryAfter Delay
}

// Error returns the code and the message.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// ErrorBody is the JSON of an answer that reports a failure.
type ErrorBody struct {
	Error *Error
}

// Delay is a duration that stands in JSON as text with its unit, such as
// "1.5s", and as empty text if it is zero.
type Delay time.Duration

// MarshalText returns the delay with its unit.
func (d Delay) MarshalText() ([]byte, error) {
	if d == 0 {
		return nil, nil
	}
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a delay with its unit.
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

// WriteError answers a request with a failure. An empty status is 500, an
// empty outcome unknown. Call it before anything else is written.
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

// WriteJSON answers a request with body as JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

type idKey struct{}

func withID(ctx context.Context, id ident.RequestID) context.Context {
	return context.WithValue(ctx, idKey{}, id)
}

// RequestID returns the id of the request whose context ctx is, or empty.
func RequestID(ctx context.Context) ident.RequestID {
	id, _ := ctx.Value(idKey{}).(ident.RequestID)
	return id
}

const idBytes = 16

func randomID() ident.RequestID {
	var data [idBytes]byte
	_, _ = rand.Read(data[:])
	return ident.RequestID(hex.EncodeToString(data[:]))
}
