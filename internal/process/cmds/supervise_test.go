package cmds_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/cmds"
)

// countingClock counts the calls of Sleep.
type countingClock struct{ count int }

func (c *countingClock) Sleep(ctx context.Context, _ time.Duration) error {
	c.count++
	return ctx.Err()
}

// A full disk stops a control process's member of the replicated log. If the process does not
// restart once the disk accepts writes again, the loss of another disk costs the
// quorum. That happened in the kivi-bib mix with seed 97603909074: one disk was full
// for 4.5 s, and another was lost 16 s later.
func TestSuperviseRestartsAfterDiskFailure(t *testing.T) {
	full := errors.New("no space left on device")
	runs, failedChecks := 0, 3
	clock := &countingClock{}
	err := cmds.Supervise(context.Background(), cmds.Supervisor{
		Run: func(context.Context) error {
			runs++
			if runs == 1 {
				return cmds.MemberFailed(full)
			}
			return nil
		},
		CheckDisk: func() error {
			if failedChecks--; failedChecks >= 0 {
				return full
			}
			return nil
		},
		Clock: clock, Logger: log.NewNopLogger(),
	})
	assert.NilError(t, err)
	assert.Equal(t, runs, 2)
	assert.Equal(t, clock.count, 4, "one wait before each check of the disk")
}

func TestSuperviseReturnsOtherErrors(t *testing.T) {
	other := errors.New("address in use")
	err := cmds.Supervise(context.Background(), cmds.Supervisor{Run: func(context.Context) error { return other }})
	assert.ErrorIs(t, err, other)
}

func TestCheckDiskWritable(t *testing.T) {
	assert.NilError(t, cmds.CheckDiskWritable(t.TempDir()))
	assert.Assert(t, cmds.CheckDiskWritable("/nonexistent/folder") != nil)
}

func TestMoveToDamagedEmptiesDirectory(t *testing.T) {
	dir := t.TempDir()
	for _, content := range []string{"first", "second"} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "log-1"), []byte(content), 0o600))
		assert.NilError(t, cmds.MoveToDamaged(dir))
		kept, err := os.ReadFile(filepath.Join(dir, "damaged", "log-1"))
		assert.NilError(t, err)
		assert.Equal(t, string(kept), content)
		entries, err := os.ReadDir(dir)
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 1)
	}
}
