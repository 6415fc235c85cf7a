package cmds

import (
	"net/http"
	"strconv"

	"cactusline.dev/cactusline/internal/process/admin"
)

// LimitsCommand shows the rates that targets accept.
type LimitsCommand struct {
	Client `embed:""`
}

// Run executes the command.
func (c *LimitsCommand) Run(env *commandEnv) error {
	answer := new(admin.Limits)
	if err := c.call(env, apiRequest{method: http.MethodGet, path: "/v1/limits"}, answer); err != nil {
		return err
	}
	if c.Output == outputJSON {
		return printJSON(env, answer)
	}
	t := newTable("TARGET", "REQUESTS A SECOND", "COLD", "GRANTED", "REFUSED", "GRANTED BY")
	for _, limit := range answer.Limits {
		t.row(
			string(limit.Target), strconv.FormatFloat(float64(limit.Rate), 'g', -1, 64), strconv.FormatBool(limit.Cold),
			strconv.FormatUint(limit.Granted, 10), strconv.FormatUint(limit.Refused, 10), string(limit.Leader),
		)
	}
	t.flush(env)
	return nil
}
