package cmds

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"cactusline.dev/cactusline/internal/process/admin"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/request/trail"
	"cactusline.dev/cactusline/internal/version/record"
)

const outputJSON = "json"

// printJSON writes a value as indented JSON.
func printJSON(env *commandEnv, value any) error {
	encoder := json.NewEncoder(env.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

// table formats rows in aligned columns.
type table struct {
	buffer bytes.Buffer
	writer *tabwriter.Writer
}

func newTable(headings ...string) *table {
	t := new(table)
	t.writer = tabwriter.NewWriter(&t.buffer, 0, 0, 2, ' ', 0)
	t.row(toAny(headings)...)
	return t
}

func toAny(texts []string) []any {
	values := make([]any, len(texts))
	for i, text := range texts {
		values[i] = text
	}
	return values
}

func (t *table) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(t.writer, "\t")
		}
		_, _ = fmt.Fprint(t.writer, cell)
	}
	_, _ = fmt.Fprintln(t.writer)
}

// flush writes the table to standard output.
func (t *table) flush(env *commandEnv) {
	_ = t.writer.Flush()
	_, _ = env.stdout.Write(t.buffer.Bytes())
}

// printChangeResult prints the answer to an accepted change. It returns an error with the
// code ExitPending if the operator waited for the change to be in force everywhere
// and it was not in time.
func (c *Client) printChangeResult(env *commandEnv, answer *admin.ChangeResult) error {
	if c.Output == outputJSON {
		if err := printJSON(env, answer); err != nil {
			return err
		}
	} else {
		t := newTable("RECORD", "VERSION")
		for _, r := range answer.Records {
			t.row(string(r.Kind)+"/"+r.Name, r.Version)
		}
		t.flush(env)
		_, _ = fmt.Fprintf(env.stdout, "accepted at revision %d\n", answer.Revision)
	}
	if answer.Force == nil {
		return nil
	}
	if answer.Force.InForce {
		if c.Output != outputJSON {
			_, _ = fmt.Fprintln(env.stdout, "in force everywhere")
		}
		return nil
	}
	return pendingError(answer.Force)
}

// pendingError returns the error for a change that was accepted but is not in force
// everywhere.
func pendingError(rollout *ctrl.Rollout) error {
	var list []error
	for _, p := range rollout.Pending {
		list = append(list, fmt.Errorf("%s %s is at revision %d, last reported %s ago", p.Role, p.Name, p.InForce, p.Age))
	}
	for _, vm := range rollout.Unknown {
		list = append(list, fmt.Errorf("control %s did not report its watchers", vm))
	}
	return &exitCodeError{code: ExitPending, err: fmt.Errorf(
		"accepted at revision %d, but not yet in force everywhere:\n%w", rollout.Revision, errors.Join(list...))}
}

// printRecords prints a table of records.
func printRecords(env *commandEnv, records []json.RawMessage) error {
	t := newTable("KIND", "NAME", "VERSION", "SCHEMA")
	for _, data := range records {
		r, err := record.ParseCommitted(data)
		if err != nil {
			return fmt.Errorf("parse record: %w", err)
		}
		t.row(r.Key().Kind, r.Key().Name, r.Version(), r.Header().SchemaVersion)
	}
	t.flush(env)
	return nil
}

// printForCreation prints the records without versions, in a form that creates them
// when it is applied to a new fleet.
func printForCreation(env *commandEnv, records []json.RawMessage) error {
	newRecords := make([]*record.Record, 0, len(records))
	for _, data := range records {
		r, err := record.ParseCommitted(data)
		if err == nil {
			r, err = r.WithVersion(0)
		}
		if err != nil {
			return fmt.Errorf("parse record: %w", err)
		}
		newRecords = append(newRecords, r)
	}
	return printJSON(env, newRecords)
}

// memberState describes the state of a member of the control group.
func memberState(m *admin.Member) string {
	state := m.State
	if m.DiskLost {
		state += ", disk lost"
	}
	if m.Leaving {
		state += ", leaving"
	}
	return state
}

