"""Reads and checks the configuration and sets its defaults; no other package does."""
