package cmds_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/cmds"
)

func TestCheckReportsAllFaults(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	valid := write("good.json", `{"version":1,"routes":[],"services":[],"tenants":[]}`)
	invalid := write("bad.json", `{"version":0}`)
	settings := write("settings.json", `{"ip":"x"}`)
	var out, errs bytes.Buffer
	assert.Equal(t, cmds.Main(context.Background(), []string{"check", valid}, &out, &errs), cmds.ExitOK)
	code := cmds.Main(context.Background(), []string{"check", "--settings", settings, valid, invalid}, &out, &errs)
	assert.Equal(t, code, cmds.ExitUsage)
	for _, part := range []string{"node is missing", "ip \"x\"", "bad.json", "version: must be above 0"} {
		assert.Assert(t, strings.Contains(errs.String(), part), errs.String())
	}
}
