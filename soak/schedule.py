"""Seeded schedules of faults: their kinds, targets and times.

A schedule depends only on `random.Random` (Mersenne Twister) with the seed, so
a seed always gives the same schedule.
"""

import random
from dataclasses import dataclass

from soak.proxy import Harm

__all__ = [
    "Change",
    "Crash",
    "Event",
    "Freeze",
    "Kill",
    "Link",
    "Restart",
    "Names",
    "schedule",
]

FIRST_S = 1.0
# Minimum time between faults of control nodes.  One of the three nodes is down
# at a time, so that the others keep a quorum.
LEAST_REST_S = 3.0
LONGEST_FAULT_S = 3.0
HARMS = tuple(harm for harm in Harm if harm is not Harm.NONE)


@dataclass(frozen=True, slots=True)
class Names:
    """Targets of the faults in a schedule.

    Attributes:
        entries: Names of the entries.
        controls: Names of the control nodes.
        upstreams: Ids of the upstreams.
        links: Names of the proxied links.
        zones: Names of the zones.
    """

    entries: tuple[str, ...]
    controls: tuple[str, ...]
    upstreams: tuple[str, ...]
    links: tuple[str, ...]
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Kill:
    """Kills a process and starts it again after a pause."""

    name: str
    pause_s: float


@dataclass(frozen=True, slots=True)
class Restart:
    """Stops a process with SIGTERM and starts it again when it has exited."""

    name: str


@dataclass(frozen=True, slots=True)
class Freeze:
    """Suspends a process and resumes it after a pause."""

    name: str
    pause_s: float


@dataclass(frozen=True, slots=True)
class Crash:
    """Crashes an upstream, which restarts cold."""

    name: str


@dataclass(frozen=True, slots=True)
class Link:
    """Impairs the connections of a link for some time."""

    name: str
    harm: Harm
    pause_s: float


@dataclass(frozen=True, slots=True)
class Change:
    """Evacuates a zone by operator command and puts it back in."""

    zone: str
    pause_s: float


Fault = Kill | Restart | Freeze | Crash | Link | Change


@dataclass(frozen=True, slots=True)
class Event:
    """A fault and when it begins.

    Attributes:
        at: Time of its beginning, seconds from the start of the run.
        fault: The fault.
    """

    at: float
    fault: Fault


def schedule(seed: int, names: Names, length_s: float) -> list[Event]:
    """Return the faults of a seed in order of time.

    Faults of entries, upstreams, links and zones may overlap.  Faults of
    control nodes do not overlap each other, so that a quorum remains.

    Args:
        seed: Seed of the random choices.
        names: Targets of the faults.
        length_s: Length of the schedule, seconds.

    Returns:
        The scheduled faults.

    Examples:
        >>> names = Names(("e",), ("c",), ("u",), ("l",), ("z",))
        >>> schedule(7, names, 20.0) == schedule(7, names, 20.0)
        True
    """
    rng = random.Random(seed)
    events = []
    for draw in (_entry_fault, _upstream_fault, _link_fault, _change):
        at = FIRST_S + rng.uniform(0.0, 2.0)
        while at < length_s:
            events.append(Event(at, draw(rng, names)))
            at += rng.uniform(0.5, 3.0)
    at = FIRST_S + rng.uniform(0.0, LEAST_REST_S)
    while at < length_s:
        events.append(Event(at, _control_fault(rng, names)))
        at += LONGEST_FAULT_S + LEAST_REST_S + rng.uniform(0.0, 2.0)
    return sorted(events, key=lambda event: event.at)


def _pause(rng: random.Random) -> float:
    return round(rng.uniform(0.2, LONGEST_FAULT_S), 2)


def _process_fault(rng: random.Random, name: str) -> Fault:
    pause_s = _pause(rng)
    faults: tuple[Fault, ...] = (
        Kill(name, pause_s),
        Restart(name),
        Freeze(name, pause_s),
    )
    return rng.choice(faults)


def _entry_fault(rng: random.Random, names: Names) -> Fault:
    return _process_fault(rng, rng.choice(names.entries))


def _control_fault(rng: random.Random, names: Names) -> Fault:
    return _process_fault(rng, rng.choice(names.controls))


def _upstream_fault(rng: random.Random, names: Names) -> Fault:
    return Crash(rng.choice(names.upstreams))


def _link_fault(rng: random.Random, names: Names) -> Fault:
    return Link(rng.choice(names.links), rng.choice(HARMS), _pause(rng))


def _change(rng: random.Random, names: Names) -> Fault:
    return Change(rng.choice(names.zones), _pause(rng))
