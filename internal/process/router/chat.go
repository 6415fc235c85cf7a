package router

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"cactusline.dev/cactusline/internal/conn/httpd"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/budget"
	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/request/rank"
	"cactusline.dev/cactusline/internal/request/relay"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

const chatPath = "/v1/chat/completions"

// serveChat handles a chat completion.
func (r *Router) serveChat(w http.ResponseWriter, req *http.Request) {
	routed, apiErr := r.routeChat(w, req, httpd.RequestID(req.Context()))
	if apiErr != nil {
		httpd.WriteError(w, req, *apiErr)
		return
	}
	r.execute(w, req, routed)
}

// routedRequest is a caller's request that was validated and has a route and pool.
type routedRequest struct {
	id       ident.RequestID
	customer *record.Customer
	pool     *pool
	submit   *wire.Submit
	tries    tries.Config
	query    rank.Query
	// retries is the account that pays for the retries of the request.
	retries *budget.Service
	stream  bool
	// revision is the revision of the records used for routing.
	revision ident.Revision
}

// routeChat validates a chat completion and finds its route and pool.
func (r *Router) routeChat(w http.ResponseWriter, req *http.Request, id ident.RequestID) (*routedRequest, *httpd.Error) {
	snap := r.view.current.Load()
	set := snap.set
	customer, apiErr := r.authenticate(set, req)
	if apiErr != nil {
		return nil, apiErr
	}
	body, apiErr := r.readBody(w, req, customer)
	if apiErr != nil {
		return nil, apiErr
	}
	completion, err := chat.Parse(body)
	if err != nil {
		return nil, notRunError(http.StatusBadRequest, codeInvalidRequest, err.Error())
	}
	route, ok := set.ModelRoute(customer.Name, completion.Model)
	if !ok {
		return nil, r.deny(http.StatusNotFound, codeUnknownModel, "no route for model "+string(completion.Model))
	}
	chatKey := completion.Key(customer.Name, req.Header.Get(chat.KeyHeader))
	routed := r.newRoutedRequest(id, customer, route, snap.poolsByRoute[route.Name])
	routed.revision = set.Revision()
	routed.stream = completion.Stream
	routed.tries.HedgeAfter = r.cfg.HedgeAfter
	routed.query.Chat = chatKey
	routed.query.PrefixTokens = prefixTokens(completion.Messages)
	routed.submit.PrefixTokens = uint32(routed.query.PrefixTokens)
	routed.submit.Model = string(completion.Model)
	routed.submit.Chat = uint64(chatKey)
	routed.submit.Method = http.MethodPost
	routed.submit.Path = chatPath
	routed.submit.Headers = []*wire.Header{{Name: "Content-Type", Value: "application/json"}}
	routed.submit.Body = body
	routed.submit.Stream = completion.Stream
	routed.submit.PromptTokens = uint32(completion.PromptTokens())
	routed.submit.OutputTokens = uint32(completion.OutputLimit())
	routed.submit.Fingerprint = uint64(completion.Fingerprint(customer.Name))
	return routed, nil
}

// prefixTokens estimates the prompt prefix that a returning chat has sent before:
// all messages up to the last assistant message. It is zero for a new chat.
func prefixTokens(messages []chat.Message) ident.Tokens {
	for i := len(messages) - 1; i >= 0; i-- {
		if messages[i].Role == chat.RoleAssistant {
			return chat.PromptTokens(messages[:i+1])
		}
	}
	return 0
}

// newRoutedRequest returns a request with the fields that chats and service calls
// share.
func (r *Router) newRoutedRequest(id ident.RequestID, customer *record.Customer, route *record.Route, pool *pool) *routedRequest {
	now := r.cfg.Clock.Now()
	timeout := route.Timeout.Duration
	if timeout == 0 {
		timeout = DefaultRequestTimeout
	}
	retries := r.retryBudget.Service(cmp.Or(route.Service, ident.ServiceName(route.Model)))
	return &routedRequest{
		id:       id,
		customer: customer,
		pool:     pool,
		retries:  retries,
		query:    rank.Query{Now: now},
		submit: &wire.Submit{
			Request:  string(id),
			Customer: string(customer.Name),
			Priority: customer.Priority,
			Weight:   customer.FairWeight(),

			DigestStamp: pool.digestVersion.Load(),
		},
		tries: tries.Config{
			Request:     id,
			Customer:    customer.Name,
			Deadline:    now.Add(timeout),
			RetryBudget: retries,
			Random:      r.random.fork(),
			MaxAttempts: tries.MaxAttemptsLimit,
		},
	}
}

