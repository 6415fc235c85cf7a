package router

import (
	"errors"
	"net/http"

	"cactusline.dev/cactusline/internal/conn/httpd"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/limit"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Error codes in answers to callers.
const (
	codeUnauthorized   = "Unauthorized"
	codeInvalidRequest = "InvalidRequest"
	codeBodyTooLarge   = "BodyTooLarge"
	codeUnknownModel   = "UnknownModel"
	codeUnknownService = "UnknownService"
	codeOverloaded     = "Overloaded"
	codeOutcomeUnknown = "OutcomeUnknown"
	codeKeyConflict    = "IdempotencyKeyConflict"
	codeQuarantined    = "Quarantined"
	codeNotReady       = "NotReady"
	codeLimitReached   = "LimitReached"
	codeTimeout        = "Timeout"
	codeAnswerCut      = "AnswerCut"
	codeAnswerNotKept  = "AnswerNotKept"
)

// notRunError returns an error for a request that was rejected without running.
func notRunError(status int, code, message string) *httpd.Error {
	return &httpd.Error{Status: status, Code: code, Message: message, Outcome: httpd.OutcomeNotRun}
}

// deny returns the error for a request that the records do not allow. Without a lease,
// newer records may allow it, so that the caller is told to retry instead.
func (r *Router) deny(status int, code, message string) *httpd.Error {
	if r.cfg.Follower.HasLease() {
		return notRunError(status, code, message)
	}
	apiErr := notRunError(http.StatusServiceUnavailable, codeNotReady, "the records may be out of date")
	apiErr.RetryAfter = httpd.Delay(startupRetryAfter)
	return apiErr
}

// quarantineError returns the error for a request that was quarantined because it
// crashes targets. Retrying does not help.
func quarantineError() *httpd.Error {
	return notRunError(http.StatusForbidden, codeQuarantined, "this request has crashed the targets that ran it")
}

// rejectBeforeClaim rejects a request before its idempotency key was claimed. An earlier
// request under the same idempotency key may have run, so for a service call with a
// key the outcome is unknown.
func rejectBeforeClaim(w http.ResponseWriter, req *http.Request, apiErr *httpd.Error) {
	if req.PathValue("service") != "" && req.Header.Get(httpd.IdempotencyKeyHeader) != "" {
		apiErr.Outcome = httpd.OutcomeUnknown
	}
	httpd.WriteError(w, req, *apiErr)
}

// httpOutcome converts an outcome to the form sent to callers.
func httpOutcome(outcome wire.Outcome) httpd.Outcome {
	switch outcome {
	case wire.Outcome_OUTCOME_RAN:
		return httpd.OutcomeRan
	case wire.Outcome_OUTCOME_NOT_RUN:
		return httpd.OutcomeNotRun
	default:
		return httpd.OutcomeUnknown
	}
}

// acquireLimits reserves capacity for a request within this router's share of the
// customer's limits. It returns an error if a limit is exceeded.
func (r *Router) acquireLimits(routed *routedRequest) *httpd.Error {
	routerShare := 1 / float64(max(1, r.routerCount.Load()))
	tokens := ident.Tokens(routed.submit.GetPromptTokens()) + ident.Tokens(routed.submit.GetOutputTokens())
	err := r.limits.Acquire(routed.query.Now, routed.customer, routerShare, tokens)
	// Acquire returns no other error than an *ExceededError.
	var exceeded *limit.ExceededError
	if !errors.As(err, &exceeded) {
		return nil
	}
	apiErr := notRunError(http.StatusTooManyRequests, codeLimitReached, exceeded.Error())
	apiErr.RetryAfter = httpd.Delay(exceeded.RetryAfter)
	return apiErr
}
