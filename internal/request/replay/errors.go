package replay

import (
	"fmt"

	"cactusline.dev/cactusline/internal/version/ident"
)

// UnknownAttemptError reports an attempt that was not begun in this incarnation.
type UnknownAttemptError struct {
	Attempt ident.AttemptID
}

// Error describes the attempt.
func (e *UnknownAttemptError) Error() string {
	return fmt.Sprintf("attempt %s was not seen", e.Attempt)
}

// OffsetError reports an offset that can't be read: it is no longer kept, not
// yet there, or of an attempt that is buried.
type OffsetError struct {
	Attempt ident.AttemptID
	Offset  uint64
}

// Error describes the attempt and offset.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("attempt %s is not kept at offset %d", e.Attempt, e.Offset)
}
