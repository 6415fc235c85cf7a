package gate

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/conn/pool"
	"cactusline.dev/cactusline/internal/request/carry"
	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/version/route"
)

const (
	// slowFactor is how many times its objective a request that may be
	// repeated waits for the first of its answer before another target is
	// asked.
	slowFactor = 2
)

// try makes one attempt at a target.
func (j *job) try(ctx context.Context, pick place.Pick) carry.Result {
	began := j.gate.cfg.Clock.Now()
	ctx, slow := context.WithCancelCause(ctx)
	defer slow(nil)
	if limit := j.patience(); limit > 0 {
		timer := time.AfterFunc(limit, func() {
			if j.giveUpOn(pick.Target, limit) {
				slow(errSlow)
			}
		})
		defer timer.Stop()
		j.heard = func() { timer.Stop() }
	}
	e := &exchange{job: j, pick: pick}
	result, verdict := e.run(ctx)
	now := j.gate.cfg.Clock.Now()
	ejected := j.gate.field.Finish(now, pick.Target, verdict)
	record := attempt{
		Target: pick.Target.Name, Reason: pick.Reason, Load: pick.Load, Mean: pick.Mean, Fetch: pick.Fetch,
		Result: result.String(), Status: e.status, Reused: e.reused, Took: now.Sub(began).String(),
	}
	if e.err != nil {
		record.Error = e.err.Error()
	}
	j.trail = append(j.trail, record)
	if ejected {
		j.gate.logEjected(j, record)
	}
	return result
}

// patience is how long an attempt waits for the first of an answer, 0 for as
// long as the request has.
func (j *job) patience() time.Duration {
	if !j.route.Repeatable() || j.route.Attempts < 2 || j.state.Sends() > 0 || j.route.Objective <= 0 {
		return 0
	}
	return slowFactor * j.route.Objective
}

// stopPatience notes that the answer has begun.
func (j *job) stopPatience() {
	if j.heard != nil {
		j.heard()
		j.heard = nil
	}
}

// giveUpOn reports whether a request that has waited for long is sent to
// another target: if this one has fallen silent, and the budget allows it. A
// target that answers others only has much to do, as the next one may.
func (j *job) giveUpOn(target *place.Target, waited time.Duration) bool {
	now := j.gate.cfg.Clock.Now()
	if !j.gate.field.Quiet(now, target, waited/2) || !j.gate.budget.Spend(now, j.name()) {
		return false
	}
	j.paid.Store(true)
	return true
}

// exchange is one attempt's use of a connection.
type exchange struct {
	job    *job
	pick   place.Pick
	conn   *pool.Conn
	status int
	reused bool
	err    error
}

// run sends the request and takes the answer to the caller.
func (e *exchange) run(ctx context.Context) (carry.Result, place.Verdict) {
	careful := !e.job.route.Repeatable()
	if e.conn, e.err = e.job.gate.pool.Get(ctx, e.pick.Target.Address, careful); e.err != nil {
		if ctx.Err() != nil {
			return e.ended(ctx)
		}
		return carry.NotSent, place.Unreached
	}
	e.reused = e.conn.Reused
	stop := e.conn.Watch(ctx)
	var sent bool
	if sent, e.err = e.conn.Send(e.order()); e.err != nil {
		return e.failed(ctx, sent)
	}
	answer, err := e.conn.Receive(e.job.request.Method, e.own) //nolint:bodyclose // the connection is closed, or the body read whole
	if err != nil {
		e.err = err
		return e.failed(ctx, true)
	}
	e.job.stopPatience()
	e.job.gate.field.Heard(e.job.gate.cfg.Clock.Now(), e.pick.Target)
	e.status = answer.StatusCode
	result, verdict := e.take(ctx, answer)
	if !stop() || e.err != nil {
		e.conn.Drop()
		return result, verdict
	}
	e.conn.Done(answer)
	return result, verdict
}

// own reports whether an answer is to this request.
func (e *exchange) own(header http.Header) bool {
	return e.job.gate.cfg.Dialect.ParseResponse(header).RequestID == e.job.ask.ID
}

// order returns what is sent to the target.
func (e *exchange) order() *pool.Request {
	j := e.job
	order := ForwardMeta{
		Timeout:     j.deadline.Sub(j.gate.cfg.Clock.Now()),
		Target:      e.pick.Target.Name,
		Customer:    j.name(),
		Priority:    -1,
		FetchFrom:   e.pick.Fetch,
		LastEventID: j.lastEvent,
	}
	if len(j.ask.PromptParts) > 0 {
		order.Priority = j.urgency()
	}
	uri := j.request.RequestURI
	if uri == "" || uri[0] != '/' {
		uri = j.request.URL.RequestURI()
	}
	return &pool.Request{
		Method: j.request.Method, URI: uri, Host: j.request.Host,
		Header: j.gate.cfg.Dialect.ForwardHeader(endToEnd(j.request.Header), order),
		Body:   j.body,
	}
}

// failed ends an exchange that brought no answer.
func (e *exchange) failed(ctx context.Context, sent bool) (carry.Result, place.Verdict) {
	e.conn.Drop()
	if ctx.Err() != nil {
		return e.ended(ctx)
	}
	verdict := place.Unreached
	if e.reused {
		// The target may only have closed an idle connection.
		verdict = place.Unclear
	}
	if !sent {
		return carry.NotSent, verdict
	}
	return carry.Lost, verdict
}

// ended ends an exchange whose context has ended.
func (e *exchange) ended(ctx context.Context) (carry.Result, place.Verdict) {
	e.err = context.Cause(ctx)
	switch {
	case errors.Is(e.err, errSlow):
		return carry.Lost, place.Unreached
	case errors.Is(e.err, errLate):
		if e.conn == nil {
			return carry.NotSent, place.Unreached
		}
		return carry.Late, place.Unclear
	}
	return carry.Left, place.Unclear
}

// take reads the answer.
func (e *exchange) take(ctx context.Context, answer *http.Response) (carry.Result, place.Verdict) {
	if e.job.gate.cfg.Dialect.ParseResponse(answer.Header).NotRun {
		if _, e.err = readWhole(answer); e.err != nil {
			return carry.Refused, place.Unclear
		}
		if answer.StatusCode == http.StatusMisdirectedRequest {
			return carry.Refused, place.Unreached
		}
		return carry.Refused, place.Unclear
	}
	if e.job.route.Kind == route.Stream && answer.StatusCode == http.StatusOK {
		return e.relayEvents(ctx, answer)
	}
	return e.takePlain(ctx, answer)
}
