package admit

import (
	"fmt"

	"cactusline.dev/cactusline/internal/version/ident"
)

// InvariantError reports that work was admitted beyond the limit or while the
// target was leaving, which is a bug.
type InvariantError struct {
	Target ident.TargetName
	// Load is the number of running requests, Limit the maximum.
	Load, Limit int
	Leaving     bool
}

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("target %s admitted work it should have refused: load %d, limit %d, leaving %t",
		e.Target, e.Load, e.Limit, e.Leaving)
}
