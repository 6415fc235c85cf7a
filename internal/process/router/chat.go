package router

import (
	"context"
	"net/http"
	"slices"

	"cactusline.dev/cactusline/internal/conn/httpd"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/request/rank"
	"cactusline.dev/cactusline/internal/request/relay"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

const chatPath = "/v1/chat/completions"

// serveChat answers a chat completion.
func (r *Router) serveChat(w http.ResponseWriter, req *http.Request) {
	call, failed := r.readChat(w, req, httpd.RequestID(req.Context()))
	if failed != nil {
		httpd.WriteError(w, req, *failed)
		return
	}
	r.answer(w, req, call)
}

// call is a caller's request as read and routed, before it runs.
type call struct {
	id       ident.RequestID
	customer *record.Customer
	pool     *pool
	submit   *wire.Submit
	tries    tries.Config
	query    rank.Query
	stream   bool
	// revision is that of the records by which the request was routed.
	revision ident.Revision
}

// readChat checks a chat completion and finds its pool.
func (r *Router) readChat(w http.ResponseWriter, req *http.Request, id ident.RequestID) (*call, *httpd.Error) {
	snap := r.view.current.Load()
	set := snap.set
	customer, failed := authenticate(set, req)
	if failed != nil {
		return nil, failed
	}
	body, failed := r.readBody(w, req, customer)
	if failed != nil {
		return nil, failed
	}
	asked, err := chat.Parse(body)
	if err != nil {
		return nil, refusal(http.StatusBadRequest, codeInvalid, err.Error())
	}
	route, ok := set.ModelRoute(customer.Name, asked.Model)
	if !ok {
		return nil, refusal(http.StatusNotFound, codeNoModel, "no route for model "+string(asked.Model))
	}
	key := asked.Key(customer.Name, req.Header.Get(chat.KeyHeader))
	c := r.newCall(id, customer, route, snap.routes[route.Name])
	c.revision = set.Revision()
	c.stream = asked.Stream
	c.tries.HedgeAfter = r.cfg.HedgeAfter
	c.query.Chat = key
	c.query.PrefixTokens = prefixTokens(asked.Messages)
	c.submit.PrefixTokens = uint32(c.query.PrefixTokens)
	c.submit.Model = string(asked.Model)
	c.submit.Chat = uint64(key)
	c.submit.Method = http.MethodPost
	c.submit.Path = chatPath
	c.submit.Headers = []*wire.Header{{Name: "Content-Type", Value: "application/json"}}
	c.submit.Body = body
	c.submit.Stream = asked.Stream
	c.submit.PromptTokens = uint32(asked.PromptTokens())
	c.submit.OutputTokens = uint32(asked.OutputLimit())
	c.submit.Fingerprint = uint64(asked.Fingerprint(customer.Name))
	return c, nil
}

// prefixTokens estimates what a returning chat has sent before: all up to the
// last answer that it got. It is zero for a new chat.
func prefixTokens(messages []chat.Message) ident.Tokens {
	for i := len(messages) - 1; i >= 0; i-- {
		if messages[i].Role == chat.RoleAssistant {
			return chat.PromptTokens(messages[:i+1])
		}
	}
	return 0
}

// newCall fills in what all requests of a route share.
func (r *Router) newCall(id ident.RequestID, customer *record.Customer, route *record.Route, pool *pool) *call {
	now := r.cfg.Clock.Now()
	timeout := route.Timeout.Duration
	if timeout == 0 {
		timeout = DefaultRequestTimeout
	}
	return &call{
		id:       id,
		customer: customer,
		pool:     pool,
		query:    rank.Query{Now: now},
		submit: &wire.Submit{
			Request:  string(id),
			Customer: string(customer.Name),
			Priority: customer.Priority,
			Weight:   customer.FairWeight(),

			DigestStamp: pool.stamp.Load(),
		},
		tries: tries.Config{
			Request:     id,
			Customer:    customer.Name,
			Deadline:    now.Add(timeout),
			RetryBudget: r.budget,
			Random:      r.random.fork(),
			MaxAttempts: tries.MaxAttemptsLimit,
		},
	}
}

// answer runs a request and writes how it ended.
func (r *Router) answer(w http.ResponseWriter, req *http.Request, c *call) {
	if r.poisoned.Quarantined(ident.Fingerprint(c.submit.GetFingerprint())) {
		writeEarly(w, req, quarantined())
		return
	}
	c.tries.InFlightAtCrash = r.poisoned.Verdict(ident.Fingerprint(c.submit.GetFingerprint())) != poison.VerdictNone
	if limited := r.limited(c); limited != nil {
		writeEarly(w, req, limited)
		return
	}
	defer r.limits.Release(c.customer.Name)
	r.budget.RecordRequest(c.query.Now, c.customer.Name)
	request := relay.Request{
		MachineConfig: c.tries,
		Plan:          r.plan(c),
		Submit:        c.submit,
		Revision:      func() ident.Revision { return c.revision },
		Fingerprint:   ident.Fingerprint(c.submit.GetFingerprint()),
	}
	if c.stream {
		r.stream(w, req, c, request)
		return
	}
	whole := new(buffered)
	result := r.run(req.Context(), request, whole)
	r.noteServed(c, result)
	if !result.HeadSent || result.Truncated {
		httpd.WriteError(w, req, *errorOf(result))
		return
	}
	whole.finish(w, result)
}

func (r *Router) stream(w http.ResponseWriter, req *http.Request, c *call, request relay.Request) {
	live := newStreamed(w, r.cfg.Clock)
	result := r.run(req.Context(), request, live)
	r.noteServed(c, result)
	if !result.HeadSent {
		httpd.WriteError(w, req, *errorOf(result))
		return
	}
	live.finish(result)
}

// run carries a request through and tells how it was decided.
func (r *Router) run(ctx context.Context, request relay.Request, caller relay.AnswerWriter) relay.Result {
	result := relay.Run(ctx, r.relay, request, caller)
	if result.Record != nil && slices.ContainsFunc(result.Record.Attempts, crashed) {
		r.poisoned.MarkWatched(request.Fingerprint)
	}
	if r.cfg.Decided != nil && result.Record != nil {
		r.cfg.Decided(result.Record)
	}
	return result
}

// crashed reports whether the target crashed under an attempt.
func crashed(attempt tries.AttemptRecord) bool { return attempt.Result == tries.ResultCrashed }

// plan returns the plan of the request's offers.
func (r *Router) plan(c *call) *offers {
	return &offers{
		plan:  c.pool.ranking.NewPlan(c.query),
		again: func() *rank.Plan { return r.replan(c) },
	}
}

// replan looks the request up in the newest records, under which a sidecar has
// found it stale: its customer and route may be gone, or lead elsewhere.
func (r *Router) replan(c *call) *rank.Plan {
	snap := r.view.current.Load()
	customer, ok := snap.set.Customer(c.customer.Name)
	if !ok {
		return nil
	}
	route, ok := snap.set.ModelRoute(customer.Name, ident.ModelName(c.submit.GetModel()))
	if service := c.submit.GetService(); service != "" {
		route, ok = snap.set.ServiceRoute(customer.Name, ident.ServiceName(service))
	}
	if !ok || snap.routes[route.Name] == nil {
		return nil
	}
	c.customer = customer
	c.pool = snap.routes[route.Name]
	c.revision = snap.set.Revision()
	return c.pool.ranking.NewPlan(c.query)
}

// errorOf words the end of a request that has no answer.
func errorOf(result relay.Result) *httpd.Error {
	e := &httpd.Error{
		Status:     result.Status,
		Code:       codeOverloaded,
		Message:    "no target can run the request now",
		Outcome:    outcomeOf(result.Outcome),
		RetryAfter: httpd.Delay(result.RetryAfter),
	}
	switch {
	case result.AnswerUnavailable:
		e.Code = codeNotKept
		e.Message = "the request ran under this key before; its answer is not kept"
		e.Status = http.StatusConflict
		e.RetryAfter = 0
	case result.KeyConflict:
		e.Code = codeKeyConflict
		e.Message = "the idempotency key was used with another request"
		e.Status = http.StatusUnprocessableEntity
		e.RetryAfter = 0
	case result.Outcome != wire.Outcome_OUTCOME_NOT_RUN:
		e.Code = codeOutcomeUnknown
		e.Message = "it is not known whether the request ran"
	case result.Status == http.StatusUnprocessableEntity:
		e = quarantined()
	case result.Status == http.StatusBadRequest:
		e.Code = codeInvalid
		e.Message = "no target takes such a request"
	case result.Status == http.StatusGatewayTimeout:
		e.Code = codeTimeout
		e.Message = "the time for the request was over before it ran"
	}
	if e.Status == 0 {
		e.Status = http.StatusServiceUnavailable
	}
	return e
}
