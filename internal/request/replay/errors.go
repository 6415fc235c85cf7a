package replay

import (
	"fmt"

	"cactusline.dev/cactusline/internal/version/ident"
)

// UnknownAttemptError reports an attempt that has not begun in this incarnation
// of the sidecar or is no longer in the table.
type UnknownAttemptError struct {
	Attempt ident.AttemptID
}

// Error names the attempt.
func (e *UnknownAttemptError) Error() string {
	return fmt.Sprintf("attempt %s is unknown to this sidecar", e.Attempt)
}

// AnswerUnavailableError reports an offset of an answer that can't be read: its
// bytes were discarded or have not arrived yet, or the attempt never runs.
type AnswerUnavailableError struct {
	Attempt ident.AttemptID
	Offset  uint64
}

// Error names the attempt and the offset.
func (e *AnswerUnavailableError) Error() string {
	return fmt.Sprintf("attempt %s is not kept at offset %d", e.Attempt, e.Offset)
}
