package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/limit"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Codes of errors that callers tell apart.
const (
	codeUnauthorized   = "Unauthorized"
	codeInvalid        = "InvalidRequest"
	codeTooLarge       = "BodyTooLarge"
	codeNoModel        = "UnknownModel"
	codeNoService      = "UnknownService"
	codeOverloaded     = "Overloaded"
	codeOutcomeUnknown = "OutcomeUnknown"
	codeKeyConflict    = "IdempotencyKeyConflict"
	codeQuarantined    = "Quarantined"
	codeNotReady       = "NotReady"
	codeLimited        = "LimitReached"
)

// errorBody is the JSON of every error answer.
type errorBody struct {
	Error errorDetail
}

type errorDetail struct {
	Code    string
	Message string
	Request ident.RequestID `json:",omitempty"`
	Outcome string          `json:",omitempty"`
	// RetryAfter is in seconds; zero means that coming back does not help.
	RetryAfter float64 `json:",omitempty"`
}

// callerError ends a request with an error answer.
type callerError struct {
	status     int
	code       string
	message    string
	outcome    wire.Outcome
	retryAfter time.Duration
}

// Error implements error.
func (e *callerError) Error() string { return fmt.Sprintf("%s: %s", e.code, e.message) }

// refusal returns an error for a request that was not run.
func refusal(status int, code, message string) *callerError {
	return &callerError{status: status, code: code, message: message, outcome: wire.Outcome_OUTCOME_NOT_RUN}
}

// write answers the caller with the error.
func (e *callerError) write(w http.ResponseWriter, request ident.RequestID) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, outcomeName(e.outcome))
	if e.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	w.WriteHeader(e.status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: errorDetail{
		Code:       e.code,
		Message:    e.message,
		Request:    request,
		Outcome:    outcomeName(e.outcome),
		RetryAfter: e.retryAfter.Seconds(),
	}})
}

// limited counts a request in, or returns why the customer's limits don't
// allow it.
func (r *Router) limited(c *call) *callerError {
	share := 1 / float64(max(1, r.routers.Load()))
	tokens := ident.Tokens(c.submit.GetPromptTokens()) + ident.Tokens(c.submit.GetOutputTokens())
	err := r.limits.Begin(c.query.Now, c.customer, share, tokens)
	var exceeded *limit.ExceededError
	if !errors.As(err, &exceeded) {
		return nil
	}
	failed := refusal(http.StatusTooManyRequests, codeLimited, exceeded.Error())
	failed.retryAfter = exceeded.RetryAfter
	return failed
}
