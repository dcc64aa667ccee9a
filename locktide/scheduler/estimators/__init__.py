"""Arithmetic of the scheduler: seeded random draws, decaying sums, run times, speeds, rendezvous hashing.

Nothing in this package makes a decision about an endpoint or a request; `locktide.scheduler.policy` does.
Times are whole microseconds. Recorded runs are replayed bit for bit, so the order of random draws and of
floating-point operations must not change.
"""
