package tries

// Plan proposes targets one at a time. The Machine does not report refusals to
// it: whoever creates the Plan does, so that it may propose a target again.
type Plan interface {
	// Next returns the next target, or false if none is left.
	Next() (Candidate, bool)
}

// nextPlanned returns the plan's next target and adds it to the record's
// candidates.
func (m *Machine) nextPlanned() (Candidate, bool) {
	candidate, ok := m.cfg.Plan.Next()
	if ok {
		m.record.Candidates = append(m.record.Candidates, candidate)
	}
	return candidate, ok
}
