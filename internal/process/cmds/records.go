package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"cactusline.dev/cactusline/internal/process/admin"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// changeFlags are the flags of all commands that make a change.
type changeFlags struct {
	Change  ident.ChangeID `help:"Id of the change; give the printed one again to resend it. Drawn if empty."`
	Wait    bool           `help:"Return once the change is in force everywhere."`
	Timeout time.Duration  `help:"How long --wait waits." default:"30s"`
}

// submit sends a change, with a new ID unless one is given, and prints the answer.
func (f *changeFlags) submit(env *commandEnv, client *Client, r apiRequest) error {
	if f.Change == "" {
		f.Change = newChangeID()
		_, _ = fmt.Fprintf(env.stderr, "change %s\n", f.Change)
	}
	r.change = f.Change
	if f.Wait {
		if r.query == nil {
			r.query = url.Values{}
		}
		r.query.Set("wait", f.Timeout.String())
		r.extraTimeout = f.Timeout
	}
	answer := new(admin.ChangeResult)
	if err := client.call(env, r, answer); err != nil {
		return err
	}
	return client.printChangeResult(env, answer)
}

// ApplyCommand creates and updates records.
type ApplyCommand struct {
	Client      `embed:""`
	changeFlags `embed:""`

	File []string `short:"f" help:"Files of records, - for standard input; all of them are one change." required:""`
}

// Run executes the command.
func (c *ApplyCommand) Run(env *commandEnv) error {
	records, err := readRecords(c.File)
	if err != nil {
		return usageError(err)
	}
	body, err := json.Marshal(records)
	if err != nil {
		return fmt.Errorf("encode records: %w", err)
	}
	return c.submit(env, &c.Client, apiRequest{method: http.MethodPost, path: "/v1/records", body: body})
}

// readRecords reads the records of all files. Its error includes the faults of all of
// them.
func readRecords(paths []string) ([]*record.Record, error) {
	var records []*record.Record
	faults := new(record.Faults)
	for _, path := range paths {
		part, err := readRecordFile(path)
		if err := collectFaults(faults, err); err != nil {
			return nil, err
		}
		records = append(records, part...)
	}
	if len(faults.List) > 0 {
		return nil, faults
	}
	return records, nil
}

func readRecordFile(path string) ([]*record.Record, error) {
	if path == "-" {
		return record.ReadFile("standard input", os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("-f: %w", err)
	}
	defer func() { _ = file.Close() }()
	return record.ReadFile(path, file)
}

// GetCommand prints records.
type GetCommand struct {
	Client `embed:""`

	Key   string `arg:"" optional:"" help:"KIND or KIND/NAME; all records if left out."`
	Stale bool   `help:"Show what one control process has, without asking a quorum."`
	New   bool   `help:"Print a file of records that creates them in a fresh fleet."`
}

// Run executes the command.
func (c *GetCommand) Run(env *commandEnv) error {
	query := url.Values{}
	if c.Stale {
		query.Set("stale", "true")
	}
	if strings.Contains(c.Key, "/") {
		return c.printOne(env, query)
	}
	if c.Key != "" {
		query.Set("kind", c.Key)
	}
	var list struct {
		Revision ident.Revision
		Records  []json.RawMessage
	}
	if err := c.call(env, apiRequest{method: http.MethodGet, path: "/v1/records", query: query}, &list); err != nil {
		return err
	}
	if c.New {
		return printForCreation(env, list.Records)
	}
	if c.Output == outputJSON {
		return printJSON(env, list)
	}
	return printRecords(env, list.Records)
}

// printOne prints one record, in the form in which it may be applied again.
func (c *GetCommand) printOne(env *commandEnv, query url.Values) error {
	path, err := recordPath(c.Key)
	if err != nil {
		return usageError(err)
	}
	var r json.RawMessage
	if err := c.call(env, apiRequest{method: http.MethodGet, path: path, query: query}, &r); err != nil {
		return err
	}
	return printJSON(env, r)
}

// recordPath returns the API path of the record KIND/NAME.
func recordPath(text string) (string, error) {
	key, err := record.ParseKey(text)
	if err != nil {
		return "", fmt.Errorf("record: %w", err)
	}
	parts := strings.Split(key.Name, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return "/v1/records/" + url.PathEscape(string(key.Kind)) + "/" + strings.Join(parts, "/"), nil
}

// RetireCommand deletes a record.
type RetireCommand struct {
	Client      `embed:""`
	changeFlags `embed:""`

	Key string `arg:"" help:"KIND/NAME."`
	// Version is a pointer to distinguish 0 from an unset flag.
	Version *uint64 `help:"Version to retire; the one that stands if left out. A resend must name it."`
}

// Run executes the command.
func (c *RetireCommand) Run(env *commandEnv) error {
	path, err := recordPath(c.Key)
	if err != nil {
		return usageError(err)
	}
	if c.Version == nil {
		var header record.Header
		if err := c.call(env, apiRequest{method: http.MethodGet, path: path}, &header); err != nil {
			return err
		}
		version := uint64(header.Version)
		c.Version = &version
		_, _ = fmt.Fprintf(env.stderr, "version %d\n", version)
	}
	query := url.Values{"version": {strconv.FormatUint(*c.Version, 10)}}
	return c.submit(env, &c.Client, apiRequest{method: http.MethodDelete, path: path, query: query})
}

// departure selects what departs: a target, or all targets of a VM.
type departure struct {
	Target string `arg:"" optional:"" help:"Target."`
	VM     string `name:"vm" help:"VM; all its targets."`
}

// path returns the API path of a verb for the selected target or VM.
func (d *departure) path(verb string) (string, error) {
	switch {
	case (d.Target == "") == (d.VM == ""):
		return "", usageError(fmt.Errorf("either a target or --vm must be set"))
	case d.VM != "":
		return "/v1/vms/" + url.PathEscape(d.VM) + "/" + verb, nil
	}
	return "/v1/targets/" + url.PathEscape(d.Target) + "/" + verb, nil
}

// DrainCommand drains a target or a VM: it plans their departure.
type DrainCommand struct {
	Client      `embed:""`
	changeFlags `embed:""`
	departure   `embed:""`

	Reason string `help:"Why, for the record."`
}

// Run executes the command.
func (c *DrainCommand) Run(env *commandEnv) error {
	path, err := c.path("drain")
	if err != nil {
		return err
	}
	query := url.Values{"reason": {c.Reason}}
	return c.submit(env, &c.Client, apiRequest{method: http.MethodPost, path: path, query: query})
}

// UndrainCommand cancels a planned departure.
type UndrainCommand struct {
	Client      `embed:""`
	changeFlags `embed:""`
	departure   `embed:""`
}

// Run executes the command.
func (c *UndrainCommand) Run(env *commandEnv) error {
	path, err := c.path("undrain")
	if err != nil {
		return err
	}
	return c.submit(env, &c.Client, apiRequest{method: http.MethodPost, path: path})
}

// collectFaults appends the faults in err to faults, and returns any other error.
func collectFaults(faults *record.Faults, err error) error {
	if err == nil {
		return nil
	}
	list, ok := asFaults(err)
	if !ok {
		return err
	}
	faults.List = append(faults.List, list...)
	return nil
}

// asFaults returns the faults in err and reports whether it holds any.
func asFaults(err error) ([]record.Fault, bool) {
	var faults *record.Faults
	if errors.As(err, &faults) {
		return faults.List, true
	}
	return nil, false
}
