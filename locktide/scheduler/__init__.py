"""The decision core: which worker gets which request, when to retry, and when to shed load.

The package does no I/O, starts no thread and reads no clock. A host, the dispatcher process
(`locktide.dispatcher`) or the simulator's adapter (`locktide.bench_adapter`), builds one `Scheduler(seed,
config)` from a `SchedulerConfig` and calls `step(now, events)`. It returns commands, which the host has to
execute in their order, at that moment. The same seed, configuration and events give the same commands.

What a host has to keep to:

* `now` is a time in microseconds and never goes backwards. All spans are in microseconds, too.
* A request has one `RequestArrived`, or one `RequestRecovered` after a restart. Its id is the host's own: it
  is hashable, and not used again while the request is open.
* The attempts of a request are numbered 0, 1, 2 ... in the order of its `StartAttempt` commands; those of a
  recovered request go on from the attempts that were recovered.
* Every attempt ends with exactly one `AttemptEnded`, also one that was cancelled or never sent. `final` is
  set where the request itself has its response.
* `RejectRequest` and `FailRequest` are a request's response; no command concerning it follows. After
  `ReportInternalError` with a request id the host responds to that request itself.
* `SetTimer` is answered with `TimerFired` of the same timer id once its delay is over.
* `WatchEndpoints(True)` asks the host to fetch the endpoint list and to follow its changes. What it fetches,
  and that a fetch failed, it reports as `EndpointListUpdate`.

The four rules that every decision keeps, whatever else it costs:

1. Each request gets one final answer before its deadline, and nothing after it.
2. No effect happens twice (`policy.retry_eligibility`).
3. A draining worker is sent nothing new (`policy.endpoint_list`).
4. A worker that is warming up is not overloaded (`policy.slow_start`).

Modules:

* `scheduler`: the `Scheduler`, which wires the policies together and hands each event to the one it concerns.
* `events`: what a host reports; `commands`: what it has to execute; `log_events`: what it writes to the log.
* `config`: the configuration; `types`: enumerations that the others share.
* `policy`: every decision; `state`: what the policies share, one owner a module.
* `estimators`: arithmetic that chooses nothing.
"""
