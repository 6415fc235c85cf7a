package router

import (
	"errors"
	"net/http"

	"cactusline.dev/cactusline/internal/conn/httpd"
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
	codeTimeout        = "Timeout"
	codeAnswerCut      = "AnswerCut"
	codeNotKept        = "AnswerNotKept"
)

// refusal returns an error for a request that was not run.
func refusal(status int, code, message string) *httpd.Error {
	return &httpd.Error{Status: status, Code: code, Message: message, Outcome: httpd.OutcomeNotRun}
}

// quarantined returns the final answer to a request that crashes its targets.
func quarantined() *httpd.Error {
	return refusal(http.StatusForbidden, codeQuarantined, "this request crashed the targets that ran it")
}

// writeEarly answers the caller with a refusal that comes before the ledger is
// asked. It says nothing of what an earlier send under the same key did, and so
// a service's caller with a key is told that the outcome is unknown.
func writeEarly(w http.ResponseWriter, req *http.Request, failed *httpd.Error) {
	if req.PathValue("service") != "" && req.Header.Get(httpd.IdempotencyKeyHeader) != "" {
		failed.Outcome = httpd.OutcomeUnknown
	}
	httpd.WriteError(w, req, *failed)
}

// outcomeOf returns the outcome as callers are told.
func outcomeOf(outcome wire.Outcome) httpd.Outcome {
	switch outcome {
	case wire.Outcome_OUTCOME_RAN:
		return httpd.OutcomeRan
	case wire.Outcome_OUTCOME_NOT_RUN:
		return httpd.OutcomeNotRun
	default:
		return httpd.OutcomeUnknown
	}
}

// limited counts a request in, or returns why the customer's limits don't
// allow it.
func (r *Router) limited(c *call) *httpd.Error {
	share := 1 / float64(max(1, r.routers.Load()))
	tokens := ident.Tokens(c.submit.GetPromptTokens()) + ident.Tokens(c.submit.GetOutputTokens())
	err := r.limits.Acquire(c.query.Now, c.customer, share, tokens)
	var exceeded *limit.ExceededError
	if !errors.As(err, &exceeded) {
		return nil
	}
	failed := refusal(http.StatusTooManyRequests, codeLimited, exceeded.Error())
	failed.RetryAfter = httpd.Delay(exceeded.RetryAfter)
	return failed
}
