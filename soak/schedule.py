"""Seeded schedules of faults: their kinds, targets and times.

A schedule depends only on `random.Random` (Mersenne Twister) with the seed, so
a seed always gives the same schedule.
"""

import random
from dataclasses import dataclass

from soak.proxy import Impairment

__all__ = [
    "CrashUpstream",
    "EvacuateZone",
    "FaultTargets",
    "FillDisk",
    "FreezeProcess",
    "ImpairLink",
    "KillProcess",
    "LeaveUpstream",
    "PauseUpstream",
    "RestartProcess",
    "ScheduledFault",
    "make_schedule",
]

FIRST_FAULT_S = 1.0
# Minimum time between faults of control nodes.  One of the three nodes is down
# at a time, so that the others keep a quorum.
MIN_CONTROL_GAP_S = 3.0
MAX_FAULT_DURATION_S = 3.0
# A disk is full between two other faults, after the node of the first is back.
DISK_DELAY_S = 0.7
MAX_FULL_DISK_S = 1.8
IMPAIRMENTS = tuple(
    impairment for impairment in Impairment if impairment is not Impairment.NONE
)


@dataclass(frozen=True, slots=True)
class FaultTargets:
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
class KillProcess:
    """Kills a process and starts it again after a pause.

    Attributes:
        name: Name of the process.
        duration_s: Length of the pause, seconds.
    """

    name: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class RestartProcess:
    """Stops a process with SIGTERM and starts it again when it has exited.

    Attributes:
        name: Name of the process.
    """

    name: str


@dataclass(frozen=True, slots=True)
class FreezeProcess:
    """Suspends a process and resumes it after a pause.

    Attributes:
        name: Name of the process.
        duration_s: Length of the pause, seconds.
    """

    name: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class FillDisk:
    """Makes the disk of a control node refuse writes for some time.

    Attributes:
        name: Name of the control node.
        duration_s: Time until there is room again, seconds.
    """

    name: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class CrashUpstream:
    """Crashes an upstream, which restarts cold.

    Attributes:
        name: Id of the upstream.
    """

    name: str


@dataclass(frozen=True, slots=True)
class LeaveUpstream:
    """An upstream says in its answers that it leaves, and restarts later.

    Attributes:
        name: Id of the upstream.
        duration_s: Time until it restarts, seconds.
    """

    name: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class PauseUpstream:
    """An upstream refuses parts and asks for a pause.

    Attributes:
        name: Id of the upstream.
        duration_s: Length of the pause, seconds.
    """

    name: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class ImpairLink:
    """Impairs the connections of a link for some time.

    Attributes:
        name: Name of the link.
        impairment: Impairment of its proxy.
        duration_s: Time until the impairment ends, seconds.
    """

    name: str
    impairment: Impairment
    duration_s: float


@dataclass(frozen=True, slots=True)
class EvacuateZone:
    """Evacuates a zone by operator command and returns it to service.

    Attributes:
        zone: Name of the zone.
        duration_s: Time that the zone stays out beyond the time allowed for
            its evacuation, seconds.
    """

    zone: str
    duration_s: float


