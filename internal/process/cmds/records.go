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

// changeFlags are the flags of all verbs that change something.
type changeFlags struct {
	Change  ident.ChangeID `help:"Id of the change; give the printed one again to resend it. Drawn if empty."`
	Wait    bool           `help:"Return once the change is in force everywhere."`
	Timeout time.Duration  `help:"How long --wait waits." default:"30s"`
}

// submit draws the id if need be, makes the change and prints the answer.
func (f *changeFlags) submit(s *scope, client *Client, r request) error {
	if f.Change == "" {
		f.Change = newChange()
		_, _ = fmt.Fprintf(s.stderr, "change %s\n", f.Change)
	}
	r.change = f.Change
	if f.Wait {
		if r.query == nil {
			r.query = url.Values{}
		}
		r.query.Set("wait", f.Timeout.String())
		r.within = f.Timeout
	}
	answer := new(admin.ChangeResult)
	if err := client.call(s, r, answer); err != nil {
		return err
	}
	return client.printAccepted(s, answer)
}

// ApplyCommand creates and amends records.
type ApplyCommand struct {
	Client      `embed:""`
	changeFlags `embed:""`

	File []string `short:"f" help:"Files of records, - for standard input; all of them are one change." required:""`
}

// Run implements the command.
func (c *ApplyCommand) Run(s *scope) error {
	records, err := readRecords(c.File)
	if err != nil {
		return usage(err)
	}
	body, err := json.Marshal(records)
	if err != nil {
		return fmt.Errorf("encode records: %w", err)
	}
	return c.submit(s, &c.Client, request{method: http.MethodPost, path: "/v1/records", body: body})
}

// readRecords reads all files and reports the faults of all of them.
func readRecords(paths []string) ([]*record.Record, error) {
	var records []*record.Record
	faults := new(record.Faults)
	for _, path := range paths {
		part, err := readFile(path)
		if err := collect(faults, err); err != nil {
			return nil, err
		}
		records = append(records, part...)
	}
	if len(faults.List) > 0 {
		return nil, faults
	}
	return records, nil
}

func readFile(path string) ([]*record.Record, error) {
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

// GetCommand shows records.
type GetCommand struct {
	Client `embed:""`

	Key   string `arg:"" optional:"" help:"KIND or KIND/NAME; all records if left out."`
	Stale bool   `help:"Show what one control process has, without asking a quorum."`
	New   bool   `help:"Print a file of records that creates them in a fresh fleet."`
}

// Run implements the command.
func (c *GetCommand) Run(s *scope) error {
	query := url.Values{}
	if c.Stale {
		query.Set("stale", "true")
	}
	if strings.Contains(c.Key, "/") {
		return c.one(s, query)
	}
	if c.Key != "" {
		query.Set("kind", c.Key)
	}
	var list struct {
		Revision ident.Revision
		Records  []json.RawMessage
	}
	if err := c.call(s, request{method: http.MethodGet, path: "/v1/records", query: query}, &list); err != nil {
		return err
	}
	if c.New {
		return printNew(s, list.Records)
	}
	if c.Output == outputJSON {
		return printJSON(s, list)
	}
	return printRecords(s, list.Records)
}

// one shows one record, in the form in which it may be applied again.
func (c *GetCommand) one(s *scope, query url.Values) error {
	path, err := recordPath(c.Key)
	if err != nil {
		return usage(err)
	}
	var r json.RawMessage
	if err := c.call(s, request{method: http.MethodGet, path: path, query: query}, &r); err != nil {
		return err
	}
	return printJSON(s, r)
}

// recordPath returns the path of a record in the API.
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

// RetireCommand takes a record away.
type RetireCommand struct {
	Client      `embed:""`
	changeFlags `embed:""`

	Key string `arg:"" help:"KIND/NAME."`
	// Version is a pointer so that 0 can be told from none.
	Version *uint64 `help:"Version to retire; the one that stands if left out. A resend must name it."`
}

// Run implements the command.
func (c *RetireCommand) Run(s *scope) error {
	path, err := recordPath(c.Key)
	if err != nil {
		return usage(err)
	}
	if c.Version == nil {
		var header record.Header
		if err := c.call(s, request{method: http.MethodGet, path: path}, &header); err != nil {
			return err
		}
		version := uint64(header.Version)
		c.Version = &version
		_, _ = fmt.Fprintf(s.stderr, "version %d\n", version)
	}
	query := url.Values{"version": {strconv.FormatUint(*c.Version, 10)}}
	return c.submit(s, &c.Client, request{method: http.MethodDelete, path: path, query: query})
}

// departure names what departs.
type departure struct {
	Target string `arg:"" optional:"" help:"Target."`
	VM     string `name:"vm" help:"VM; all its targets."`
}

// path returns the path of a departure in the API.
func (d *departure) path(verb string) (string, error) {
	switch {
	case (d.Target == "") == (d.VM == ""):
		return "", usage(fmt.Errorf("name either a target or --vm"))
	case d.VM != "":
		return "/v1/vms/" + url.PathEscape(d.VM) + "/" + verb, nil
	}
	return "/v1/targets/" + url.PathEscape(d.Target) + "/" + verb, nil
}

// DrainCommand plans a departure.
type DrainCommand struct {
	Client      `embed:""`
	changeFlags `embed:""`
	departure   `embed:""`

	Reason string `help:"Why, for the record."`
}

// Run implements the command.
func (c *DrainCommand) Run(s *scope) error {
	path, err := c.path("drain")
	if err != nil {
		return err
	}
	query := url.Values{"reason": {c.Reason}}
	return c.submit(s, &c.Client, request{method: http.MethodPost, path: path, query: query})
}

// UndrainCommand cancels a departure.
type UndrainCommand struct {
	Client      `embed:""`
	changeFlags `embed:""`
	departure   `embed:""`
}

// Run implements the command.
func (c *UndrainCommand) Run(s *scope) error {
	path, err := c.path("undrain")
	if err != nil {
		return err
	}
	return c.submit(s, &c.Client, request{method: http.MethodPost, path: path})
}

// collect moves the faults in an error to a list and returns any other error.
func collect(faults *record.Faults, err error) error {
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

// asFaults returns the faults in an error.
func asFaults(err error) ([]record.Fault, bool) {
	var faults *record.Faults
	if errors.As(err, &faults) {
		return faults.List, true
	}
	return nil, false
}
