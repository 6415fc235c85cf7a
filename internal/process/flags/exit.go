package flags

import "errors"

// Exit codes of the program.
const (
	// ExitOK says that the command did what it was asked for.
	ExitOK = 0
	// ExitFailed says that it failed for a reason with no code of its own.
	ExitFailed = 1
	// ExitUsage says that the command line or a setting is at fault.
	ExitUsage = 2
	// ExitNotFound says that what was asked for does not exist.
	ExitNotFound = 3
	// ExitConflict says that the change lost against another one.
	ExitConflict = 4
	// ExitRefused says that the request was not run and may be sent again.
	ExitRefused = 5
	// ExitUnknown says that the outcome is not known.
	ExitUnknown = 6
)

// coder is an error with an exit code of its own.
type coder interface {
	error
	ExitCode() int
}

// ExitCode returns the code with which the program ends on err.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var known coder
	if errors.As(err, &known) {
		return known.ExitCode()
	}
	return ExitFailed
}
