// Package cmds implements the command line: the roles of the fleet and the operator
// commands, with settings from flags and environment variables.
package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"cactusline.dev/cactusline/internal/process/flags"
)

// Exit codes, including those of package flags.
const (
	ExitOK     = flags.ExitOK
	ExitFailed = flags.ExitFailed
	// ExitUsage: flags, settings or records are invalid; nothing was changed.
	ExitUsage    = flags.ExitUsage
	ExitNotFound = flags.ExitNotFound
	// ExitConflict: a record has a newer version, or the change ID was used for
	// another change; nothing was changed.
	ExitConflict = flags.ExitConflict
	// ExitUnavailable: control is unreachable or has no quorum; nothing was changed,
	// and the change may be resent.
	ExitUnavailable = flags.ExitUnavailable
	// ExitOutcomeUnknown: the change may have been made. Resend it with the same
	// ID to find out.
	ExitOutcomeUnknown = flags.ExitOutcomeUnknown
	// ExitDenied: the token is unknown or lacks access, or control rejected a
	// membership change.
	ExitDenied = 7
	// ExitPending: the change was accepted, but was not in force everywhere
	// before the timeout.
	ExitPending = 8
	// ExitFault: an audit export is invalid.
	ExitFault = 9
)

// commands defines the flags and commands for kong.
type commands struct {
	LogLevel      string `help:"Least level that is logged." enum:"debug,info,warn,error" default:"info"`
	TraceEndpoint string `help:"URL of an OTLP/HTTP collector for spans."`
	TraceFile     string `help:"File to which spans are appended as JSON lines."`
	TraceOneIn    int    `help:"Keep one new trace in this many." default:"1"`

	Metrics flags.Address `help:"Address at which metrics are served; none if empty."`

	Router  RouterCommand  `cmd:"" help:"Take callers' requests and route them to targets."`
	Sidecar SidecarCommand `cmd:"" help:"Guard one target: admit, run and account for its work."`
	Control ControlCommand `cmd:"" help:"Replicate records, claims and orders."`
	Gate    GateCommand    `cmd:"" help:"On the platform: take callers' requests by the routing document."`
	Core    CoreCommand    `cmd:"" help:"On the platform: replicate the routing document and read the list of targets."`
	Check   CheckCommand   `cmd:"" help:"Check a settings file and routing documents of the platform."`
	Dev     DevCommand     `cmd:"" help:"Run a whole small fleet with stand-in targets in one process."`

	Apply   ApplyCommand   `cmd:"" help:"Create and amend records, all of a file or none."`
	Get     GetCommand     `cmd:"" help:"Show records."`
	Retire  RetireCommand  `cmd:"" help:"Take a record away."`
	Drain   DrainCommand   `cmd:"" help:"Plan the departure of a target or a VM: it takes no new work."`
	Undrain UndrainCommand `cmd:"" help:"Cancel a planned departure."`
	Status  StatusCommand  `cmd:"" help:"Show the state of the fleet."`
	Explain ExplainCommand `cmd:"" help:"Show how a request was decided."`
	Audit   AuditCommand   `cmd:"" help:"Export the audit log, or verify an export offline."`
	Member  MemberCommand  `cmd:"" help:"Change the control processes."`

	Verdicts VerdictsCommand `cmd:"" help:"Show the requests and parts of prompts that are held for crashes of targets."`
	Lift     LiftCommand     `cmd:"" help:"Forget the crashes held against a request or a part of prompts."`

	Evacuate    EvacuateCommand    `cmd:"" help:"On the platform: evacuate a failure domain. Its targets get no requests."`
	Readmit     ReadmitCommand     `cmd:"" help:"On the platform: end the evacuation of a failure domain."`
	Evacuations EvacuationsCommand `cmd:"" help:"On the platform: show the failure domains that are or were evacuated, and the requests in flight there."`

	Limits   LimitsCommand   `cmd:"" help:"Show the targets that limit their rates, and how much of the limits is used."`
	Software SoftwareCommand `cmd:"" help:"Show the software versions that services run."`

	Token TokenCommand `cmd:"" help:"Draw a bearer token of the administration API."`
	Keys  KeysCommand  `cmd:"" help:"Make certificates for the fleet."`

	Engine  EngineCommand  `cmd:"" help:"Run a stand-in model engine, for trials."`
	Service ServiceCommand `cmd:"" help:"Run a stand-in plain service, for trials."`
	Load    LoadCommand    `cmd:"" help:"Send chats to a router and print how they were answered."`
	Version VersionCommand `cmd:"" help:"Print the program's version."`
}

// commandEnv is passed to the Run method of each command.
type commandEnv struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
	cli    *commands
}

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	cli := new(commands)
	kongExitCode := -1
	parsed, err := flags.Parse(cli, args,
		kong.Description("A router fleet for returning chats."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { kongExitCode = code }),
	)
	if kongExitCode >= 0 {
		return kongExitCode
	}
	if err != nil {
		return reportError(err, stderr)
	}
	if err := serveMetrics(ctx, string(cli.Metrics)); err != nil {
		return reportError(err, stderr)
	}
	err = parsed.Run(&commandEnv{ctx: ctx, stdout: stdout, stderr: stderr, cli: cli})
	return reportError(err, stderr)
}

// exitCodeError is an error with an exit code.
type exitCodeError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitCodeError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitCodeError) Unwrap() error { return e.err }

// ExitCode returns the exit code.
func (e *exitCodeError) ExitCode() int { return e.code }

// reportError prints err, if not nil, and returns the exit code for it.
func reportError(err error, stderr io.Writer) int {
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "cactusline:", err)
	}
	return flags.ExitCode(err)
}
