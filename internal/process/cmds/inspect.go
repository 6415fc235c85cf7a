package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"cactusline.dev/cactusline/internal/process/admin"
	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/request/recap"
)

// StatusCommand prints the state of the fleet.
type StatusCommand struct {
	Client `embed:""`
}

// Run executes the command.
func (c *StatusCommand) Run(env *commandEnv) error {
	status := new(admin.Status)
	if err := c.call(env, apiRequest{method: http.MethodGet, path: "/v1/status"}, status); err != nil {
		return err
	}
	if c.Output == outputJSON {
		return printJSON(env, status)
	}
	return printStatus(env, status)
}

// ExplainCommand prints the decisions about a request, from the decision records that
// control stores or from the processes' log files.
type ExplainCommand struct {
	Client `embed:""`

	Request string   `arg:"" help:"Id of the request, as the router's answer gave it."`
	Logs    []string `arg:"" optional:"" help:"Log files of the processes, read in place of control's records." type:"existingfile"`
}

// Run executes the command.
func (c *ExplainCommand) Run(env *commandEnv) error {
	if len(c.Logs) > 0 {
		return c.explainFromLogs(env)
	}
	explanation := new(admin.Explanation)
	path := "/v1/requests/" + url.PathEscape(c.Request)
	if err := c.call(env, apiRequest{method: http.MethodGet, path: path}, explanation); err != nil {
		return err
	}
	if c.Output == outputJSON {
		return printJSON(env, explanation)
	}
	return printExplanation(env, explanation)
}

// explainFromLogs prints a report of the request from the merged lines of log files.
func (c *ExplainCommand) explainFromLogs(env *commandEnv) error {
	var all []recap.Line
	for _, path := range c.Logs {
		file, err := os.Open(path)
		if err != nil {
			return usageError(fmt.Errorf("log: %w", err))
		}
		lines, _, err := recap.Read(file)
		if err = errors.Join(err, file.Close()); err != nil {
			return fmt.Errorf("log %s: %w", path, err)
		}
		all = append(all, lines...)
	}
	report, err := recap.Explain(c.Request, all)
	if err != nil {
		return &exitCodeError{code: ExitNotFound, err: err}
	}
	if c.Output == outputJSON {
		return printJSON(env, report)
	}
	return report.Write(env.stdout)
}

// AuditCommand groups the commands for the audit log.
type AuditCommand struct {
	Export AuditExportCommand `cmd:"" help:"Write the audit log as JSON lines."`
	Verify AuditVerifyCommand `cmd:"" help:"Verify an export offline."`
}

// AuditExportCommand writes the audit log as JSON lines.
type AuditExportCommand struct {
	Client `embed:""`

	After uint64 `help:"Leave out entries up to this index."`
	Stale bool   `help:"Write what one control process has, without asking a quorum."`
	File  string `help:"File to write; it must not exist. Standard output if empty." type:"path"`
}

// Run executes the command.
func (c *AuditExportCommand) Run(env *commandEnv) error {
	query := url.Values{"after": {strconv.FormatUint(c.After, 10)}}
	if c.Stale {
		query.Set("stale", "true")
	}
	data, err := c.send(env, apiRequest{method: http.MethodGet, path: "/v1/audit", query: query})
	if err != nil {
		return err
	}
	if c.File == "" {
		_, err = env.stdout.Write(data)
		return err
	}
	file, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, dataFileMode)
	if err != nil {
		return usageError(fmt.Errorf("--file: %w", err))
	}
	_, err = file.Write(data)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", c.File, err)
	}
	return nil
}

// dataFileMode is the mode of audit exports and of the file of the disk check.
const dataFileMode = 0o600

// AuditVerifyCommand verifies exports offline.
type AuditVerifyCommand struct {
	File   []string `arg:"" help:"Files of one export, in order." type:"existingfile"`
	Head   string   `help:"Entry that the export must hold, as INDEX:HASH from status or an earlier verification."`
	Output string   `help:"Form of the answer." enum:"table,json" default:"table"`
}

// Run executes the command.
func (c *AuditVerifyCommand) Run(env *commandEnv) error {
	known, err := parseHead(c.Head)
	if err != nil {
		return usageError(fmt.Errorf("--head: %w", err))
	}
	var files []io.Reader
	for _, path := range c.File {
		file, err := os.Open(path)
		if err != nil {
			return usageError(err)
		}
		defer func() { _ = file.Close() }()
		files = append(files, file)
	}
	report, err := audit.Verifier{KnownHead: known}.Verify(io.MultiReader(files...))
	if err != nil {
		return fmt.Errorf("verify: %w", err)
	}
	return c.print(env, &report)
}

