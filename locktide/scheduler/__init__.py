"""The decision core: which worker gets which request, when to retry, and when to shed load.

The package does no I/O, starts no thread and reads no clock. A host, the dispatcher process
(`locktide.dispatcher`) or the simulator's adapter (`locktide.bench_adapter`), builds one `Scheduler(seed,
config)` from a `SchedulerConfig` and calls `step(now, events)`. `step` returns commands, which the host has
to execute in their order, at that moment. The same seed, configuration and events give the same commands.

Rules for a host:

* `now` is a time in microseconds and never goes backwards. All spans are in microseconds, too.
* Each request is reported by one `RequestArrived`, or by one `RequestRecovered` after a restart. The host
  chooses its id, which is hashable and is not used for another request while this one is open.
* The attempts of a request are numbered 0, 1, 2 ... in the order of its `StartAttempt` commands. For a
  recovered request the numbers continue after the recovered attempts.
* The host reports exactly one `AttemptEnded` for every attempt, also for one that was cancelled or never
  sent. It sets `is_final` when the request itself has its response.
* `RejectRequest` and `FailRequest` are the response to a request; no further command concerns that request.
  After `ReportInternalError` with a request id the host responds to that request itself.
* After the delay of a `SetTimer` the host reports `TimerFired` with the same timer id.
* On `WatchEndpoints(True)` the host fetches the endpoint list and follows its changes. It reports each list,
  each change and each failed fetch as an `EndpointListUpdate`.

Four rules hold for every decision, at any cost:

1. Each request gets one final response before its deadline, and nothing after that response.
2. No effect happens twice (`policy.retry_eligibility`).
3. A draining worker is sent no new requests (`policy.endpoint_list`).
4. A worker that is warming up is not overloaded (`policy.slow_start`).

Modules:

* `scheduler`: the `Scheduler`, which wires the policies together and passes each event to the policy that
  handles it.
* `events`: what a host reports; `commands`: what it has to execute; `log_events`: what it writes to the log.
* `config`: the configuration; `types`: enumerations that the others share.
* `policy`: all decisions; `state`: data that the policies share, each kind owned by one module.
* `estimators`: arithmetic without decisions.
"""
