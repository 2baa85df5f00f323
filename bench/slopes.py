"""Measures the resource slopes in docs/CAPACITY.md, each at three sizes.

Usage: python -m bench.slopes [--out FILE]

A slope is the cost of one more upstream, service, entry or command.  It is
fitted by least squares over the sizes; the largest relative error of the fit is
printed with it.
"""

import argparse
import json
import resource
import time
import tracemalloc
from collections.abc import Callable

from berylspool.common.frame import HEADER_BYTES
from berylspool.connection.control_message import (
    ConfigurationSent,
    Grant,
    Heartbeat,
    TableSent,
    make_control_codec,
)
from berylspool.connection.message import (
    AskPart,
    Member,
    MemberTable,
    make_peer_codec,
)
from berylspool.process.control import membership
from berylspool.process.group.state_machine import (
    Configure,
    ControlState,
    Intend,
    apply_change,
    change_codec,
    encode_state,
)
from berylspool.request.query import Part, PartRows, Snapshot
from berylspool.version.configuration import (
    Configuration,
    Limits,
    Route,
    Service,
    Upstream,
    Version,
    Zone,
    ZoneState,
)
from berylspool.version.operation import (
    SetZone,
    operation_codec,
)
from berylspool.version.placement import owners_after_change, owners_by_service
from berylspool.version.pool.admission import step
from berylspool.version.pool.message import (
    AttemptAnswered,
    ConnectionOpened,
    OpenConnection,
    PartArrived,
    PoolReconfigured,
    RowsReply,
    SendAttempt,
)
from berylspool.version.pool.state import Pool, PoolTuning
from berylspool.version.revision import apply_operations
from berylspool.version.upstream.balancing import (
    ZoneAware,
)

SIZES = (500, 1000, 2000)
REPEATS = 5
SNAPSHOT = Snapshot("v1", 1)


def fit_line(points: list[tuple[float, float]]) -> dict[str, float]:
    """Fit a line; return its slope, intercept and largest relative error."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum(
        (x - mean_x) ** 2 for x, _ in points
    )
    intercept = mean_y - slope * mean_x
    error = max(abs(slope * x + intercept - y) / y for x, y in points if y)
    return {"slope": slope, "intercept": intercept, "error": error}


def cpu_s(work: Callable[[], object]) -> float:
    """Return the minimum processor time of several runs, in seconds."""
    times = []
    for _ in range(REPEATS):
        before = time.process_time()
        work()
        times.append(time.process_time() - before)
    return min(times)


def make_configuration(upstream_count: int) -> Configuration:
    """Return a configuration with four upstreams a service."""
    services = {}
    zones = {f"z{i}": Zone(f"z{i}") for i in range(17)}
    for number in range(upstream_count // 4):
        name = f"service-{number:05d}"
        upstream_by_id = {
            f"{name}-{i}": Upstream(
                f"{name}-{i}", "10.0.0.1", 8000 + i, f"z{i}", "v1"
            )
            for i in range(4)
        }
        services[name] = Service(name, (), Limits(), upstream_by_id)
    version = Version("v1", 1, tuple(services))
    route = Route("r", "v1", {"v1": version})
    return Configuration(1, zones, services, {"r": route})


def configuration_bytes(upstream_count: int) -> float:
    """Return the size of an encoded configuration message."""
    message = ConfigurationSent(make_configuration(upstream_count))
    return len(make_control_codec().encode([message]))


def configuration_decode_s(upstream_count: int) -> float:
    """Return the time to decode a configuration message."""
    message = ConfigurationSent(make_configuration(upstream_count))
    codec = make_control_codec()
    body = codec.encode([message])[HEADER_BYTES:]
    return cpu_s(lambda: codec.decode(body))


def configuration_memory_bytes(upstream_count: int) -> float:
    """Return the memory that a configuration occupies."""
    tracemalloc.start()
    configuration = make_configuration(upstream_count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert configuration.revision == 1
    return size


def delta_apply_s(upstream_count: int) -> float:
    """Return the time to apply one change to a configuration."""
    before = make_configuration(upstream_count)
    operations = (SetZone("z1", ZoneState.OUT),)
    return cpu_s(lambda: apply_operations(before, operations, 0.0))


def placement_s(service_count: int) -> float:
    """Return the time to place services on 100 members."""
    names = [f"service-{i}" for i in range(service_count)]
    members = [f"entry-{i}" for i in range(100)]
    return cpu_s(lambda: owners_by_service(names, members))


def placement_change_s(service_count: int) -> float:
    """Return the time to place services after one of 100 members changes."""
    names = [f"service-{i}" for i in range(service_count)]
    members_before = [f"entry-{i}" for i in range(100)]
    members_after = [*members_before[1:], "entry-new"]
    former_owners = owners_by_service(names, members_before)
    return cpu_s(
        lambda: owners_after_change(
            former_owners, members_before, members_after
        )
    )


def heartbeat_handling_s(entry_count: int) -> float:
    """Return the leader's time to process a heartbeat from each entry."""
    codec = make_control_codec()
    encoded_heartbeats = [
        codec.encode(
            [
                Heartbeat(
                    Member(f"entry-{i}", "10.0.0.1", 1),
                    "b",
                    1,
                    0,
                    False,
                    1,
                    0.0,
                )
            ]
        )[HEADER_BYTES:]
        for i in range(entry_count)
    ]
    state = membership.Membership(2.0)

    def work() -> None:
        for body in encoded_heartbeats:
            [heartbeat] = codec.decode(body)
            heartbeat_event = membership.HeartbeatReceived(
                heartbeat.member,
                heartbeat.boot,
                heartbeat.revision,
                heartbeat.drained_epoch,
                heartbeat.is_leaving,
            )
            membership.step(state, heartbeat_event, 0.0)
            codec.encode([Grant(heartbeat.sent_at, 2.0, 1, 1)])

    return cpu_s(work)


