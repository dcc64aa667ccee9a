"""Durable jobs: stored before they are accepted, leased to workers, recovered after a crash, never run twice.

`log` is the write-ahead log, `disk` the storage below it, and `jobs` the state that is built from the log's
records. `leases` and `recovery` do no I/O and get the time as an argument. `job_service` assembles the parts
and attaches them to a dispatcher. The worker of a job is still chosen by `locktide.scheduler.policy`.
"""
