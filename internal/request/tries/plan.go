package tries

// Plan proposes targets one after the other. It learns of refusals from
// whoever made it, and so may propose a target more than once.
type Plan interface {
	// Next returns the next target, false if none is left.
	Next() (Candidate, bool)
}

// proposed returns the plan's next target and notes it as a candidate.
func (m *Machine) proposed() (Candidate, bool) {
	candidate, ok := m.cfg.Plan.Next()
	if ok {
		m.record.Candidates = append(m.record.Candidates, candidate)
	}
	return candidate, ok
}
