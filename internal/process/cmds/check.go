package cmds

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/lint"
	"cactusline.dev/cactusline/internal/version/route"
	"cactusline.dev/cactusline/platform"
)

// CheckCommand validates the platform's settings file and routing documents, and compares
// documents with the one in force. Its Admin has no default, unlike that of Client, as it
// runs without a core.
type CheckCommand struct {
	Settings  string        `help:"Settings file." type:"existingfile"`
	InForce   string        `help:"File with the routing document in force, to compare with." type:"existingfile" xor:"in-force"`
	Admin     []string      `help:"URLs of cores to read the routing document in force from, to compare with." xor:"in-force"`
	Patience  time.Duration `help:"How long to go on while no core can be reached." default:"10s" min:"0s"`
	Strict    bool          `help:"Fail on warnings as well."`
	Output    string        `help:"Form of the result." enum:"table,json" default:"table"`
	Documents []string      `arg:"" optional:"" help:"Routing documents." type:"existingfile"`
}

// documentReport is the result of the check of one document.
type documentReport struct {
	Path string
	// Errors are the reasons for which the document would be rejected. If there are any,
	// the document is not examined further.
	Errors   []string      `json:",omitempty"`
	Warnings []route.Fault `json:",omitempty"`
	// Changes are the differences from the document in force, if it is known.
	Changes []lint.Change `json:",omitempty"`
}

// checkReport is the result of the command.
type checkReport struct {
	// Errors are those of the settings file.
	Errors    []string `json:",omitempty"`
	Documents []documentReport
}

// Run executes the command.
func (c *CheckCommand) Run(env *commandEnv) error {
	inForce, err := c.readInForce(env)
	if err != nil {
		return err
	}
	report := checkReport{Documents: make([]documentReport, 0, len(c.Documents))}
	var domains map[ident.DomainName]ident.RegionName
	if c.Settings != "" {
		settings, err := platform.ReadSettings(c.Settings)
		if err != nil {
			report.Errors = []string{err.Error()}
		} else {
			domains = settings.Domains
		}
	}
	for _, path := range c.Documents {
		report.Documents = append(report.Documents, checkDocument(path, domains, inForce))
	}
	if c.Output == outputJSON {
		err = printJSON(env, report)
	} else {
		err = report.print(env, inForce)
	}
	if err != nil {
		return err
	}
	return report.failure(c.Strict)
}

// readInForce returns the document in force, nil if there is nothing to compare with.
func (c *CheckCommand) readInForce(env *commandEnv) (*route.Document, error) {
	var body []byte
	var err error
	switch {
	case c.InForce != "":
		if body, err = os.ReadFile(c.InForce); err != nil {
			return nil, usageError(fmt.Errorf("--in-force: %w", err))
		}
	case len(c.Admin) > 0:
		client := &Client{Admin: c.Admin, Patience: c.Patience}
		if body, err = client.send(env, apiRequest{method: http.MethodGet, path: platform.DocumentPath}); err != nil {
			return nil, fmt.Errorf("read document in force: %w", err)
		}
	default:
		return nil, nil
	}
	if len(c.Documents) == 0 {
		return nil, usageError(errors.New("no document to compare with the one in force"))
	}
	table, err := platform.CompileDocument(body)
	if err != nil {
		return nil, usageError(fmt.Errorf("document in force: %w", err))
	}
	return table.Document(), nil
}

func checkDocument(path string, domains map[ident.DomainName]ident.RegionName, inForce *route.Document) documentReport {
	report := documentReport{Path: path}
	body, err := os.ReadFile(path)
	if err != nil {
		report.Errors = []string{err.Error()}
		return report
	}
	table, err := platform.CheckDocument(body, domains)
	if err != nil {
		report.Errors = faultTexts(err)
		return report
	}
	next := table.Document()
	report.Warnings = lint.Check(next)
	if inForce != nil {
		report.Warnings = append(report.Warnings, lint.CheckVersion(inForce.Version, next.Version)...)
		report.Changes = lint.Compare(inForce, next)
	}
	return report
}

// faultTexts returns all faults of an *route.InvalidError, whose text has only the first.
func faultTexts(err error) []string {
	var invalid *route.InvalidError
	if !errors.As(err, &invalid) {
		return []string{err.Error()}
	}
	texts := make([]string, 0, len(invalid.Faults))
	for _, fault := range invalid.Faults {
		texts = append(texts, faultText(fault))
	}
	return texts
}

func faultText(f route.Fault) string { return f.Location + ": " + f.Problem }

// print writes the warnings and the changes as lines. The errors are those of the command.
func (r *checkReport) print(env *commandEnv, inForce *route.Document) error {
	var lines []string
	for i := range r.Documents {
		d := &r.Documents[i]
		for _, warning := range d.Warnings {
			lines = append(lines, fmt.Sprintf("%s: warning: %s", d.Path, faultText(warning)))
		}
		for _, change := range d.Changes {
			lines = append(lines, fmt.Sprintf("%s: %s", d.Path, change))
		}
		if inForce != nil && len(d.Errors) == 0 && len(d.Changes) == 0 {
			lines = append(lines, fmt.Sprintf("%s: no change from version %d", d.Path, inForce.Version))
		}
	}
	if r.failure(true) == nil {
		lines = append(lines, "no fault found")
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(env.stdout, line); err != nil {
			return fmt.Errorf("print: %w", err)
		}
	}
	return nil
}

// failure returns an error with all errors, or with the number of warnings if these fail
// the command and there are no errors. It returns nil if there is nothing to report.
func (r *checkReport) failure(strict bool) error {
	var failures []error
	for _, text := range r.Errors {
		failures = append(failures, errors.New(text))
	}
	warnings := 0
	for i := range r.Documents {
		for _, text := range r.Documents[i].Errors {
			failures = append(failures, fmt.Errorf("document %s: %s", r.Documents[i].Path, text))
		}
		warnings += len(r.Documents[i].Warnings)
	}
	if len(failures) == 0 && strict && warnings > 0 {
		failures = append(failures, fmt.Errorf("warnings: %d", warnings))
	}
	if len(failures) == 0 {
		return nil
	}
	return usageError(errors.Join(failures...))
}
