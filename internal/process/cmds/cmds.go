// Package cmds is the command line: the roles of the fleet and the operator's
// verbs, with their settings in flags and environment variables.
package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"cactusline.dev/cactusline/internal/process/flags"
)

// Exit codes, those of package flags among them.
const (
	ExitOK     = flags.ExitOK
	ExitFailed = flags.ExitFailed
	// ExitUsage: flags, settings or records are at fault; nothing was changed.
	ExitUsage    = flags.ExitUsage
	ExitNotFound = flags.ExitNotFound
	// ExitConflict: a record moved on, or a change id was used before; nothing
	// was changed.
	ExitConflict = flags.ExitConflict
	// ExitRefused: control was not reached or has no quorum; nothing was
	// changed, and the change may be sent again.
	ExitRefused = flags.ExitRefused
	// ExitUnknown: the change may have been made; a resend tells.
	ExitUnknown = flags.ExitUnknown
	// ExitDenied: the token is not known or allows too little, or the members
	// of control can't be changed so.
	ExitDenied = 7
	// ExitPending: the change was accepted but was not in force everywhere in
	// time.
	ExitPending = 8
	// ExitFault: an audit export is not sound.
	ExitFault = 9
)

// commands is the whole command line.
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

	Token TokenCommand `cmd:"" help:"Draw a bearer token of the administration API."`
	Keys  KeysCommand  `cmd:"" help:"Make certificates for the fleet."`

	Engine  EngineCommand  `cmd:"" help:"Run a stand-in model engine, for trials."`
	Service ServiceCommand `cmd:"" help:"Run a stand-in plain service, for trials."`
	Load    LoadCommand    `cmd:"" help:"Send chats to a router and print how they were answered."`
	Version VersionCommand `cmd:"" help:"Print the program's version."`
}

// scope is what commands get to work with.
type scope struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
	cli    *commands
}

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	cli := new(commands)
	exited := -1
	parsed, err := flags.Parse(cli, args,
		kong.Description("A router fleet for returning chats."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exited = code }),
	)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		return exitCode(err, stderr)
	}
	if err := serveMetrics(ctx, string(cli.Metrics)); err != nil {
		return exitCode(err, stderr)
	}
	err = parsed.Run(&scope{ctx: ctx, stdout: stdout, stderr: stderr, cli: cli})
	return exitCode(err, stderr)
}

// codedError is an error with an exit code of its own.
type codedError struct {
	code int
	err  error
}

// Error implements error.
func (e *codedError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *codedError) Unwrap() error { return e.err }

// ExitCode returns the code.
func (e *codedError) ExitCode() int { return e.code }

func exitCode(err error, stderr io.Writer) int {
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "cactusline:", err)
	}
	return flags.ExitCode(err)
}
