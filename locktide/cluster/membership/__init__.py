"""Membership: which members are alive, determined by SWIM with the refinements of Lifeguard."""