func (c *AuditVerifyCommand) print(env *commandEnv, report *audit.Report) error {
	if c.Output == outputJSON {
		if err := printJSON(env, report); err != nil {
			return err
		}
	} else if report.Fault == nil {
		_, _ = fmt.Fprintf(env.stdout, "%d entries from %d on are sound; head %d:%s\n",
			report.Entries, report.First, report.Head.Index, report.Head.Hash)
	}
	if fault := report.Fault; fault != nil {
		return &exitCodeError{code: ExitFault, err: fmt.Errorf(
			"line %d, entry %d: %s; the %d entries before it are valid", fault.Line, fault.Index, fault.Problem, report.Entries)}
	}
	return nil
}

// parseHead parses INDEX:HASH. The empty string gives the zero Head.
func parseHead(text string) (audit.Head, error) {
	var head audit.Head
	if text == "" {
		return head, nil
	}
	index, hash, _ := strings.Cut(text, ":")
	var err error
	if head.Index, err = strconv.ParseUint(index, 10, 64); err != nil {
		return head, fmt.Errorf("index: %w", err)
	}
	return head, head.Hash.UnmarshalText([]byte(hash))
}

// MemberCommand groups the commands that change the members of control.
type MemberCommand struct {
	Add      MemberAddCommand      `cmd:"" help:"Make a control process that asks to join a voter."`
	Remove   MemberRemoveCommand   `cmd:"" help:"Take a control process out."`
	Replace  MemberReplaceCommand  `cmd:"" help:"Put a control process that asks to join in the place of another."`
	Transfer MemberTransferCommand `cmd:"" help:"Hand leadership to a control process."`
}

// memberChangeTimeout bounds a membership change, during which a new member catches
// up with the log.
const memberChangeTimeout = 5 * time.Minute

// changeMember makes a membership change and prints that it is done.
func (c *Client) changeMember(env *commandEnv, change ctrl.MemberChange) error {
	body, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("encode change: %w", err)
	}
	r := apiRequest{method: http.MethodPost, path: "/v1/members/" + string(change.Verb), body: body, extraTimeout: memberChangeTimeout}
	var done ctrl.MemberChange
	if err := c.call(env, r, &done); err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.stdout, "member %s %s: done\n", change.Verb, strings.TrimSpace(change.Old+" "+change.New))
	return err
}

// MemberAddCommand adds a control process as a voter.
type MemberAddCommand struct {
	Client `embed:""`

	VM string `arg:"" help:"VM, or identity, that asks to join."`
}

// Run executes the command.
func (c *MemberAddCommand) Run(env *commandEnv) error {
	return c.changeMember(env, ctrl.MemberChange{Verb: ctrl.MemberAdd, New: c.VM})
}

// MemberRemoveCommand removes a control process.
type MemberRemoveCommand struct {
	Client `embed:""`

	VM string `arg:"" help:"VM, or identity, of the member."`
}

// Run executes the command.
func (c *MemberRemoveCommand) Run(env *commandEnv) error {
	return c.changeMember(env, ctrl.MemberChange{Verb: ctrl.MemberRemove, Old: c.VM})
}

// MemberReplaceCommand replaces a control process by another.
type MemberReplaceCommand struct {
	Client `embed:""`

	Old string `arg:"" help:"VM, or identity, of the member that goes."`
	New string `arg:"" help:"VM, or identity, that asks to join."`
}

// Run executes the command.
func (c *MemberReplaceCommand) Run(env *commandEnv) error {
	return c.changeMember(env, ctrl.MemberChange{Verb: ctrl.MemberReplace, Old: c.Old, New: c.New})
}

// MemberTransferCommand transfers leadership to a control process.
type MemberTransferCommand struct {
	Client `embed:""`

	VM string `arg:"" help:"VM, or identity, of the member that shall lead."`
}

// Run executes the command.
func (c *MemberTransferCommand) Run(env *commandEnv) error {
	return c.changeMember(env, ctrl.MemberChange{Verb: ctrl.MemberTransfer, New: c.VM})
}
