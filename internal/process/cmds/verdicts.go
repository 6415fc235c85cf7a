package cmds

import (
	"net/http"
	"net/url"
	"time"

	"cactusline.dev/cactusline/internal/process/admin"
)

// VerdictsCommand shows what is held of requests and parts of prompts for crashes.
type VerdictsCommand struct {
	Client `embed:""`
}

// Run executes the command.
func (c *VerdictsCommand) Run(env *commandEnv) error {
	answer := new(admin.Verdicts)
	if err := c.call(env, apiRequest{method: http.MethodGet, path: "/v1/verdicts"}, answer); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(env, answer)
	}
	t := newTable("FINGERPRINT", "OF", "VERDICT", "QUARANTINED UNTIL")
	for _, v := range answer.Verdicts {
		t.row(v.Fingerprint, subjectName(v.Part), v.Verdict, quarantineEnd(&v))
	}
	t.flush(env)
	return nil
}

// subjectName names what a verdict is on.
func subjectName(part string) string {
	if part == "" {
		return "request"
	}
	return "part " + part + " of prompts"
}

func quarantineEnd(v *admin.CrashVerdict) string {
	if v.Expires == nil {
		return ""
	}
	return v.Expires.Format(time.RFC3339)
}

// LiftCommand forgets the crashes that are held against a request or a part of prompts.
type LiftCommand struct {
	Client      `embed:""`
	changeFlags `embed:""`

	Fingerprint string `arg:"" help:"Fingerprint, as 'verdicts' shows it."`
}

// Run executes the command.
func (c *LiftCommand) Run(env *commandEnv) error {
	path := "/v1/verdicts/" + url.PathEscape(c.Fingerprint)
	return c.submit(env, &c.Client, apiRequest{method: http.MethodDelete, path: path})
}
