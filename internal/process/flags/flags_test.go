package flags_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/flags"
)

type settings struct {
	Router struct {
		Listen  flags.Address    `required:""`
		Control []flags.Endpoint `required:""`
		Wait    time.Duration    `default:"5s" min:"1s" max:"1m"`
		Batch   int              `default:"3" min:"1"`
		Level   string           `default:"info" enum:"info,warn"`
		Token   flags.File       `secret:""`
		Name    string           `required:""`
	} `cmd:""`
	Other struct {
		Wait time.Duration `default:"1h"`
	} `cmd:""`
}

func TestParse(t *testing.T) {
	token := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(token, nil, 0o600))
	t.Setenv("CACTUSLINE_LISTEN", "127.0.0.1:80")
	var s settings
	ctx, err := flags.Parse(&s, []string{"router", "--control=a=[::1]:1,b=10.0.0.1:2", "--name=r", "--token", token})
	assert.NilError(t, err)
	assert.Equal(t, ctx.Command(), "router")
	assert.Equal(t, s.Router.Listen, flags.Address("127.0.0.1:80"))
	assert.DeepEqual(t, s.Router.Control, []flags.Endpoint{{Name: "a", Address: "[::1]:1"}, {Name: "b", Address: "10.0.0.1:2"}})
	assert.Equal(t, s.Router.Wait, 5*time.Second)
}

func TestParseReportsAllFaults(t *testing.T) {
	t.Setenv("CACTUSLINE_WAIT", "2h")
	t.Setenv("CACTUSLINE_BATCH", "many")
	var s settings
	_, err := flags.Parse(&s, []string{"router", "--listen=localhost", "--control=a=10.0.0.1:2,b", "--level=loud", "--token=/no/such"})
	var settingsErr *flags.SettingsError
	assert.Assert(t, errors.As(err, &settingsErr), "%v", err)
	assert.DeepEqual(t, settingsErr.Faults, []flags.Fault{
		{Flag: "--listen", Env: "CACTUSLINE_LISTEN", Value: "localhost", Allowed: "an IP address and a port, such as 10.0.0.1:7000"},
		{Flag: "--control", Env: "CACTUSLINE_CONTROL", Value: "a=10.0.0.1:2,b", Allowed: "NAME=ADDRESS, such as c1=10.0.0.1:7000, comma-separated"},
		{Flag: "--wait", Env: "CACTUSLINE_WAIT", Value: "2h", Allowed: "a duration such as 1.5s, at least 1s, at most 1m"},
		{Flag: "--batch", Env: "CACTUSLINE_BATCH", Value: "many", Allowed: "int, at least 1"},
		{Flag: "--level", Env: "CACTUSLINE_LEVEL", Value: "loud", Allowed: "one of info,warn"},
		{Flag: "--token", Env: "CACTUSLINE_TOKEN", Value: "[redacted]", Allowed: "the path of a file that exists"},
		{Flag: "--name", Env: "CACTUSLINE_NAME", Value: "", Allowed: "string"},
	})
	assert.Equal(t, flags.ExitCode(fmt.Errorf("start: %w", err)), flags.ExitUsage)
}

func TestParseIgnoresSettingsOfOtherCommands(t *testing.T) {
	t.Setenv("CACTUSLINE_WAIT", "2h")
	var s settings
	_, err := flags.Parse(&s, []string{"other"})
	assert.NilError(t, err)
	assert.Equal(t, s.Other.Wait, 2*time.Hour)
}

func TestExitCode(t *testing.T) {
	var s settings
	_, err := flags.Parse(&s, []string{"nonsense"})
	assert.Equal(t, flags.ExitCode(err), flags.ExitUsage)
	assert.Equal(t, flags.ExitCode(nil), flags.ExitOK)
	assert.Equal(t, flags.ExitCode(errors.New("x")), flags.ExitFailed)
}
