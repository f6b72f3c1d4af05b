package store

// Recovering tells whether this replica may have lost what it had acknowledged, and is being brought up from the others.
func (r *Replica) Recovering() bool { return false }
