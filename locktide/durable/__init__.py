"""Durable jobs: accepted on disk, leased to workers, recovered after a crash, never run twice.

`journal` keeps records on a `disk`, `jobs` is the state they make, `leases` and `recovery` decide (no I/O,
time as an argument), `desk` joins them to a node. The worker is still chosen by `locktide.scheduler.policy`.
"""
