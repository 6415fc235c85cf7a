package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// diskInterval is between two tries of a disk that took no writes.
const diskInterval = 200 * time.Millisecond

// memberFailedError says that the member of the log can't go on with its disk.
type memberFailedError struct {
	cause error
}

// Error gives the cause.
func (e *memberFailedError) Error() string {
	return fmt.Sprintf("member of the log failed: %v", e.cause)
}

// Unwrap returns the cause.
func (e *memberFailedError) Unwrap() error { return e.cause }

// lives are the lives of a control process: it starts anew from its disk when
// its member of the log has failed, once the disk is sound again.
type lives struct {
	run    func(ctx context.Context) error
	sound  func() error
	clock  sleeper
	logger log.Logger
}

// sleeper is what supervise needs of a clock.
type sleeper interface {
	Sleep(ctx context.Context, d time.Duration) error
}

// supervise runs one life after the other until ctx ends or one ends for
// another reason than its disk.
func supervise(ctx context.Context, l lives) error {
	for {
		err := l.run(ctx)
		var failed *memberFailedError
		if !errors.As(err, &failed) || ctx.Err() != nil {
			return err
		}
		_ = level.Error(l.logger).Log("msg", "control stopped until its disk is sound", "err", err)
		for tried := error(failed); tried != nil; tried = l.sound() {
			if l.clock.Sleep(ctx, diskInterval) != nil {
				return nil
			}
		}
		_ = level.Info(l.logger).Log("msg", "disk is sound again")
	}
}

// setAside moves the files of a folder into a folder of their own in it, in the
// place of those that were set aside before.
func setAside(folder string) error {
	const aside = "damaged"
	target := filepath.Join(folder, aside)
	if err := os.RemoveAll(target); err != nil {
		return fmt.Errorf("set aside: %w", err)
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return fmt.Errorf("set aside: %w", err)
	}
	if err := os.Mkdir(target, folderMode); err != nil {
		return fmt.Errorf("set aside: %w", err)
	}
	for _, entry := range entries {
		if err := os.Rename(filepath.Join(folder, entry.Name()), filepath.Join(target, entry.Name())); err != nil {
			return fmt.Errorf("set aside: %w", err)
		}
	}
	return nil
}

// folderMode is that of folders in the data folder.
const folderMode = 0o700

// tryDisk reports whether a folder takes writes.
func tryDisk(folder string) error {
	const name = "trial"
	path := filepath.Join(folder, name)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, exportMode)
	if err != nil {
		return fmt.Errorf("try disk: %w", err)
	}
	_, err = file.Write(make([]byte, trialBytes))
	if err = errors.Join(err, file.Sync(), file.Close(), os.Remove(path)); err != nil {
		return fmt.Errorf("try disk: %w", err)
	}
	return nil
}

// trialBytes is more than the log needs to open.
const trialBytes = 64 << 10
