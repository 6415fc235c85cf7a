// Package recap explains how a request ended from the logs of several processes.
// It finds the lines that name the request and the lines about its targets from
// around that time, and derives the cause if the lines prove one.
package recap

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// relatedWindow is how long before and after the end of a request lines
	// about its targets and its process are included.
	relatedWindow = 5 * time.Second
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Process string
	Role    string
	Event   string
	// Fields holds all fields of the line.
	Fields map[string]any
}

// NotFoundError reports that no log line names the request.
type NotFoundError struct {
	Request string
}

// Error names the request.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no log line names request %s; the process that handled it may have been killed or have lost its log", e.Request)
}

// Report is the explanation of one request.
type Report struct {
	Request string
	// Lines are the relevant lines in order of time.
	Lines []Line
	// Cause describes why the request ended as it did. It is empty if the lines
	// don't prove a cause.
	Cause string
}

// Read parses the lines of one log. It skips and counts lines that are not valid
// JSON log lines.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, skipped, fmt.Errorf("read log: %w", err)
	}
	return lines, skipped, nil
}

// parseLine parses one log line. It ignores anything before the opening brace,
// such as the prefix of a log collector.
func parseLine(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal([]byte(text[at:]), &fields) != nil {
		return Line{}, false
	}
	when, err := time.Parse(time.RFC3339Nano, stringField(fields, "Time"))
	if err != nil {
		return Line{}, false
	}
	event := stringField(fields, "Event")
	if event == "" {
		event = stringField(fields, "msg")
	}
	return Line{Time: when, Process: stringField(fields, "process"), Role: stringField(fields, "role"), Event: event, Fields: fields}, true
}

// stringField returns a field's value, or "" if it is missing or not a string.
func stringField(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	return text
}