// execute runs a routed request and writes its answer or error.
func (r *Router) execute(w http.ResponseWriter, req *http.Request, routed *routedRequest) {
	if r.crashVerdicts.Quarantined(ident.Fingerprint(routed.submit.GetFingerprint())) {
		rejectBeforeClaim(w, req, quarantineError())
		return
	}
	// A verdict means that the request was in flight when a target crashed.
	routed.tries.InFlightAtCrash = r.crashVerdicts.Verdict(ident.Fingerprint(routed.submit.GetFingerprint())) != poison.VerdictNone
	if limitErr := r.acquireLimits(routed); limitErr != nil {
		rejectBeforeClaim(w, req, limitErr)
		return
	}
	defer r.limits.Release(routed.customer.Name)
	routed.retries.RecordRequest(routed.query.Now, routed.customer.Name)
	request := relay.Request{
		MachineConfig: routed.tries,
		Plan:          r.newPlan(routed),
		Submit:        routed.submit,
		Revision:      func() ident.Revision { return routed.revision },
		Fingerprint:   ident.Fingerprint(routed.submit.GetFingerprint()),
	}
	if routed.stream {
		r.executeStream(w, req, routed, request)
		return
	}
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	buffered := &bufferedWriter{cancel: cancel}
	result := r.runAndRecord(ctx, request, buffered)
	r.notifyHomeSidecar(routed, result)
	if buffered.tooLong {
		result.Status = http.StatusBadGateway
	}
	if !result.HeadSent || result.Truncated || buffered.tooLong {
		httpd.WriteError(w, req, *resultError(result))
		return
	}
	buffered.finish(w, result)
}

// executeStream runs a request whose answer is streamed to the caller.
func (r *Router) executeStream(w http.ResponseWriter, req *http.Request, routed *routedRequest, request relay.Request) {
	stream := newStreamWriter(w, r.cfg.Clock)
	result := r.runAndRecord(req.Context(), request, stream)
	r.notifyHomeSidecar(routed, result)
	if !result.HeadSent {
		httpd.WriteError(w, req, *resultError(result))
		return
	}
	stream.finish(result)
}

// runAndRecord runs a request to its end and passes on its decision record. A request
// under which a target crashed is watched as a possible cause of the crash.
func (r *Router) runAndRecord(ctx context.Context, request relay.Request, answer relay.AnswerWriter) relay.Result {
	result := relay.Run(ctx, r.relayConfig, request, answer)
	if result.Record != nil && slices.ContainsFunc(result.Record.Attempts, crashed) {
		r.crashVerdicts.MarkWatched(request.Fingerprint)
	}
	if r.cfg.OnRequestEnded != nil && result.Record != nil {
		r.cfg.OnRequestEnded(result.Record)
	}
	return result
}

// crashed reports whether the target crashed during an attempt.
func crashed(attempt tries.AttemptRecord) bool { return attempt.Result == tries.ResultCrashed }

// newPlan returns the plan that chooses the targets to which a request is offered.
func (r *Router) newPlan(routed *routedRequest) *requestPlan {
	return &requestPlan{
		plan:       routed.pool.ranking.NewPlan(routed.query),
		routeAgain: func() *rank.Plan { return r.routeAgain(routed) },
	}
}

// routeAgain routes a request again by the current records, after a sidecar has refused
// it because its revision was stale. It returns nil if the customer or the route no
// longer exists.
func (r *Router) routeAgain(routed *routedRequest) *rank.Plan {
	snap := r.view.current.Load()
	customer, ok := snap.set.Customer(routed.customer.Name)
	if !ok {
		return nil
	}
	route, ok := snap.set.ModelRoute(customer.Name, ident.ModelName(routed.submit.GetModel()))
	if service := routed.submit.GetService(); service != "" {
		route, ok = snap.set.ServiceRoute(customer.Name, ident.ServiceName(service))
	}
	if !ok || snap.poolsByRoute[route.Name] == nil {
		return nil
	}
	routed.customer = customer
	routed.pool = snap.poolsByRoute[route.Name]
	routed.revision = snap.set.Revision()
	return routed.pool.ranking.NewPlan(routed.query)
}

// resultError returns the error sent to the caller for a request without a complete
// answer.
func resultError(result relay.Result) *httpd.Error {
	e := &httpd.Error{
		Status:     result.Status,
		Code:       codeOverloaded,
		Message:    "no target can run the request now",
		Outcome:    httpOutcome(result.Outcome),
		RetryAfter: httpd.Delay(result.RetryAfter),
	}
	switch {
	case result.AnswerUnavailable:
		e.Code = codeAnswerNotKept
		e.Message = "the request already ran under this idempotency key, but its answer is not stored"
		e.Status = http.StatusConflict
		e.RetryAfter = 0
	case result.KeyConflict:
		e.Code = codeKeyConflict
		e.Message = "the idempotency key was already used for a different request"
		e.Status = http.StatusUnprocessableEntity
		e.RetryAfter = 0
	case result.Outcome != wire.Outcome_OUTCOME_NOT_RUN:
		// This includes a request that ran but whose answer did not arrive
		// completely. e.Outcome tells the two apart.
		e.Code = codeOutcomeUnknown
		e.Message = "it is unknown whether the request ran"
	case result.Status == http.StatusUnprocessableEntity:
		// Package tries sets this status only for quarantined requests.
		e = quarantineError()
	case result.Status == http.StatusBadRequest:
		e.Code = codeInvalidRequest
		e.Message = "no target accepts this kind of request"
	case result.Status == http.StatusGatewayTimeout:
		e.Code = codeTimeout
		e.Message = "the request timed out before it ran"
	}
	if e.Status == 0 {
		e.Status = http.StatusServiceUnavailable
	}
	return e
}
