package walog

import (
	"errors"
	"fmt"
)

var errClosed = errors.New("log closed")

// LockedError says that another process holds the data folder.
type LockedError struct {
	Path string
}

// Error names the lock file.
func (e *LockedError) Error() string {
	return fmt.Sprintf("data folder in use by another process: %s", e.Path)
}

// CorruptError says that synced bytes are damaged. The member must not serve
// from this folder; it has to be replaced by a new one.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error tells where the damage is.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("corrupt log: %s at %d: %s; replace this member", e.File, e.Offset, e.Reason)
}

// FailedError says that a write or sync failed earlier, so that the log
// takes no more. Cause is the first failure.
type FailedError struct {
	Cause error
}

// Error gives the first failure.
func (e *FailedError) Error() string { return fmt.Sprintf("log failed: %v", e.Cause) }

// Unwrap returns the first failure.
func (e *FailedError) Unwrap() error { return e.Cause }
