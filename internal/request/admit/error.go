package admit

import (
	"fmt"

	"cactusline.dev/cactusline/internal/version/ident"
)

// InvariantError tells of work that was admitted against the rules, a fault of
// the program.
type InvariantError struct {
	Target ident.TargetName
	// Load and Limit count requests.
	Load, Limit int
	Leaving     bool
}

// Error describes the broken rule.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("target %s admitted work against the bound: load %d, limit %d, leaving %t",
		e.Target, e.Load, e.Limit, e.Leaving)
}
