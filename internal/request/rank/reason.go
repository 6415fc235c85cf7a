package rank

// Reason is why a target is a candidate.
type Reason uint8

// Reasons, roughly in the order in which candidates are tried.
const (
	// Forwarded is the target known to have served the chat last.
	LastServed Reason = iota + 1
	// Home is the usable target with the highest rendezvous score for the chat.
	Home
	// Spill is a target with one of the next highest rendezvous scores.
	Spill
	// LessLoaded is a target that a refusal named as lightly loaded.
	LessLoaded
	// Nearest is the less loaded of two random targets in the router's failure
	// domain.
	SameDomain
	// Probe is a randomly chosen target, which also refreshes its known load.
	Probe
	// Overloaded is a target that appears to be at its load bound.
	Overloaded
)

var reasonNames = [...]string{"unknown", "forwarded", "home", "spill", "lighter", "nearest", "probe", "overloaded"}

// String returns the reason as written to decision records.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return reasonNames[0]
	}
	return reasonNames[r]
}
