package replay

import (
	"fmt"

	"cactusline.dev/cactusline/internal/version/ident"
)

// UnseenError reports an attempt that was not begun in this incarnation.
type UnseenError struct {
	Attempt ident.AttemptID
}

// Error describes the attempt.
func (e *UnseenError) Error() string {
	return fmt.Sprintf("attempt %s was not seen", e.Attempt)
}

// GoneError reports an offset that can't be read: it is no longer kept, not
// yet there, or of an attempt that is buried.
type GoneError struct {
	Attempt ident.AttemptID
	Offset  uint64
}

// Error describes the attempt and offset.
func (e *GoneError) Error() string {
	return fmt.Sprintf("attempt %s is not kept at offset %d", e.Attempt, e.Offset)
}
