package walog

import (
	"errors"
	"fmt"
)

var errClosed = errors.New("log closed")

// LockedError reports that another process has locked the data folder.
type LockedError struct {
	Path string
}

// Error returns a message that names the lock file.
func (e *LockedError) Error() string {
	return fmt.Sprintf("data folder in use by another process: %s", e.Path)
}

// CorruptError reports damage to data that had been synced. The member must not
// serve from this data folder and has to be replaced by a new one.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns a message with the place of the damage.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("corrupt log: %s at offset %d: %s; replace this member", e.File, e.Offset, e.Reason)
}

// FailedError reports that an earlier write or sync failed, so the log accepts
// no more writes. Cause is the first failure.
type FailedError struct {
	Cause error
}

// Error returns a message with the first failure.
func (e *FailedError) Error() string { return fmt.Sprintf("log failed: %v", e.Cause) }

// Unwrap returns Cause.
func (e *FailedError) Unwrap() error { return e.Cause }
