package record

import (
	"fmt"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Delta is the difference between two revisions of a set.
type Delta struct {
	// From and To are the revisions before and after. From is 0 when Full.
	From, To ident.Revision
	// Full is true if Records is the whole set, so that all other records are
	// retired.
	Full bool
	// Records are the created and amended records, sorted by key.
	Records []*Record
	// Retired are the keys of the retired records, sorted. They are no longer in
	// the set.
	Retired []Key
}

// GapError reports a delta that starts above the revision of the set.
type GapError struct {
	Have, From ident.Revision
}

// Error returns a text with both revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("delta from revision %d does not follow revision %d", e.From, e.Have)
}
