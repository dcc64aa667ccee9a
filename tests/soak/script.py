"""What one seed plays: a scenario of the simulation, signals in series, and whether a crowd comes."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from random import Random

import msgspec

from locktide.simulation.model import random_scenario
from locktide.simulation.model.scenario import DISPATCHERS, FaultSpec, Scenario, ServiceClassSpec

#: Seconds for which clients send.
LENGTH = 8.0
#: Work that is asked for, as a part of what the fleet can do: processes share one machine with the stand-ins.
LOAD = 0.35
#: Part of the clients that leave before their time is up.
IMPATIENT = 0.25
#: Timeout of the class that may run anywhere, in seconds.
SHORT_TIMEOUT = 1.5
#: Descriptors of each dispatcher: few, so that a crowd can fill them.
DESCRIPTORS = 128
#: One script in so many has a crowd of idle clients.
CROWD_EVERY = 3
#: Seconds between the first and the last moment at which a series of signals begins.
FIRST_SIGNAL, LAST_SIGNAL = 0.6, 6.0
#: Faults that only virtual time can play, or that the signals of the script stand for.
LEFT_OUT = DISPATCHERS | {"trap-dispatcher"}


#: One script in so many holds dispatchers up; which ones, so that other seeds stay as they were.
HOLDS_EVERY, HOLDS_AT = 5, 3
#: Most times that a dispatcher is held up, and for how long, in seconds: the page allows 0.15.
MOST_HOLDS, SHORTEST_HOLD, LONGEST_HOLD = 5, 0.05, 0.5


class Series(StrEnum):
    """A series of signals to one dispatcher."""

    TERM = "term"
    TERM_TWICE = "term twice"
    RELOAD = "reload"
    RELOADS_IN_A_ROW = "reloads in a row"
    RELOAD_AFTER_TERM = "reload after term"
    KILL_AND_START = "kill and start"
    START_UNDER_RELOADS = "start under reloads"


@dataclass(frozen=True)
class SignalSeries:
    """One series.

    Attributes:
        at: when it begins, in seconds.
        dispatcher: its number.
        series: which one.
    """

    at: float
    dispatcher: int
    series: Series


@dataclass(frozen=True)
class HoldUp:
    """A time in which a dispatcher gets no processor.

    Attributes:
        at: when it begins, in seconds.
        dispatcher: its number.
        length: how long it lasts, in seconds.
    """

    at: float
    dispatcher: int
    length: float


@dataclass(frozen=True)
class SoakScript:
    """One run.

    Attributes:
        seed: the seed.
        scenario: fleet, traffic and faults.
        signals: series of signals, in order of their time.
        has_crowd: whether idle clients fill the descriptors of all dispatchers, also during a shutdown.
        holds: when dispatchers are held up.
    """

    seed: int
    scenario: Scenario
    signals: list[SignalSeries]
    has_crowd: bool
    holds: list[HoldUp]


def draw(seed: int, always_holds: bool = False) -> SoakScript:
    """Return the script of a seed, the same on every machine; with holds in any case where that is asked."""
    random = Random(f"soak {seed}")
    scenario = _scenario(seed)
    has_holds = always_holds or seed % HOLDS_EVERY == HOLDS_AT
    return SoakScript(
        seed=seed,
        scenario=scenario,
        signals=sorted(_signals(random, scenario.fleet.dispatchers), key=lambda each: each.at),
        has_crowd=seed % CROWD_EVERY == 0,
        holds=list(_holds(seed, scenario.fleet.dispatchers)) if has_holds else [],
    )


def _scenario(seed: int) -> Scenario:
    drawn = random_scenario.draw(seed)
    replace = msgspec.structs.replace
    random = Random(f"soak faults {seed}")
    drain = FaultSpec(
        at=random.uniform(1.0, LAST_SIGNAL), length=random.uniform(1.0, 4.0), what="drain", whom="40%"
    )
    faults = [fault for fault in drawn.incident if fault.what not in LEFT_OUT and fault.at < LENGTH]
    # A dispatcher that nobody else stands beside would leave clients without any while it restarts.
    fleet = replace(drawn.fleet, dispatchers=max(2, drawn.fleet.dispatchers))
    return replace(
        drawn,
        name="soak",
        length=LENGTH,
        fleet=fleet,
        grade=[_with_short_timeout(grade) for grade in drawn.grade],
        clients=replace(drawn.clients, load=LOAD * drawn.clients.load, impatient=IMPATIENT),
        dispatcher=replace(drawn.dispatcher, sockets=DESCRIPTORS),
        incident=[*faults, drain],
    )


def _with_short_timeout(grade: ServiceClassSpec) -> ServiceClassSpec:
    """Give the class that may run anywhere a timeout that ends before a kill, whenever it comes."""
    if grade.effect != "reissuable":
        return grade
    return msgspec.structs.replace(grade, limit=SHORT_TIMEOUT)


def _signals(random: Random, dispatchers: int) -> Iterator[SignalSeries]:
    """Draw one or two series for each dispatcher, far enough apart for a restart between them."""
    for number in range(dispatchers):
        first = random.uniform(FIRST_SIGNAL, LAST_SIGNAL)
        yield SignalSeries(first, number, Series(random.choice(list(Series))))
        if random.random() < 0.5:
            yield SignalSeries(random.uniform(0.1, 0.4), number, Series.RELOAD)
    if dispatchers > 1 and random.random() < 0.5:  # two that end within 0.3 s of each other
        at = random.uniform(FIRST_SIGNAL, LAST_SIGNAL)
        yield SignalSeries(at, 0, Series.TERM)
        yield SignalSeries(at + random.uniform(0.0, 0.3), 1, Series.TERM)


def _holds(seed: int, dispatchers: int) -> Iterator[HoldUp]:
    """Draw when dispatchers are held up, by a generator of their own."""
    random = Random(f"soak holds {seed}")
    for number in range(dispatchers):
        for _ in range(random.randint(1, MOST_HOLDS)):
            length = random.uniform(SHORTEST_HOLD, LONGEST_HOLD)
            yield HoldUp(random.uniform(0.0, LENGTH), number, length)
