"""Leader election: a leader lease granted by a quorum of acceptors (PaxosLease)."""
