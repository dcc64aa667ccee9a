"""Durable jobs: accepted on disk, leased to workers, recovered after a crash, never run twice.

`log` is the write-ahead log on a `disk`, and `jobs` the state that its records make. `leases` and `recovery`
decide without I/O, with the time as an argument. `job_service` assembles what attaches them to a dispatcher.
The worker of a job is still chosen by `locktide.scheduler.policy`.
"""
