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

// StatusCommand shows the state of the fleet.
type StatusCommand struct {
	Client `embed:""`
}

// Run implements the command.
func (c *StatusCommand) Run(s *scope) error {
	status := new(admin.Status)
	if err := c.call(s, request{method: http.MethodGet, path: "/v1/status"}, status); err != nil {
		return err
	}
	if c.Output == outputJSON {
		return printJSON(s, status)
	}
	return printStatus(s, status)
}

// ExplainCommand shows how a request was decided: by the records that control
// keeps, or by the log files of processes.
type ExplainCommand struct {
	Client `embed:""`

	Request string   `arg:"" help:"Id of the request, as the router's answer gave it."`
	Logs    []string `arg:"" optional:"" help:"Log files of the processes, read in place of control's records." type:"existingfile"`
}

// Run implements the command.
func (c *ExplainCommand) Run(s *scope) error {
	if len(c.Logs) > 0 {
		return c.fromLogs(s)
	}
	explanation := new(admin.Explanation)
	path := "/v1/requests/" + url.PathEscape(c.Request)
	if err := c.call(s, request{method: http.MethodGet, path: path}, explanation); err != nil {
		return err
	}
	if c.Output == outputJSON {
		return printJSON(s, explanation)
	}
	return printExplanation(s, explanation)
}

// fromLogs merges the lines of log files into one account of the request.
func (c *ExplainCommand) fromLogs(s *scope) error {
	var all []recap.Line
	for _, path := range c.Logs {
		file, err := os.Open(path)
		if err != nil {
			return usage(fmt.Errorf("log: %w", err))
		}
		lines, _, err := recap.Read(file)
		if err = errors.Join(err, file.Close()); err != nil {
			return fmt.Errorf("log %s: %w", path, err)
		}
		all = append(all, lines...)
	}
	report, err := recap.Explain(c.Request, all)
	if err != nil {
		return &codedError{code: ExitNotFound, err: err}
	}
	if c.Output == outputJSON {
		return printJSON(s, report)
	}
	return report.Write(s.stdout)
}

// AuditCommand groups what concerns the audit log.
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

// Run implements the command.
func (c *AuditExportCommand) Run(s *scope) error {
	query := url.Values{"after": {strconv.FormatUint(c.After, 10)}}
	if c.Stale {
		query.Set("stale", "true")
	}
	data, err := c.send(s, request{method: http.MethodGet, path: "/v1/audit", query: query})
	if err != nil {
		return err
	}
	if c.File == "" {
		_, err = s.stdout.Write(data)
		return err
	}
	file, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, exportMode)
	if err != nil {
		return usage(fmt.Errorf("--file: %w", err))
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

const exportMode = 0o600

// AuditVerifyCommand verifies exports offline.
type AuditVerifyCommand struct {
	File   []string `arg:"" help:"Files of one export, in order." type:"existingfile"`
	Head   string   `help:"Entry that the export must hold, as INDEX:HASH from status or an earlier verification."`
	Output string   `help:"Form of the answer." enum:"table,json" default:"table"`
}

// Run implements the command.
func (c *AuditVerifyCommand) Run(s *scope) error {
	known, err := parseHead(c.Head)
	if err != nil {
		return usage(fmt.Errorf("--head: %w", err))
	}
	var parts []io.Reader
	for _, path := range c.File {
		file, err := os.Open(path)
		if err != nil {
			return usage(err)
		}
		defer func() { _ = file.Close() }()
		parts = append(parts, file)
	}
	report, err := audit.Verifier{KnownHead: known}.Verify(io.MultiReader(parts...))
	if err != nil {
		return fmt.Errorf("verify: %w", err)
	}
	return c.print(s, &report)
}

func (c *AuditVerifyCommand) print(s *scope, report *audit.Report) error {
	if c.Output == outputJSON {
		if err := printJSON(s, report); err != nil {
			return err
		}
	} else if report.Fault == nil {
		_, _ = fmt.Fprintf(s.stdout, "%d entries from %d on are sound; head %d:%s\n",
			report.Entries, report.First, report.Head.Index, report.Head.Hash)
	}
	if fault := report.Fault; fault != nil {
		return &codedError{code: ExitFault, err: fmt.Errorf(
			"line %d, entry %d: %s; %d entries before it are sound", fault.Line, fault.Index, fault.Problem, report.Entries)}
	}
	return nil
}

// parseHead reads INDEX:HASH.
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

// MemberCommand groups the changes of the control processes.
type MemberCommand struct {
	Add      MemberAddCommand      `cmd:"" help:"Make a control process that asks to join a voter."`
	Remove   MemberRemoveCommand   `cmd:"" help:"Take a control process out."`
	Replace  MemberReplaceCommand  `cmd:"" help:"Put a control process that asks to join in the place of another."`
	Transfer MemberTransferCommand `cmd:"" help:"Hand leadership to a control process."`
}

// memberPatience bounds a change of members, in which a newcomer catches up.
const memberPatience = 5 * time.Minute

// changeMember makes a change of members and says so.
func (c *Client) changeMember(s *scope, change ctrl.MemberChange) error {
	body, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("encode change: %w", err)
	}
	r := request{method: http.MethodPost, path: "/v1/members/" + string(change.Verb), body: body, within: memberPatience}
	var done ctrl.MemberChange
	if err := c.call(s, r, &done); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.stdout, "member %s %s: done\n", change.Verb, strings.TrimSpace(change.Old+" "+change.New))
	return err
}

// MemberAddCommand adds a member.
type MemberAddCommand struct {
	Client `embed:""`

	VM string `arg:"" help:"VM, or identity, that asks to join."`
}

// Run implements the command.
func (c *MemberAddCommand) Run(s *scope) error {
	return c.changeMember(s, ctrl.MemberChange{Verb: ctrl.MemberAdd, New: c.VM})
}

// MemberRemoveCommand removes a member.
type MemberRemoveCommand struct {
	Client `embed:""`

	VM string `arg:"" help:"VM, or identity, of the member."`
}

// Run implements the command.
func (c *MemberRemoveCommand) Run(s *scope) error {
	return c.changeMember(s, ctrl.MemberChange{Verb: ctrl.MemberRemove, Old: c.VM})
}

// MemberReplaceCommand replaces a member.
type MemberReplaceCommand struct {
	Client `embed:""`

	Old string `arg:"" help:"VM, or identity, of the member that goes."`
	New string `arg:"" help:"VM, or identity, that asks to join."`
}

// Run implements the command.
func (c *MemberReplaceCommand) Run(s *scope) error {
	return c.changeMember(s, ctrl.MemberChange{Verb: ctrl.MemberReplace, Old: c.Old, New: c.New})
}

// MemberTransferCommand hands leadership over.
type MemberTransferCommand struct {
	Client `embed:""`

	VM string `arg:"" help:"VM, or identity, of the member that shall lead."`
}

// Run implements the command.
func (c *MemberTransferCommand) Run(s *scope) error {
	return c.changeMember(s, ctrl.MemberChange{Verb: ctrl.MemberTransfer, New: c.VM})
}
