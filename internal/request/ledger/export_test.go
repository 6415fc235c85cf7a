package ledger

// AcceptAnyProof disables the check of proofs.
func (l *Ledger) AcceptAnyProof() {
	for _, s := range l.shards {
		s.proofIsValid = func(*entry, Proof) bool { return true }
	}
}