Fault = (
    KillProcess
    | RestartProcess
    | FreezeProcess
    | FillDisk
    | CrashUpstream
    | LeaveUpstream
    | PauseUpstream
    | ImpairLink
    | EvacuateZone
)


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault and when it begins.

    Attributes:
        start_s: Time of its beginning, seconds from the start of the run.
        fault: The fault.
    """

    start_s: float
    fault: Fault


def make_schedule(
    seed: int, targets: FaultTargets, length_s: float
) -> list[ScheduledFault]:
    """Return the faults of a seed in order of time.

    Faults of entries, upstreams, links and zones may overlap.  Faults of
    control nodes do not overlap each other, so that a quorum remains.

    Args:
        seed: Seed of the random choices.
        targets: Targets of the faults.
        length_s: Length of the schedule, seconds.

    Returns:
        The scheduled faults.

    Examples:
        >>> targets = FaultTargets(("e",), ("c",), ("u",), ("l",), ("z",))
        >>> make_schedule(7, targets, 20.0) == make_schedule(7, targets, 20.0)
        True
    """
    rng = random.Random(seed)
    scheduled_faults = []
    for draw in (
        _draw_entry_fault,
        _draw_upstream_fault,
        _draw_link_fault,
        _draw_evacuation,
    ):
        start_s = FIRST_FAULT_S + rng.uniform(0.0, 2.0)
        while start_s < length_s:
            scheduled_faults.append(ScheduledFault(start_s, draw(rng, targets)))
            start_s += rng.uniform(0.5, 3.0)
    start_s = FIRST_FAULT_S + rng.uniform(0.0, MIN_CONTROL_GAP_S)
    while start_s < length_s:
        scheduled_faults.append(
            ScheduledFault(start_s, _draw_control_fault(rng, targets))
        )
        start_s += (
            MAX_FAULT_DURATION_S + MIN_CONTROL_GAP_S + rng.uniform(0.0, 2.0)
        )
    scheduled_faults += _draw_full_disks(seed, targets, scheduled_faults)
    scheduled_faults += _draw_notices(seed, targets, length_s)
    return sorted(scheduled_faults, key=lambda scheduled: scheduled.start_s)


def _draw_full_disks(
    seed: int, targets: FaultTargets, scheduled_faults: list[ScheduledFault]
) -> list[ScheduledFault]:
    """Return full disks, each between two other faults of control nodes.

    They have a generator of their own, so other faults of a seed stay as they
    were.
    """
    rng = random.Random(f"{seed} disks")
    full_disks = []
    for scheduled in scheduled_faults:
        if getattr(scheduled.fault, "name", "") not in targets.controls:
            continue
        start_s = scheduled.start_s + MAX_FAULT_DURATION_S + DISK_DELAY_S
        duration_s = round(rng.uniform(0.3, MAX_FULL_DISK_S), 2)
        fault = FillDisk(rng.choice(targets.controls), duration_s)
        full_disks.append(ScheduledFault(start_s, fault))
    return full_disks


def _draw_notices(
    seed: int, targets: FaultTargets, length_s: float
) -> list[ScheduledFault]:
    """Return the notices of upstreams, of a generator of their own.

    The other faults of a seed stay as they were.
    """
    rng = random.Random(f"{seed} notices")
    scheduled_faults = []
    start_s = FIRST_FAULT_S + rng.uniform(0.0, 2.0)
    while start_s < length_s:
        name, duration_s = rng.choice(targets.upstreams), _draw_duration(rng)
        faults = (
            LeaveUpstream(name, duration_s),
            PauseUpstream(name, duration_s),
        )
        scheduled_faults.append(ScheduledFault(start_s, rng.choice(faults)))
        start_s += rng.uniform(0.5, 3.0)
    return scheduled_faults


def _draw_duration(rng: random.Random) -> float:
    return round(rng.uniform(0.2, MAX_FAULT_DURATION_S), 2)


def _draw_process_fault(rng: random.Random, name: str) -> Fault:
    duration_s = _draw_duration(rng)
    faults: tuple[Fault, ...] = (
        KillProcess(name, duration_s),
        RestartProcess(name),
        FreezeProcess(name, duration_s),
    )
    return rng.choice(faults)


def _draw_entry_fault(rng: random.Random, targets: FaultTargets) -> Fault:
    return _draw_process_fault(rng, rng.choice(targets.entries))


def _draw_control_fault(rng: random.Random, targets: FaultTargets) -> Fault:
    return _draw_process_fault(rng, rng.choice(targets.controls))


def _draw_upstream_fault(rng: random.Random, targets: FaultTargets) -> Fault:
    return CrashUpstream(rng.choice(targets.upstreams))


def _draw_link_fault(rng: random.Random, targets: FaultTargets) -> Fault:
    return ImpairLink(
        rng.choice(targets.links), rng.choice(IMPAIRMENTS), _draw_duration(rng)
    )


def _draw_evacuation(rng: random.Random, targets: FaultTargets) -> Fault:
    return EvacuateZone(rng.choice(targets.zones), _draw_duration(rng))
