"""Schedules are reproducible and contain every kind of fault."""

from soak.schedule import (
    CrashUpstream,
    EvacuateZone,
    FaultTargets,
    FillDisk,
    FreezeProcess,
    ImpairLink,
    KillProcess,
    LeaveUpstream,
    PauseUpstream,
    RestartProcess,
    make_schedule,
)

TARGETS = FaultTargets(
    ("entry-1", "entry-2"),
    ("control-1", "control-2", "control-3"),
    ("u1", "u2"),
    ("u1", "entry-1>control-1"),
    ("z1", "z2"),
)
LENGTH_S = 30.0


def test_seed_determines_the_schedule():
    assert make_schedule(3, TARGETS, LENGTH_S) == make_schedule(
        3, TARGETS, LENGTH_S
    )
    assert make_schedule(3, TARGETS, LENGTH_S) != make_schedule(
        4, TARGETS, LENGTH_S
    )


def test_schedule_contains_every_kind_of_fault():
    scheduled_faults = make_schedule(1, TARGETS, LENGTH_S)
    fault_types = {type(scheduled.fault) for scheduled in scheduled_faults}
    assert fault_types == {
        KillProcess,
        RestartProcess,
        FreezeProcess,
        FillDisk,
        CrashUpstream,
        LeaveUpstream,
        PauseUpstream,
        ImpairLink,
        EvacuateZone,
    }
    assert all(scheduled.start_s <= LENGTH_S for scheduled in scheduled_faults)


def test_faults_of_control_nodes_do_not_overlap():
    for seed in range(50):
        control_faults = [
            scheduled
            for scheduled in make_schedule(seed, TARGETS, LENGTH_S)
            if getattr(scheduled.fault, "name", "") in TARGETS.controls
        ]
        for earlier, later in zip(
            control_faults, control_faults[1:], strict=False
        ):
            duration_s = getattr(earlier.fault, "duration_s", 0.0)
            assert later.start_s - earlier.start_s > duration_s
