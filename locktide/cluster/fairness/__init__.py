"""Dominant resource fairness, computed from usage that all dispatchers replicate to each other."""
