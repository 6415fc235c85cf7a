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

// waits counts the waits of a supervisor.
type waits struct{ count int }

func (w *waits) Sleep(ctx context.Context, _ time.Duration) error {
	w.count++
	return ctx.Err()
}

// On the bench, kivi-bib mix (seed 97603909074): the disk of one core was full
// for 4.5 s, its member never came back, and the loss of another disk 16 s
// later took the quorum.
func TestControlStartsAnewOnceItsDiskIsSound(t *testing.T) {
	full := errors.New("no space left on device")
	lives, bad := 0, 3
	clock := &waits{}
	err := cmds.Supervise(context.Background(), cmds.Lives{
		Run: func(context.Context) error {
			lives++
			if lives == 1 {
				return cmds.MemberFailed(full)
			}
			return nil
		},
		Sound: func() error {
			if bad--; bad >= 0 {
				return full
			}
			return nil
		},
		Clock: clock, Logger: log.NewNopLogger(),
	})
	assert.NilError(t, err)
	assert.Equal(t, lives, 2)
	assert.Equal(t, clock.count, 4, "one wait before each try of the disk")
}

func TestControlEndsForOtherReasons(t *testing.T) {
	other := errors.New("address in use")
	err := cmds.Supervise(context.Background(), cmds.Lives{Run: func(context.Context) error { return other }})
	assert.ErrorIs(t, err, other)
}

func TestTryDisk(t *testing.T) {
	assert.NilError(t, cmds.TryDisk(t.TempDir()))
	assert.Assert(t, cmds.TryDisk("/nonexistent/folder") != nil)
}

func TestSetAsideLeavesAnEmptyFolder(t *testing.T) {
	folder := t.TempDir()
	for _, content := range []string{"first", "second"} {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, "log-1"), []byte(content), 0o600))
		assert.NilError(t, cmds.SetAside(folder))
		kept, err := os.ReadFile(filepath.Join(folder, "damaged", "log-1"))
		assert.NilError(t, err)
		assert.Equal(t, string(kept), content)
		entries, err := os.ReadDir(folder)
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 1)
	}
}
