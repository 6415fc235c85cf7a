package record

import (
	"fmt"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Delta is the difference between two revisions of the records.
type Delta struct {
	// From and To are the revisions before and after. From is 0 when Full.
	From, To ident.Revision
	// Full says that Records is the whole set and that others went away.
	Full bool
	// Records are the created and amended ones, sorted by key.
	Records []*Record
	// Retired are the records that went away, sorted.
	Retired []Key
}

// GapError is the error for a delta that starts above the revision at hand.
type GapError struct {
	Have, From ident.Revision
}

// Error names both revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("delta from revision %d does not follow revision %d", e.From, e.Have)
}
