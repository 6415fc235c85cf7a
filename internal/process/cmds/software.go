package cmds

import (
	"net/http"
	"strconv"

	"cactusline.dev/cactusline/internal/process/admin"
)

// SoftwareCommand shows the software versions that services run.
type SoftwareCommand struct {
	Client `embed:""`
}

// Run executes the command.
func (c *SoftwareCommand) Run(env *commandEnv) error {
	answer := new(admin.Software)
	if err := c.call(env, apiRequest{method: http.MethodGet, path: "/v1/software"}, answer); err != nil {
		return err
	}
	if c.Output == outputJSON {
		return printJSON(env, answer)
	}
	t := newTable("SERVICE", "VERSION", "TARGETS", "LEAVING")
	for _, s := range answer.Software {
		t.row(string(s.Service), string(s.Version), strconv.Itoa(s.Targets), strconv.Itoa(s.Leaving))
	}
	t.flush(env)
	return nil
}
