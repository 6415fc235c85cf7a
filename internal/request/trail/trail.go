// Package trail records how requests were routed. A router logs the decision of
// each request and sends those that are not routine to the control process,
// which keeps the newest in memory.
package trail

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// Decision describes how one request was routed and how it ended. It is logged
// and sent as JSON.
type Decision struct {
	Request  ident.RequestID
	Customer ident.CustomerName
	// Router is the name of the process that routed the request.
	Router string
	// Once means that the request must not run more than once.
	Once       bool `json:",omitempty"`
	Candidates []Candidate
	Attempts   []Attempt
	// Outcome is "ran", "not-run" or "unknown".
	Outcome    string
	Status     int             `json:",omitempty"`
	RetryAfter record.Duration `json:",omitzero"`
	// Truncated means that the caller received only part of the answer, marked
	// as truncated.
	Truncated bool `json:",omitempty"`
	// Delivered is the number of answer bytes sent to the caller.
	Delivered ident.Bytes
	Started   time.Time
	Finished  time.Time
}

// Candidate is a target proposed by the ranking.
type Candidate struct {
	Target ident.TargetName
	Reason string
}

// Attempt is one attempt at a target. The times of events that did not happen
// are omitted.
type Attempt struct {
	Attempt ident.AttemptID
	Target  ident.TargetName
	Result  tries.Result
	// Reason is the sidecar's reason for refusing the attempt, or empty.
	Reason    string    `json:",omitempty"`
	Hedge     bool      `json:",omitempty"`
	Joined    bool      `json:",omitempty"`
	Resumes   int       `json:",omitempty"`
	Sent      time.Time `json:",omitzero"`
	FirstByte time.Time `json:",omitzero"`
	Ended     time.Time `json:",omitzero"`
}

// NewDecision returns the decision described by a record.
func NewDecision(router string, r *tries.Record) *Decision {
	d := &Decision{
		Request:    r.Request,
		Customer:   r.Customer,
		Router:     router,
		Once:       r.Once,
		Candidates: make([]Candidate, 0, len(r.Candidates)),
		Attempts:   make([]Attempt, 0, len(r.Attempts)),
		Outcome:    outcomeName(r.Outcome),
		Status:     r.Status,
		RetryAfter: record.Duration{Duration: r.RetryAfter},
		Truncated:  r.Truncated,
		Delivered:  r.Delivered,
		Started:    r.Started.UTC(),
		Finished:   r.Finished.UTC(),
	}
	for _, c := range r.Candidates {
		d.Candidates = append(d.Candidates, Candidate{Target: c.Target, Reason: c.Reason})
	}
	for i := range r.Attempts {
		d.Attempts = append(d.Attempts, attemptOf(&r.Attempts[i]))
	}
	return d
}

func attemptOf(r *tries.AttemptRecord) Attempt {
	a := Attempt{
		Attempt:   r.Attempt,
		Target:    r.Target,
		Result:    r.Result,
		Hedge:     r.Hedge,
		Joined:    r.Joined,
		Resumes:   r.Joins,
		Sent:      r.Sent.UTC(),
		FirstByte: r.FirstByte.UTC(),
		Ended:     r.Ended.UTC(),
	}
	if r.Result == tries.ResultRefused {
		a.Reason = reasonName(r.Reason)
	}
	return a
}

// Routine reports whether an idempotent request ran in a single attempt without
// resumes or truncation. Such decisions are logged but not sent to the control
// process.
func (d *Decision) Routine() bool {
	return !d.Once && len(d.Attempts) == 1 && d.Attempts[0].Result == tries.ResultRan &&
		d.Attempts[0].Resumes == 0 && d.Outcome == outcomeRan && !d.Truncated
}

// encode returns the decision as one line of JSON.
func (d *Decision) encode() ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode decision: %w", err)
	}
	return data, nil
}

const outcomeRan = "ran"

func outcomeName(outcome wire.Outcome) string {
	switch outcome {
	case wire.Outcome_OUTCOME_RAN:
		return outcomeRan
	case wire.Outcome_OUTCOME_NOT_RUN:
		return "not-run"
	default:
		return "unknown"
	}
}

// reasonName returns the name of a refusal reason, such as "overloaded".
func reasonName(reason wire.RefusalReason) string {
	name := strings.TrimPrefix(reason.String(), "REFUSAL_REASON_")
	return strings.ToLower(strings.ReplaceAll(name, "_", "-"))
}