// Explain returns the report on a request from the given log lines.
func Explain(request string, lines []Line) (*Report, error) {
	report := &Report{Request: request}
	var end *Line
	for i := range lines {
		if stringField(lines[i].Fields, "Request") == request {
			report.Lines = append(report.Lines, lines[i])
			if lines[i].Event == "RequestEnded" {
				end = &lines[i]
			}
		}
	}
	if len(report.Lines) == 0 {
		return nil, &NotFoundError{Request: request}
	}
	if end != nil {
		report.Lines = append(report.Lines, relatedLines(end, lines)...)
		report.Cause = causeOf(end)
	}
	slices.SortStableFunc(report.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return report, nil
}

// relatedLines returns the lines about the targets of a request, and those of its
// process that concern no target, within relatedWindow of the request's end. It also
// returns the ends of other requests with the same fingerprint, at any time.
func relatedLines(end *Line, lines []Line) []Line {
	targets := make(map[string]bool)
	for _, a := range attemptsOf(end) {
		targets[a.Target] = true
	}
	var found []Line
	for _, line := range lines {
		if stringField(line.Fields, "Request") == stringField(end.Fields, "Request") {
			continue
		}
		if isResend(&line, end) || crashedOnPart(&line, end) {
			found = append(found, line)
			continue
		}
		if line.Time.Sub(end.Time).Abs() > relatedWindow {
			continue
		}
		target := stringField(line.Fields, "Target") + stringField(line.Fields, "target")
		aboutProcess := line.Process == end.Process && line.Event != "RequestEnded" && target == ""
		if targets[target] && line.Event != "RequestEnded" || aboutProcess {
			found = append(found, line)
		}
	}
	return found
}

// isResend reports whether a line is the end of a request with the fingerprint of the
// one that ended with end.
func isResend(line, end *Line) bool {
	fingerprint := stringField(end.Fields, "Fingerprint")
	return fingerprint != "" && line.Event == end.Event && stringField(line.Fields, "Fingerprint") == fingerprint
}

// attempt is one element of a line's Attempts field.
type attempt struct {
	Target string
	Result string
	Status int
	Error  string
	Took   string
}

// attemptsOf returns the attempts listed in a RequestEnded line.
func attemptsOf(end *Line) []attempt {
	data, err := json.Marshal(end.Fields["Attempts"])
	if err != nil {
		return nil
	}
	var list []attempt
	if json.Unmarshal(data, &list) != nil {
		return nil
	}
	return list
}

// causeOf returns the reason why a request ended as it did, or "". The gate that
// handled the request logs the outcome in its RequestEnded line: Finish is an
// answer, Pass an error response of the target that is passed to the caller,
// Broken a truncated answer, and CallerLeft a caller that disconnected.
func causeOf(end *Line) string {
	list := attemptsOf(end)
	var last attempt
	if len(list) > 0 {
		last = list[len(list)-1]
	}
	switch stringField(end.Fields, "Outcome") {
	case "Finish":
		return fmt.Sprintf("answered by %s", last.Target)
	case "NoDocument":
		return "refused: the gate had no routing document yet; check its startup and its control process"
	case "NoRoute":
		return fmt.Sprintf("refused: document %v has no route for it", end.Fields["Document"]) + confirmedText(end, "; ")
	case "NoCustomer":
		return fmt.Sprintf("refused: document %v has no customer with its key", end.Fields["Document"]) + confirmedText(end, "; ")
	case "NotRun", "Quarantined", "DocumentUnconfirmed", "Paused", "RateLimited", "VersionGone", "OriginUnknown":
		return "refused without running: " + rejectionCause(end, list)
	case "Pass":
		return fmt.Sprintf("%s answered with status %d, after %d attempts", last.Target, last.Status, len(list))
	case "Unknown":
		return fmt.Sprintf("outcome unknown: the request was sent to %s, which returned no complete answer (%s); it may have run", last.Target, last.Error)
	case "Expired":
		return fmt.Sprintf("deadline exceeded after %v while %s was processing it", end.Fields["Took"], last.Target)
	case "CallerLeft":
		return fmt.Sprintf("the caller disconnected after %v", end.Fields["Took"])
	case "Broken":
		return fmt.Sprintf("answer truncated: %s ended its stream early (%s)", last.Target, last.Error)
	}
	return ""
}

// rejectionCause returns why a request was rejected without running.
func rejectionCause(end *Line, list []attempt) string {
	switch stringField(end.Fields, "Outcome") {
	case "Quarantined":
		return quarantineCause(end)
	case "DocumentUnconfirmed":
		return fmt.Sprintf("document %v does not allow it, but a newer one may", end.Fields["Document"]) + confirmedText(end, ": ")
	case "Paused":
		return "all targets that it may use have asked for a pause"
	case "RateLimited":
		return "all targets that it may use limit their rates"
	case "VersionGone":
		return "no target has the software version that began its stream"
	case "OriginUnknown":
		return "nobody knows which software version began its stream"
	}
	return targetErrors(list)
}

// confirmedText returns when a quorum last confirmed the document that a request was
// decided by, after a separator, or "" if the line does not say.
func confirmedText(end *Line, separator string) string {
	switch age := stringField(end.Fields, "Confirmed"); age {
	case "":
		return ""
	case "never":
		return separator + "no quorum has confirmed the document"
	default:
		return separator + "a quorum confirmed the document " + age + " before"
	}
}

// quarantineCause returns why a quarantined request was refused.
func quarantineCause(end *Line) string {
	subject := "the request"
	if part := stringField(end.Fields, "QuarantinedPart"); part != "" {
		subject = "part " + part + " of its prompt"
	}
	return fmt.Sprintf("%s crashed targets; 'cactusline lift %s' ends the quarantine", subject, stringField(end.Fields, "Quarantine"))
}

// crashedOnPart reports whether a line is about a crash with a part of prompts in
// flight for which a request was refused.
func crashedOnPart(line, end *Line) bool {
	part := stringField(end.Fields, "QuarantinedPart")
	parts, _ := line.Fields["Parts"].([]any)
	return part != "" && line.Event == "TargetCrashed" && slices.Contains(parts, any(part))
}

// targetErrors returns why each target did not run a request.
func targetErrors(list []attempt) string {
	if len(list) == 0 {
		return "no target of its service is listed, or all of them are leaving"
	}
	var parts []string
	for _, a := range list {
		reason := a.Error
		if reason == "" {
			reason = fmt.Sprintf("status %d, not run", a.Status)
		}
		parts = append(parts, a.Target+": "+reason)
	}
	return strings.Join(parts, "; ")
}

// Write prints the report: the relevant lines and the cause.
func (r *Report) Write(w io.Writer) error {
	var failures []error
	for _, line := range r.Lines {
		_, err := fmt.Fprintf(w, "%s  %-20s %-5s %s%s\n",
			line.Time.UTC().Format("15:04:05.000"), line.Process, line.Role, line.Event, requestText(&line, r.Request)+fieldText(line.Fields))
		failures = append(failures, err)
	}
	text := r.Cause
	if text == "" {
		text = "not proved by the log lines"
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", text)
	return errors.Join(append(failures, err)...)
}

// requestText returns the ID of the request that ended with a line, unless it is the
// one that the report is about.
func requestText(line *Line, explained string) string {
	request := stringField(line.Fields, "Request")
	if line.Event != "RequestEnded" || request == explained {
		return ""
	}
	return " Request=" + request
}

// fieldText returns the relevant fields of a line as text.
func fieldText(fields map[string]any) string {
	var text strings.Builder
	for _, name := range []string{
		"Fingerprint", "QuarantinedPart", "Parts", "Outcome", "Status", "Route", "Customer", "Document", "Confirmed", "version", "Target", "target", "Result", "Took",
		"For", "address", "watched", "confirmed", "sessionAge", "sessionQuiet", "change", "old", "new", "leaving", "Error", "err",
	} {
		if value, found := fields[name]; found && value != nil && value != "" {
			fmt.Fprintf(&text, " %s=%v", name, value)
		}
	}
	for i, a := range attemptsOf(&Line{Fields: fields}) {
		fmt.Fprintf(&text, "\n%36sattempt %d: %s %s status=%d took=%s %s", "", i+1, a.Target, a.Result, a.Status, a.Took, a.Error)
	}
	return text.String()
}
