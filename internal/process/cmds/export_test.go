package cmds

import (
	"context"

	"github.com/go-kit/log"
)

// Supervisor holds the fields of supervisor for tests.
type Supervisor struct {
	Run       func(ctx context.Context) error
	CheckDisk func() error
	Clock     sleeper
	Logger    log.Logger
}

// Supervise calls supervise.
func Supervise(ctx context.Context, s Supervisor) error {
	return supervise(ctx, supervisor{run: s.Run, checkDisk: s.CheckDisk, clock: s.Clock, logger: s.Logger})
}

// Settings of the platform's processes.
const (
	CoreHeartbeatInterval   = coreHeartbeatInterval
	CoreElectionTimeout     = coreElectionTimeout
	PlatformDeadPeerTimeout = platformDeadPeerTimeout
)

// Constructors that the platform's processes use.
var (
	PlatformLinks      = platformLinks
	GateFollowerConfig = gateFollowerConfig
)

// MemberFailed returns a *memberFailedError.
func MemberFailed(cause error) error { return &memberFailedError{cause: cause} }

// CheckDiskWritable calls checkDiskWritable.
func CheckDiskWritable(dir string) error { return checkDiskWritable(dir) }

// MoveToDamaged calls moveToDamaged.
func MoveToDamaged(dir string) error { return moveToDamaged(dir) }
