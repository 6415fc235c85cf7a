package roster

import "time"

const (
	// UsualPace is the pace of a target where work takes its usual time.
	UsualPace = 100
	// PaceMemory is how long a pace is used after the target said so.
	PaceMemory = time.Second
	// paceStep is the largest difference between two paces that is not passed on.
	paceStep = 10
	// paceRefresh is the age at which a pace that is still the same is passed on again,
	// well before PaceMemory ends.
	paceRefresh = 400 * time.Millisecond
)

// Pace is how long work takes at a target, in percent of the usual time, and when the
// target said so. The zero value is that of a target that has said nothing.
type Pace struct {
	Percent    int
	ObservedAt time.Time
}

// Current reports whether the pace is not older than PaceMemory.
func (p Pace) Current(now time.Time) bool { return p.Percent > 0 && now.Sub(p.ObservedAt) < PaceMemory }

// Unusual reports whether the pace differs from the usual one by more than paceStep.
func (p Pace) Unusual() bool { return differs(p.Percent, UsualPace) }

// IsNews reports whether the pace is worth a message to a process that last heard another
// one: it is newer and differs, or it is unusual and the other one is forgotten soon.
func (p Pace) IsNews(heard Pace) bool {
	if p.Percent == 0 || !p.ObservedAt.After(heard.ObservedAt) {
		return false
	}
	if !heard.Current(p.ObservedAt) {
		return p.Unusual()
	}
	return differs(p.Percent, heard.Percent) || (p.Unusual() && p.ObservedAt.Sub(heard.ObservedAt) >= paceRefresh)
}

func differs(a, b int) bool { return a-b > paceStep || b-a > paceStep }
