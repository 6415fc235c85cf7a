package cmds

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cactusline.dev/cactusline/internal/process/admin"
	"cactusline.dev/cactusline/internal/process/ctrl"
)

// EvacuationsCommand shows the failure domains that were evacuated.
type EvacuationsCommand struct {
	Client `embed:""`
}

// Run executes the command.
func (c *EvacuationsCommand) Run(env *commandEnv) error {
	return c.callEvacuations(env, apiRequest{method: http.MethodGet, path: "/v1/evacuations"})
}

// EvacuateCommand begins the evacuation of a failure domain. It may be repeated.
type EvacuateCommand struct {
	Client `embed:""`

	Domain string `arg:"" help:"The failure domain."`
}

// Run executes the command.
func (c *EvacuateCommand) Run(env *commandEnv) error {
	return c.callEvacuations(env, apiRequest{method: http.MethodPost, path: evacuationPath(c.Domain)})
}

// ReadmitCommand ends the evacuation of a failure domain. It may be repeated.
type ReadmitCommand struct {
	Client `embed:""`

	Domain string `arg:"" help:"The failure domain."`
}

// Run executes the command.
func (c *ReadmitCommand) Run(env *commandEnv) error {
	return c.callEvacuations(env, apiRequest{method: http.MethodDelete, path: evacuationPath(c.Domain)})
}

func evacuationPath(domain string) string { return "/v1/evacuations/" + url.PathEscape(domain) }

// callEvacuations sends a request that is answered with the evacuations, and prints them.
func (c *Client) callEvacuations(env *commandEnv, r apiRequest) error {
	answer := new(admin.Evacuations)
	if err := c.call(env, r, answer); err != nil {
		return err
	}
	if c.Output == outputJSON {
		return printJSON(env, answer)
	}
	printEvacuations(env, answer.Evacuations)
	return nil
}

// printEvacuations prints the failure domains for which there was an order.
func printEvacuations(env *commandEnv, evacuations []ctrl.DomainEvacuation) {
	t := newTable("DOMAIN", "STATE", "SINCE", "BY", "IN FLIGHT")
	for _, e := range evacuations {
		state := "readmitted"
		if e.Evacuated {
			state = "evacuated"
		}
		t.row(string(e.Domain), state, e.Since.Format(time.RFC3339), e.Actor, strconv.Itoa(e.InFlight))
	}
	t.flush(env)
}