// printStatus prints the state of the fleet as tables.
func printStatus(env *commandEnv, status *admin.Status) error {
	_, _ = fmt.Fprintf(env.stdout, "revision %d, quorum %s, leader %s, term %d, ledger keys %d (%d compacted), audit head %d:%s\n",
		status.Revision, yesNo(status.Quorum), orNone(string(status.Control.Leader)), status.Control.Term,
		status.Ledger.Full+status.Ledger.Compacted, status.Ledger.Compacted, status.Audit.Index, status.Audit.Hash)
	if status.Control.Failure != "" {
		_, _ = fmt.Fprintf(env.stdout, "this control process has failed: %s\n", status.Control.Failure)
	}
	t := newTable("\nCONTROL", "STATE", "ADDRESS", "SYNCED")
	for _, m := range status.Members {
		t.row(m.ID, memberState(&m), m.Address, m.Match)
	}
	for _, m := range status.Newcomers {
		t.row(m.ID, "asks to join", m.Address, "")
	}
	for _, vm := range status.Unreachable {
		t.row(vm, "gives no answer", "", "")
	}
	t.flush(env)
	t = newTable("\nPROCESS", "ROLE", "IN FORCE", "DOCUMENT", "REPORTED", "LEASE")
	for _, p := range status.Processes {
		t.row(p.Name, p.Role, p.InForce, p.Document, p.Age.Round(time.Millisecond), yesNo(p.Leased))
	}
	t.flush(env)
	t = newTable("\nTARGET", "VM", "DOMAIN", "REPORTING", "LEAVING", "REQUESTS", "TOKENS", "QUEUED")
	for i := range status.Targets {
		target := &status.Targets[i]
		load := ctrl.TargetLoad{}
		if target.Load != nil {
			load = *target.Load
		}
		t.row(target.Name, target.VM, target.Domain, yesNo(target.Reporting), yesNo(target.Leaving),
			load.Requests, load.Tokens, load.Queued)
	}
	t.flush(env)
	if len(status.Evacuations) > 0 {
		_, _ = fmt.Fprintln(env.stdout)
		printEvacuations(env, status.Evacuations)
	}
	for _, q := range status.Quarantine {
		_, _ = fmt.Fprintf(env.stdout, "%s, fingerprint %s: %s\n", subjectName(q.Part), q.Fingerprint, q.Verdict)
	}
	return nil
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// printExplanation prints the decisions about a request and its audit entries.
func printExplanation(env *commandEnv, explanation *admin.Explanation) error {
	for _, data := range explanation.Decisions {
		decision := new(trail.Decision)
		if err := json.Unmarshal(data, decision); err != nil {
			return fmt.Errorf("parse decision: %w", err)
		}
		printDecision(env, decision)
	}
	for _, vm := range explanation.Unreachable {
		_, _ = fmt.Fprintf(env.stdout, "control %s gives no answer and may keep more\n", vm)
	}
	if len(explanation.Audit) == 0 {
		return nil
	}
	t := newTable("AUDIT", "TIME", "KIND", "ACTOR", "SUBJECT", "DETAIL")
	for i := range explanation.Audit {
		e := &explanation.Audit[i]
		t.row(e.Index, e.Time.Format(time.RFC3339Nano), e.Kind, e.Actor, e.Subject, e.Detail)
	}
	t.flush(env)
	return nil
}

func printDecision(env *commandEnv, d *trail.Decision) {
	_, _ = fmt.Fprintf(env.stdout, "request %s of %s at router %s: %s, status %d, %d bytes delivered, %s\n",
		d.Request, d.Customer, d.Router, d.Outcome, d.Status, d.Delivered, d.Finished.Sub(d.Started))
	t := newTable("CANDIDATE", "REASON")
	for _, c := range d.Candidates {
		t.row(c.Target, c.Reason)
	}
	t.flush(env)
	t = newTable("ATTEMPT", "TARGET", "RESULT", "REASON", "SENT", "ENDED")
	for i := range d.Attempts {
		a := &d.Attempts[i]
		t.row(a.Attempt, a.Target, a.Result, a.Reason, a.Sent.Format(time.RFC3339Nano), a.Ended.Format(time.RFC3339Nano))
	}
	t.flush(env)
}
