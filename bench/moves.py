"""Moves routes to good and faulty versions under load and checks the result.

Usage: python -m bench.moves [--cases good,failing] [--seed 1]

A move to a good version should be done, one to a faulty version taken back.
"""

import argparse
import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

import orjson

from bench.deployment import Deployment, run_deployment
from berylspool.connection.http import open_http_connection
from berylspool.exception import ConnectionLostError, ProtocolError
from berylspool.process.settings import split_address
from berylspool.tool.load_generator import LoadPlan, run_load

ROUTE = "pitch-lookup"
QUERIES_PER_S = 60.0
MOVE_LIMIT_S = 40
WARM_UP_S = 6.0
POLL_INTERVAL_S = 0.5


@dataclass(frozen=True)
class MoveCase:
    """Behaviour of a version, and the disturbance during the move to it.

    Attributes:
        is_good: Whether the move should be done rather than taken back.
        initial_fault: Fault of its stand-ins from the start of the move.
        late_fault: Fault of its stand-ins that begins during the move.
        late_fault_after_s: Time from the start of the move to the late fault,
            seconds.
        crash_every_s: Time between crashes of its stand-ins, seconds; 0 for
            none.
        disturbance: Disturbance of the deployment during the move: `zone`
            takes a zone out of service, `leader` kills and restarts the leader
            of the control nodes; empty for none.
    """

    is_good: bool
    initial_fault: dict[str, Any] = field(default_factory=dict)
    late_fault: dict[str, Any] = field(default_factory=dict)
    late_fault_after_s: float = 0.0
    crash_every_s: float = 0.0
    disturbance: str = ""


CASES = {
    "good": MoveCase(True),
    "good_cold": MoveCase(True, {"crash": True}),
    "good_while_zone_leaves": MoveCase(True, disturbance="zone"),
    "good_while_leader_dies": MoveCase(True, disturbance="leader"),
    "failing": MoveCase(False, {"fail_share": 0.5}),
    "failing_some": MoveCase(False, {"fail_share": 0.1}),
    "failing_late": MoveCase(
        False, late_fault={"fail_share": 0.5}, late_fault_after_s=12.0
    ),
    "slow": MoveCase(False, {"slow_factor": 4.0}),
    "slow_some": MoveCase(False, {"slow_factor": 2.0}),
    "slow_late": MoveCase(
        False, late_fault={"slow_factor": 4.0}, late_fault_after_s=12.0
    ),
    "thin": MoveCase(False, {"thin_share": 0.5}),
    "crash_loop": MoveCase(False, crash_every_s=1.5),
    "failing_while_leader_dies": MoveCase(
        False,
        late_fault={"fail_share": 0.5},
        late_fault_after_s=10.0,
        disturbance="leader",
    ),
}


async def set_fault(deployment: Deployment, version: str, fault: dict) -> None:
    """Set the fault of all stand-in upstreams of a version."""
    for service in deployment.settings["initial"]["services"].values():
        for upstream in service["upstreams"].values():
            if upstream["version"] != version:
                continue
            body = orjson.dumps(fault)
            headers = {"Host": "x", "Content-Length": str(len(body))}
            try:
                connection = await open_http_connection(
                    *split_address(upstream["address"]), 1.0
                )
                await connection.send("POST", "/standin/fault", headers, body)
                connection.close()
            except (ConnectionLostError, ProtocolError):
                continue


async def ctl(deployment: Deployment, *words: str) -> str:
    """Run one operator command in a thread and return its output."""
    return await asyncio.to_thread(deployment.ctl, *words)


async def fetch_move(deployment: Deployment) -> dict:
    """Return the current state of the route's move; empty without one."""
    text = await ctl(deployment, "--json", "show", "moves")
    rows = orjson.loads(text)["rows"] if text.startswith("{") else []
    return next((r for r in rows if r["route"] == ROUTE), {})


