package cmds

import (
	"context"

	"github.com/go-kit/log"
)

// Lives are the parts of lives that tests set.
type Lives struct {
	Run    func(ctx context.Context) error
	Sound  func() error
	Clock  sleeper
	Logger log.Logger
}

// Supervise is supervise.
func Supervise(ctx context.Context, l Lives) error {
	return supervise(ctx, lives{run: l.Run, sound: l.Sound, clock: l.Clock, logger: l.Logger})
}

// MemberFailed is the error of a failed member.
func MemberFailed(cause error) error { return &memberFailedError{cause: cause} }

// TryDisk is tryDisk.
func TryDisk(folder string) error { return tryDisk(folder) }

// SetAside is setAside.
func SetAside(folder string) error { return setAside(folder) }
