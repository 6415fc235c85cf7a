package flags

import "errors"

// Exit codes of the program.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailed: the command failed for a reason without its own code.
	ExitFailed = 1
	// ExitUsage: the command line or a setting is invalid.
	ExitUsage = 2
	// ExitNotFound: the requested object does not exist.
	ExitNotFound = 3
	// ExitConflict: the change conflicts with another one.
	ExitConflict = 4
	// ExitUnavailable: the request was not run and may be retried.
	ExitUnavailable = 5
	// ExitOutcomeUnknown: it is unknown whether the request was run.
	ExitOutcomeUnknown = 6
)

// exitCoder is an error that sets the exit code of the program.
type exitCoder interface {
	error
	ExitCode() int
}

// ExitCode returns the exit code of the program for err.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var coded exitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return ExitFailed
}