async def run_move(
    deployment: Deployment, case: MoveCase, new_version: str
) -> dict:
    """Run one move to its end.

    Args:
        deployment: The deployment.
        case: Faults and disturbance during the move.
        new_version: Version that the route moves to.

    Returns:
        Last state and cause of the move, its length in seconds, and the time
        from the fault to the beginning of the taking back in seconds.
    """
    if case.initial_fault:
        await set_fault(deployment, new_version, case.initial_fault)
    started = time.time()
    within = f"{MOVE_LIMIT_S}s"
    output = await ctl(
        deployment, "move", ROUTE, "to", new_version, "within", within
    )
    assert output.startswith("accepted"), output
    fault_at, taking_back_at, crash_at = started, 0.0, started
    move: dict = {}
    has_disturbed = False
    while time.time() - started < MOVE_LIMIT_S + 20:
        now = time.time()
        if (
            case.late_fault
            and fault_at == started
            and (now - started >= case.late_fault_after_s)
        ):
            await set_fault(deployment, new_version, case.late_fault)
            fault_at = time.time()
        if case.crash_every_s and now - crash_at >= case.crash_every_s:
            crash_at = now
            await set_fault(deployment, new_version, {"crash": True})
        if case.disturbance and not has_disturbed and now - started > 5.0:
            has_disturbed = True
            await disturb(deployment, case.disturbance)
        move = await fetch_move(deployment) or move
        if move.get("state") == "taking_back" and not taking_back_at:
            taking_back_at = time.time()
        if move.get("state") in ("done", "taken_back"):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    return {
        "state": move.get("state"),
        "cause": move.get("cause"),
        "took_s": round(time.time() - started, 1),
        "from_fault_s": round(taking_back_at - fault_at, 1)
        if taking_back_at
        else None,
    }


async def disturb(deployment: Deployment, disturbance: str) -> None:
    """Take a zone out of service, or kill and restart the leader."""
    match disturbance:
        case "zone":
            await ctl(deployment, "zone", "derby", "out")
        case "leader":
            text = await ctl(deployment, "--json", "show", "status")
            leader = orjson.loads(text)["rows"][0]["leader"]
            deployment.kill(leader)
            deployment.start_control(leader)


async def run_case(
    deployment: Deployment, case: MoveCase, new_version: str, seed: int
):
    """Run the move of one case under load and return its result."""
    entries = deployment.settings["entries"].values()
    targets = tuple(split_address(e["address"]) for e in entries)
    plan = LoadPlan(
        targets, ROUTE, QUERIES_PER_S, MOVE_LIMIT_S + 25.0, 1000, seed, 0.0
    )
    load = asyncio.ensure_future(run_load(plan))
    await asyncio.sleep(WARM_UP_S)
    result = await run_move(deployment, case, new_version)
    await asyncio.sleep(1.0)
    load.cancel()
    await asyncio.gather(load, return_exceptions=True)
    return result


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    results = {}
    changes = {"log": {"path": "log.jsonl", "decisions": False}}
    for name in args.cases.split(","):
        case = CASES[name]
        with run_deployment("demo", changes) as deployment:
            for route in deployment.settings["initial"]["routes"]:
                service_names = deployment.settings["initial"]["routes"][route][
                    "versions"
                ]["v1"]["services"]
                output = deployment.ctl(
                    "add",
                    "version",
                    "to",
                    route,
                    "version",
                    "v2",
                    "partition",
                    "2",
                    "services",
                    ",".join(service_names),
                )
                assert output.startswith("accepted"), output
            result = asyncio.run(run_case(deployment, case, "v2", args.seed))
        expected = "done" if case.is_good else "taken_back"
        result["as_expected"] = result["state"] == expected
        results[name] = result
        print(f"{name:26} {json.dumps(result)}", flush=True)
    expected_count = sum(r["as_expected"] for r in results.values())
    print(f"{expected_count} of {len(results)} as expected")


if __name__ == "__main__":
    main()
