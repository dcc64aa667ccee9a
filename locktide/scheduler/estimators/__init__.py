"""Arithmetic of the scheduler: seeded random draws, decaying sums, run times, rendezvous hashing.

Nothing in this package chooses a worker or the fate of a request; that is `locktide.scheduler.policy`.
"""
