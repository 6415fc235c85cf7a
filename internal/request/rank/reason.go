package rank

// Reason says why a target stands where it does among the candidates.
type Reason uint8

// Reasons, in the order in which they are tried.
const (
	// Forwarded is the target that is known to have served the chat last.
	Forwarded Reason = iota + 1
	// Home is the chat's first usable target by rendezvous hashing.
	Home
	// Spill follows the home target by rendezvous hashing.
	Spill
	// LessLoaded is a target that is named as lightly loaded.
	LessLoaded
	// Nearest is a lightly loaded target in the router's failure domain.
	Nearest
	// Probe is a target drawn at random, to learn its load.
	Probe
	// Overloaded is a target that is believed to be at its bound.
	Overloaded
)

var reasonNames = [...]string{"unknown", "forwarded", "home", "spill", "lighter", "nearest", "probe", "overloaded"}

// String returns the reason in lower case, for decision records.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return reasonNames[0]
	}
	return reasonNames[r]
}
