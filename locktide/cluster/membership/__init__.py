"""Membership: which members are alive, by SWIM with the refinements of Lifeguard."""
