package ledger

// AcceptAnyProof switches the check of proofs off.
func (l *Ledger) AcceptAnyProof() {
	for _, s := range l.shards {
		s.proves = func(*entry, Proof) bool { return true }
	}
}
