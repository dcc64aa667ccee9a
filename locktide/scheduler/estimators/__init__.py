"""Arithmetic of the scheduler: seeded random draws, decaying sums, run times, speeds, rendezvous hashing.

Nothing in this package chooses an endpoint or the fate of a request; that is `locktide.scheduler.policy`.
Times are whole microseconds. Recorded runs are played again to the last bit, so the order of random draws and
of floating-point operations is part of what these modules promise.
"""
