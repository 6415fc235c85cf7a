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
func printJSON(s *scope, value any) error {
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

// table writes aligned columns.
type table struct {
	buffer bytes.Buffer
	writer *tabwriter.Writer
}

func newTable(heads ...string) *table {
	t := new(table)
	t.writer = tabwriter.NewWriter(&t.buffer, 0, 0, 2, ' ', 0)
	t.row(toAny(heads)...)
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
func (t *table) flush(s *scope) {
	_ = t.writer.Flush()
	_, _ = s.stdout.Write(t.buffer.Bytes())
}

// printAccepted prints a change that was made. A change that is not in force
// in time is an error of its own.
func (c *Client) printAccepted(s *scope, answer *admin.ChangeResult) error {
	if c.Output == outputJSON {
		if err := printJSON(s, answer); err != nil {
			return err
		}
	} else {
		t := newTable("RECORD", "VERSION")
		for _, r := range answer.Records {
			t.row(string(r.Kind)+"/"+r.Name, r.Version)
		}
		t.flush(s)
		_, _ = fmt.Fprintf(s.stdout, "accepted at revision %d\n", answer.Revision)
	}
	if answer.Force == nil {
		return nil
	}
	if answer.Force.InForce {
		if c.Output != outputJSON {
			_, _ = fmt.Fprintln(s.stdout, "in force everywhere")
		}
		return nil
	}
	return pending(answer.Force)
}

// pending words a change that is accepted but not in force everywhere.
func pending(force *ctrl.Rollout) error {
	var list []error
	for _, p := range force.Pending {
		list = append(list, fmt.Errorf("%s %s acts on revision %d, reported %s ago", p.Role, p.Name, p.InForce, p.Age))
	}
	for _, vm := range force.Unknown {
		list = append(list, fmt.Errorf("control %s can't tell who watches it", vm))
	}
	return &codedError{code: ExitPending, err: fmt.Errorf(
		"accepted at revision %d, but not in force everywhere yet:\n%w", force.Revision, errors.Join(list...))}
}

// printRecords prints a table of records.
func printRecords(s *scope, records []json.RawMessage) error {
	t := newTable("KIND", "NAME", "VERSION", "SCHEMA")
	for _, data := range records {
		r, err := record.ParseCommitted(data)
		if err != nil {
			return fmt.Errorf("read record: %w", err)
		}
		t.row(r.Key().Kind, r.Key().Name, r.Version(), r.Header().SchemaVersion)
	}
	t.flush(s)
	return nil
}

// printNew prints a file that creates the records, without their versions.
func printNew(s *scope, records []json.RawMessage) error {
	fresh := make([]*record.Record, 0, len(records))
	for _, data := range records {
		r, err := record.ParseCommitted(data)
		if err == nil {
			r, err = r.WithVersion(0)
		}
		if err != nil {
			return fmt.Errorf("read record: %w", err)
		}
		fresh = append(fresh, r)
	}
	return printJSON(s, fresh)
}

// printStatus prints what an operator looks at first.
func printStatus(s *scope, status *admin.Status) error {
	_, _ = fmt.Fprintf(s.stdout, "revision %d, quorum %s, leader %s, term %d, ledger keys %d (%d compacted), audit head %d:%s\n",
		status.Revision, yesNo(status.Quorum), orNone(string(status.Control.Leader)), status.Control.Term,
		status.Ledger.Full+status.Ledger.Compacted, status.Ledger.Compacted, status.Audit.Index, status.Audit.Hash)
	if status.Control.Failure != "" {
		_, _ = fmt.Fprintf(s.stdout, "this control process has failed: %s\n", status.Control.Failure)
	}
	t := newTable("\nCONTROL", "STATE", "ADDRESS", "SYNCED")
	for _, m := range status.Members {
		t.row(m.ID, m.State, m.Address, m.Match)
	}
	for _, m := range status.Newcomers {
		t.row(m.ID, "asks to join", m.Address, "")
	}
	for _, vm := range status.Unreachable {
		t.row(vm, "gives no answer", "", "")
	}
	t.flush(s)
	t = newTable("\nPROCESS", "ROLE", "IN FORCE", "REPORTED", "LEASE")
	for _, p := range status.Processes {
		t.row(p.Name, p.Role, p.InForce, p.Age.Round(time.Millisecond), yesNo(p.Leased))
	}
	t.flush(s)
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
	t.flush(s)
	for _, q := range status.Quarantine {
		_, _ = fmt.Fprintf(s.stdout, "request fingerprint %s: %s\n", q.Fingerprint, q.Verdict)
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

// printExplanation prints the decisions on a request and its audit entries.
func printExplanation(s *scope, explanation *admin.Explanation) error {
	for _, data := range explanation.Decisions {
		decision := new(trail.Decision)
		if err := json.Unmarshal(data, decision); err != nil {
			return fmt.Errorf("read decision: %w", err)
		}
		printDecision(s, decision)
	}
	for _, vm := range explanation.Unreachable {
		_, _ = fmt.Fprintf(s.stdout, "control %s gives no answer and may keep more\n", vm)
	}
	if len(explanation.Audit) == 0 {
		return nil
	}
	t := newTable("AUDIT", "TIME", "KIND", "ACTOR", "SUBJECT", "DETAIL")
	for i := range explanation.Audit {
		e := &explanation.Audit[i]
		t.row(e.Index, e.Time.Format(time.RFC3339Nano), e.Kind, e.Actor, e.Subject, e.Detail)
	}
	t.flush(s)
	return nil
}

func printDecision(s *scope, d *trail.Decision) {
	_, _ = fmt.Fprintf(s.stdout, "request %s of %s at router %s: %s, status %d, %d bytes delivered, %s\n",
		d.Request, d.Customer, d.Router, d.Outcome, d.Status, d.Delivered, d.Finished.Sub(d.Started))
	t := newTable("CANDIDATE", "REASON")
	for _, c := range d.Candidates {
		t.row(c.Target, c.Reason)
	}
	t.flush(s)
	t = newTable("ATTEMPT", "TARGET", "RESULT", "REASON", "SENT", "ENDED")
	for i := range d.Attempts {
		a := &d.Attempts[i]
		t.row(a.Attempt, a.Target, a.Result, a.Reason, a.Sent.Format(time.RFC3339Nano), a.Ended.Format(time.RFC3339Nano))
	}
	t.flush(s)
}
