package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/walog"
)

// diskRetryInterval is the interval between checks of a failed disk.
const diskRetryInterval = 200 * time.Millisecond

// memberFailedError reports that this process's member of the replicated log
// failed and can't continue, for example because its disk rejects writes.
type memberFailedError struct {
	cause error
}

// Error implements error.
func (e *memberFailedError) Error() string {
	return fmt.Sprintf("log member failed: %v", e.cause)
}

// Unwrap returns the cause.
func (e *memberFailedError) Unwrap() error { return e.cause }

// openError reports that a data directory could not be opened.
type openError struct {
	folder string
	cause  error
}

// Error implements error.
func (e *openError) Error() string { return fmt.Sprintf("open %s: %v", e.folder, e.cause) }

// Unwrap returns the cause.
func (e *openError) Unwrap() error { return e.cause }

// retryOpen returns a *memberFailedError if err is of a data directory that could not be
// opened and may be later, since its disk was full again. It returns other errors as they are.
func retryOpen(err error) error {
	var open *openError
	var corrupt *walog.CorruptError
	var locked *walog.LockedError
	if !errors.As(err, &open) || errors.As(err, &corrupt) || errors.As(err, &locked) {
		return err
	}
	return &memberFailedError{cause: open}
}

// supervisor restarts a control process from its disk when its member of the
// replicated log has failed, once the disk accepts writes again.
type supervisor struct {
	// run runs the process until it ends or fails.
	run func(ctx context.Context) error
	// checkDisk returns nil if the disk accepts writes.
	checkDisk func() error
	clock     sleeper
	logger    log.Logger
}

// sleeper is the part of a clock that supervise uses.
type sleeper interface {
	Sleep(ctx context.Context, d time.Duration) error
}

// supervise runs the process, again after each *memberFailedError, until ctx ends or
// the process ends for another reason.
func supervise(ctx context.Context, s supervisor) error {
	for {
		err := s.run(ctx)
		var failed *memberFailedError
		if !errors.As(err, &failed) || ctx.Err() != nil {
			return err
		}
		_ = level.Error(s.logger).Log("msg", "control stopped until its disk accepts writes", "err", err)
		// Wait before the first check as well.
		for diskErr := error(failed); diskErr != nil; diskErr = s.checkDisk() {
			if s.clock.Sleep(ctx, diskRetryInterval) != nil {
				return nil
			}
		}
		_ = level.Info(s.logger).Log("msg", "disk accepts writes again, restarting control")
	}
}

// watchMember calls cancel when a member of the replicated log has failed, for example
// because its disk rejects writes. The returned function returns the cause of the failure,
// or nil.
func watchMember(ctx context.Context, raftGroup *group.Group, cancel context.CancelFunc) (memberFailure func() error) {
	var failure atomic.Pointer[error]
	go func() {
		for (clock.System{}).Sleep(ctx, memberCheckInterval) == nil {
			if err := raftGroup.Status().Failure; err != nil {
				failure.Store(&err)
				cancel()
			}
		}
	}()
	return func() error {
		if err := failure.Load(); err != nil {
			return *err
		}
		return nil
	}
}

// memberCheckInterval is the interval between checks whether the member has failed.
const memberCheckInterval = 100 * time.Millisecond

// moveToDamaged moves the files of a directory to its subdirectory damaged, replacing
// those moved before.
func moveToDamaged(dir string) error {
	const damagedName = "damaged"
	damagedDir := filepath.Join(dir, damagedName)
	if err := os.RemoveAll(damagedDir); err != nil {
		return fmt.Errorf("move damaged files: %w", err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("move damaged files: %w", err)
	}
	if err := os.Mkdir(damagedDir, dirMode); err != nil {
		return fmt.Errorf("move damaged files: %w", err)
	}
	for _, entry := range entries {
		if err := os.Rename(filepath.Join(dir, entry.Name()), filepath.Join(damagedDir, entry.Name())); err != nil {
			return fmt.Errorf("move damaged files: %w", err)
		}
	}
	return nil
}

// dirMode is the mode of directories in the data directory.
const dirMode = 0o700

// checkDiskWritable returns nil if a file can be written and synced in a directory.
func checkDiskWritable(dir string) error {
	const name = "trial"
	path := filepath.Join(dir, name)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, dataFileMode)
	if err != nil {
		return fmt.Errorf("check disk: %w", err)
	}
	_, err = file.Write(make([]byte, diskCheckBytes))
	if err = errors.Join(err, file.Sync(), file.Close(), os.Remove(path)); err != nil {
		return fmt.Errorf("check disk: %w", err)
	}
	return nil
}

// diskCheckBytes is the size of the test file, which is more than the log needs to open.
// If the check succeeds, there is enough space to open it.
const diskCheckBytes = 64 << 10
