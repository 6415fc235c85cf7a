// Package recap tells what became of a request from the log lines of several
// processes: the lines that name it, those about the targets that it was sent
// to around that time, and the cause as far as the lines prove it.
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
	// around is how long before and after a request lines about its targets
	// and its process count.
	around = 5 * time.Second
	// maxLineBytes bounds one line.
	maxLineBytes = 1 << 20
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Process string
	Role    string
	Event   string
	// Fields are all fields of the line.
	Fields map[string]any
}

// NotFoundError says that no line names the request.
type NotFoundError struct {
	Request string
}

// Error names the request.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line names request %s: the process that took it was killed or cut off from its log", e.Request)
}

// Report is what the lines tell of a request.
type Report struct {
	Request string
	// Lines are in the order of their time.
	Lines []Line
	// Cause is a sentence, empty if the lines prove none.
	Cause string
}

// Read parses the lines of one log; those that are no JSON are skipped and
// counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
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

// parse reads one line. What stands before its opening brace, as a collector
// may put there, is left out.
func parse(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal([]byte(text[at:]), &fields) != nil {
		return Line{}, false
	}
	when, err := time.Parse(time.RFC3339Nano, word(fields, "Time"))
	if err != nil {
		return Line{}, false
	}
	event := word(fields, "Event")
	if event == "" {
		event = word(fields, "msg")
	}
	return Line{Time: when, Process: word(fields, "process"), Role: word(fields, "role"), Event: event, Fields: fields}, true
}

func word(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	return text
}

// Explain returns what the lines tell of a request.
func Explain(request string, lines []Line) (*Report, error) {
	report := &Report{Request: request}
	var end *Line
	for i := range lines {
		if word(lines[i].Fields, "Request") == request {
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
		report.Lines = append(report.Lines, related(end, lines)...)
		report.Cause = cause(end)
	}
	slices.SortStableFunc(report.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return report, nil
}

// related returns the lines about the targets of a request, and those in which
// its process tells of itself, around the request.
func related(end *Line, lines []Line) []Line {
	targets := make(map[string]bool)
	for _, a := range attempts(end) {
		targets[a.Target] = true
	}
	var found []Line
	for _, line := range lines {
		if line.Time.Sub(end.Time).Abs() > around || word(line.Fields, "Request") == word(end.Fields, "Request") {
			continue
		}
		target := word(line.Fields, "Target") + word(line.Fields, "target")
		itself := line.Process == end.Process && line.Event != "RequestEnded" && target == ""
		if targets[target] && line.Event != "RequestEnded" || itself {
			found = append(found, line)
		}
	}
	return found
}

// attempt is one attempt as a line tells of it.
type attempt struct {
	Target string
	Result string
	Status int
	Error  string
	Took   string
}

func attempts(end *Line) []attempt {
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

// cause words why a request ended as it did.
func cause(end *Line) string {
	list := attempts(end)
	var last attempt
	if len(list) > 0 {
		last = list[len(list)-1]
	}
	switch word(end.Fields, "Outcome") {
	case "Finish":
		return fmt.Sprintf("answered by %s", last.Target)
	case "NoDocument":
		return "refused: the gate had no routing document yet; see its start and its control process"
	case "NoRoute":
		return fmt.Sprintf("refused: document %v has no route for it", end.Fields["Document"])
	case "NoCustomer":
		return fmt.Sprintf("refused: document %v knows no customer with its key", end.Fields["Document"])
	case "NotRun":
		return "refused, and not run: " + reached(list)
	case "Pass":
		return fmt.Sprintf("%s answered with status %d, after %d attempts", last.Target, last.Status, len(list))
	case "Unknown":
		return fmt.Sprintf("outcome unknown: it was sent to %s, which gave no whole answer (%s); it may have run", last.Target, last.Error)
	case "Expired":
		return fmt.Sprintf("time ran out after %v while %s worked on it", end.Fields["Took"], last.Target)
	case "CallerLeft":
		return fmt.Sprintf("the caller left after %v", end.Fields["Took"])
	case "Broken":
		return fmt.Sprintf("broken off within the answer: %s ended its stream early (%s)", last.Target, last.Error)
	}
	return ""
}

// reached words why no target took a request.
func reached(list []attempt) string {
	if len(list) == 0 {
		return "no target of its service is listed, or all are leaving"
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

// Write prints a report: a line each for what happened, and the cause.
func (r *Report) Write(w io.Writer) error {
	var failures []error
	for _, line := range r.Lines {
		_, err := fmt.Fprintf(w, "%s  %-20s %-5s %s%s\n",
			line.Time.UTC().Format("15:04:05.000"), line.Process, line.Role, line.Event, details(line.Fields))
		failures = append(failures, err)
	}
	text := r.Cause
	if text == "" {
		text = "not proved by these lines"
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", text)
	return errors.Join(append(failures, err)...)
}

// details returns the telling fields of a line.
func details(fields map[string]any) string {
	var text strings.Builder
	for _, name := range []string{
		"Outcome", "Status", "Route", "Customer", "Document", "version", "Target", "target", "Result", "Took",
		"address", "change", "old", "new", "leaving", "Error", "err",
	} {
		if value, found := fields[name]; found && value != nil && value != "" {
			fmt.Fprintf(&text, " %s=%v", name, value)
		}
	}
	for i, a := range attempts(&Line{Fields: fields}) {
		fmt.Fprintf(&text, "\n%36sattempt %d: %s %s status=%d took=%s %s", "", i+1, a.Target, a.Result, a.Status, a.Took, a.Error)
	}
	return text.String()
}
