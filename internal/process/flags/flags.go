// Package flags reads settings from flags and environment variables and checks
// them at the start of a process, reporting all faults at once.
//
// Besides kong's own tags, a setting may carry min and max (a duration or a
// number) and secret, which keeps its value out of reports.
package flags

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// EnvPrefix precedes the names of environment variables: --data-dir is
// CACTUSLINE_DATA_DIR.
const EnvPrefix = "CACTUSLINE"

// Fault is one setting that is missing or not allowed.
type Fault struct {
	// Flag with its dashes.
	Flag string
	// Env is the environment variable that sets the flag.
	Env string
	// Value as it was given, empty if it is missing.
	Value string
	// Allowed says in a few words what is.
	Allowed string
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s (%s): %q is not allowed; allowed: %s", f.Flag, f.Env, f.Value, f.Allowed)
}

// SettingsError holds all faults of the settings.
type SettingsError struct {
	Faults []Fault
}

// Error returns a line for each fault.
func (e *SettingsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%d settings need mending:", len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// ExitCode returns ExitUsage.
func (*SettingsError) ExitCode() int { return ExitUsage }

// UsageError says that the command line names no known command or flag.
type UsageError struct {
	Err error
}

// Error returns the cause.
func (e *UsageError) Error() string { return "usage: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// ExitCode returns ExitUsage.
func (*UsageError) ExitCode() int { return ExitUsage }

// Parse reads args and the environment into settings, a pointer to a struct
// with kong's tags. Its error is a *SettingsError or a *UsageError where the
// settings are at fault.
func Parse(settings any, args []string, options ...kong.Option) (*kong.Context, error) {
	c := &collector{}
	options = append([]kong.Option{
		kong.Name("cactusline"),
		kong.DefaultEnvars(EnvPrefix),
		kong.PostBuild(c.wrap),
	}, options...)
	parser, err := kong.New(settings, options...)
	if err != nil {
		return nil, fmt.Errorf("build command line: %w", err)
	}
	ctx, err := parser.Parse(args)
	var parseErr *kong.ParseError
	if errors.As(err, &parseErr) {
		ctx = parseErr.Context
	}
	if ctx != nil {
		if faults := c.active(ctx); len(faults) > 0 {
			return nil, &SettingsError{Faults: faults}
		}
	}
	if err != nil {
		return nil, &UsageError{Err: err}
	}
	return ctx, nil
}