def table_bytes(entry_count: int) -> float:
    """Return the size of an encoded table of members."""
    members = {
        f"entry-{i}": Member(f"entry-{i}", "10.0.0.1", 8000)
        for i in range(entry_count)
    }
    table_message = TableSent(MemberTable(1, True, members))
    return len(make_control_codec().encode([table_message]))


def ledger_apply_s(command_count: int) -> float:
    """Return the time to apply the ledger's intents of commands."""
    changes = [
        Intend(f"k{i}", "f" * 32, f"r{i}", 0.0) for i in range(command_count)
    ]

    def work() -> None:
        state = ControlState()
        for change in changes:
            apply_change(state, change)

    return cpu_s(work)


def ledger_state_bytes(command_count: int) -> float:
    """Return the size of an encoded state with the commands in its ledger."""
    state = ControlState()
    for i in range(command_count):
        apply_change(state, Intend(f"key-{i}", "f" * 32, f"r{i}", 0.0))
    return len(encode_state(state))


def changes_bytes(change_count: int) -> float:
    """Return the size in the log of a number of configuration changes."""
    operations = operation_codec().encode([SetZone("z1", ZoneState.OUT)])
    change = Configure(
        "c" * 32, 1, operations[HEADER_BYTES:], "zone z1 out", "change", 0.0
    )
    return change_count * len(change_codec().encode([change]))


def make_part(number: int) -> Part:
    return Part(
        f"p{number}",
        f"r{number}",
        "s",
        0,
        SNAPSHOT,
        '{"q": 1}',
        1.0,
        "f" * 32,
        True,
        "r",
    )


def frame_coding_s(part_count: int) -> float:
    """Return the time to encode and decode part requests and their rows.

    Frames hold 64 messages, as between two entries.
    """
    codec = make_peer_codec()
    part_requests = [AskPart(make_part(i)) for i in range(part_count)]
    rows = [
        PartRows(f"p{i}", SNAPSHOT, ({"row": i},), 1) for i in range(part_count)
    ]

    def work() -> None:
        for messages in (part_requests, rows):
            for start in range(0, part_count, 64):
                frame = codec.encode(messages[start : start + 64])
                codec.decode(frame[HEADER_BYTES:])

    return cpu_s(work)


def admission_s(part_count: int) -> float:
    """Return the time of a warm pool to admit, send and complete parts."""
    upstreams = tuple(
        Upstream(f"u{i}", "10.0.0.1", 1, "z", "v1") for i in range(2)
    )
    pool = Pool("s", "v1", PoolTuning(ZoneAware("z", 0.001)))
    actions = step(pool, PoolReconfigured(upstreams, Limits()), 0.0)
    for action in actions:
        if isinstance(action, OpenConnection):
            opened = ConnectionOpened(
                action.connection_id, action.upstream.id, "i"
            )
            step(pool, opened, 0.0)
    incoming_parts = [make_part(i) for i in range(part_count)]
    reply = RowsReply(SNAPSHOT, (1,))
    now = 0.0

    def work() -> None:
        nonlocal now
        for part in incoming_parts:
            now += 0.001
            for action in step(pool, PartArrived(part), now):
                if isinstance(action, SendAttempt):
                    answer = AttemptAnswered(
                        action.connection_id, action.attempt_id, "i", reply
                    )
                    step(pool, answer, now)

    return cpu_s(work)


SLOPES: dict[str, tuple[Callable[[int], float], str]] = {
    "configuration, encoded": (configuration_bytes, "bytes an upstream"),
    "configuration, decoding": (configuration_decode_s, "s an upstream"),
    "configuration, memory": (configuration_memory_bytes, "bytes an upstream"),
    "delta, applying": (delta_apply_s, "s an upstream"),
    "placement on 100 members": (placement_s, "s a service"),
    "placement, one replaced": (placement_change_s, "s a service"),
    "heartbeat and grant": (heartbeat_handling_s, "s an entry"),
    "table of members, encoded": (table_bytes, "bytes an entry"),
    "ledger, applying": (ledger_apply_s, "s a command"),
    "ledger, state": (ledger_state_bytes, "bytes a command"),
    "change in the log": (changes_bytes, "bytes a change"),
    "frames between entries": (frame_coding_s, "s a part"),
    "admission": (admission_s, "s a part"),
}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    results = {}
    for name, (measure, unit) in SLOPES.items():
        points = [(float(size), measure(size)) for size in SIZES]
        results[name] = {**fit_line(points), "unit": unit, "points": points}
        result = results[name]
        print(
            f"{name:28} {result['slope']:12.4g} {unit:18} "
            f"fit error {result['error']:.1%}"
        )
    peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print(f"peak memory of this run: {peak_kb / 1024:.0f} MB")
    if args.out:
        with open(args.out, "w", encoding="utf-8") as file:
            json.dump(results, file, indent=1)


if __name__ == "__main__":
    main()
