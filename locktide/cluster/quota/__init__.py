"""Quotas, which the leader divides among the members; each member holds its part as leases."""
