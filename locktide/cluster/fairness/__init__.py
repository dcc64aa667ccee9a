"""Dominant resource fairness over usage that all dispatchers replicate to each other."""
