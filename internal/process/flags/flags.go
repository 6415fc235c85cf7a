// Package flags reads settings from command-line flags and environment variables
// when a process starts, and reports all invalid settings at once.
//
// In addition to kong's tags, a setting may have the tags min and max (a duration
// or a number) and secret, which keeps its value out of error messages.
package flags

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// EnvPrefix is the prefix of environment variables: --data-dir is also set by
// CACTUSLINE_DATA_DIR.
const EnvPrefix = "CACTUSLINE"

// Fault describes a setting that is missing or invalid.
type Fault struct {
	// Flag is the name of the flag, including its dashes.
	Flag string
	// Env is the environment variable that sets the flag.
	Env string
	// Value is the value as given, empty if it is missing.
	Value string
	// Allowed describes the valid values.
	Allowed string
}

// String returns the fault as a single line.
func (f Fault) String() string {
	return fmt.Sprintf("%s (%s): invalid value %q; want %s", f.Flag, f.Env, f.Value, f.Allowed)
}

// SettingsError reports all invalid settings.
type SettingsError struct {
	Faults []Fault
}

// Error returns a heading and one line for each fault.
func (e *SettingsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%d settings are missing or invalid:", len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// ExitCode returns ExitUsage.
func (*SettingsError) ExitCode() int { return ExitUsage }

// UsageError reports a command line that kong can't parse, such as one with an
// unknown command or flag.
type UsageError struct {
	Err error
}

// Error implements error.
func (e *UsageError) Error() string { return "usage: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// ExitCode returns ExitUsage.
func (*UsageError) ExitCode() int { return ExitUsage }

// Parse reads args and the environment into settings, a pointer to a struct with
// kong tags. It returns a *SettingsError if settings are missing or invalid, and
// a *UsageError if the command line can't be parsed.
func Parse(settings any, args []string, options ...kong.Option) (*kong.Context, error) {
	c := &collector{}
	options = append([]kong.Option{
		kong.Name("cactusline"),
		kong.DefaultEnvars(EnvPrefix),
		kong.PostBuild(c.wrapMappers),
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
		if faults := c.commandFaults(ctx); len(faults) > 0 {
			return nil, &SettingsError{Faults: faults}
		}
	}
	if err != nil {
		return nil, &UsageError{Err: err}
	}
	return ctx, nil
}
