"""Quotas divided by the leader and held by members as leases."""
