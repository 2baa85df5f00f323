"""Schedules are reproducible and contain every kind of fault."""

from soak.schedule import (
    Change,
    Crash,
    Freeze,
    Kill,
    Link,
    Names,
    Restart,
    schedule,
)

NAMES = Names(
    ("entry-1", "entry-2"),
    ("control-1", "control-2", "control-3"),
    ("u1", "u2"),
    ("u1", "entry-1>control-1"),
    ("z1", "z2"),
)
LENGTH_S = 30.0


def test_a_seed_gives_the_same_schedule_again():
    assert schedule(3, NAMES, LENGTH_S) == schedule(3, NAMES, LENGTH_S)
    assert schedule(3, NAMES, LENGTH_S) != schedule(4, NAMES, LENGTH_S)


def test_all_kinds_of_faults_come_and_overlap():
    events = schedule(1, NAMES, LENGTH_S)
    kinds = {type(event.fault) for event in events}
    assert kinds == {Kill, Restart, Freeze, Crash, Link, Change}
    assert all(event.at <= LENGTH_S for event in events)


def test_control_nodes_are_struck_one_after_the_other():
    for seed in range(50):
        struck = [
            event
            for event in schedule(seed, NAMES, LENGTH_S)
            if getattr(event.fault, "name", "") in NAMES.controls
        ]
        for before, after in zip(struck, struck[1:], strict=False):
            pause_s = getattr(before.fault, "pause_s", 0.0)
            assert after.at - before.at > pause_s
