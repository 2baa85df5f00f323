"""Seeded schedules: which faults strike what, and when.

`random.Random` (Mersenne Twister) with the seed alone decides, so a seed
names a schedule for good.
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
# Control keeps a quorum: one of three nodes is harmed at a time.
LEAST_REST_S = 3.0
LONGEST_FAULT_S = 3.0
HARMS = tuple(harm for harm in Harm if harm is not Harm.NONE)


@dataclass(frozen=True, slots=True)
class Names:
    """What a schedule may strike."""

    entries: tuple[str, ...]
    controls: tuple[str, ...]
    upstreams: tuple[str, ...]
    links: tuple[str, ...]
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Kill:
    """Kill a process; it starts again after a pause."""

    name: str
    pause_s: float


@dataclass(frozen=True, slots=True)
class Restart:
    """Ask a process to end, and start it again when it has."""

    name: str


@dataclass(frozen=True, slots=True)
class Freeze:
    """Stop a process, and let it go on."""

    name: str
    pause_s: float


@dataclass(frozen=True, slots=True)
class Crash:
    """Let an upstream fall over; it comes back cold."""

    name: str


@dataclass(frozen=True, slots=True)
class Link:
    """Harm the connections of a link."""

    name: str
    harm: Harm
    pause_s: float


@dataclass(frozen=True, slots=True)
class Change:
    """An operator takes a zone out, and puts it back."""

    zone: str
    pause_s: float


Fault = Kill | Restart | Freeze | Crash | Link | Change


@dataclass(frozen=True, slots=True)
class Event:
    """One fault and the moment at which it begins, in seconds."""

    at: float
    fault: Fault


def schedule(seed: int, names: Names, length_s: float) -> list[Event]:
    """Return the faults of a seed, in order.

    Faults of entries, upstreams, links and operators overlap freely; those
    of control nodes follow each other, so that a quorum is left.

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
