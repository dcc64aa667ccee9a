"""Leader election: a leader lease granted by a quorum of acceptors (PaxosLease).

The leader lease guarantees that at any moment at most one member considers itself the leader. The argument:

- A proposer becomes leader only once a majority of the configured acceptors has accepted its ballot, and an
  acceptor accepts a ballot only if it has promised no higher one. Any two majorities share an acceptor. While
  an acceptor knows of a running lease it names the owner in its Promise, and a proposer does not count a
  Promise that names another owner. So a member that acquires the lease after another one has the Promise of a
  shared acceptor whose record of the other's lease has expired.
- An acceptor's record of a lease expires after the lease has expired at its owner. The owner counts the lease
  duration by its own clock from before its first Propose is sent; an acceptor counts by its own clock from
  when it accepts, which is later, and for `lifetime_at_grantor(duration)`. Clocks are never compared: only
  their rates matter, each of which is off by at most `MAX_CLOCK_DRIFT` parts in a million, and
  `lifetime_at_grantor` covers the worst pair of rates (`quota/lease_timing.py`).
- Acceptors keep nothing on disk. An acceptor that has just started has lost its promises and acceptances, so
  it does not answer for `lifetime_at_grantor(duration)`, after which any lease that it may have helped to
  grant has expired at its owner.
- Messages that are lost, late, duplicated or reordered can only prevent an election: each answer names the
  ballot that it answers, and ballots are never reused, as they contain the proposer's name and generation.

Liveness is probable, not certain: the times at which proposers begin a ballot are random.

Source: Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless Paxos for Leases", 2012.
"""
