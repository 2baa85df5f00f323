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

from bench.deployment import Deployment, deployment
from berylspool.connection.http import connect
from berylspool.exception import ConnectionLostError, ProtocolError
from berylspool.process.settings import split_address
from berylspool.tool.load import LoadPlan, run_load

ROUTE = "pitch-lookup"
RATE = 60.0
WITHIN_S = 40
SETTLE_S = 6.0
POLL_S = 0.5


@dataclass(frozen=True)
class Case:
    """Behaviour of a version, and the disturbance during the move to it.

    Attributes:
        is_good: Whether the move should be done rather than taken back.
        at_start: Fault of its stand-ins from the start of the move.
        later: Fault of its stand-ins that begins during the move.
        later_s: Time from the start of the move to the later fault, seconds.
        crash_every_s: Time between crashes of its stand-ins, seconds; 0 for
            none.
        also: Disturbance of the deployment during the move: `zone` puts a
            zone out, `leader` kills and restarts the leader of control; empty
            for none.
    """

    is_good: bool
    at_start: dict[str, Any] = field(default_factory=dict)
    later: dict[str, Any] = field(default_factory=dict)
    later_s: float = 0.0
    crash_every_s: float = 0.0
    also: str = ""


CASES = {
    "good": Case(True),
    "good_cold": Case(True, {"crash": True}),
    "good_while_zone_leaves": Case(True, also="zone"),
    "good_while_leader_dies": Case(True, also="leader"),
    "failing": Case(False, {"fail_share": 0.5}),
    "failing_some": Case(False, {"fail_share": 0.1}),
    "failing_late": Case(False, later={"fail_share": 0.5}, later_s=12.0),
    "slow": Case(False, {"slow_factor": 4.0}),
    "slow_some": Case(False, {"slow_factor": 2.0}),
    "slow_late": Case(False, later={"slow_factor": 4.0}, later_s=12.0),
    "thin": Case(False, {"thin_share": 0.5}),
    "crash_loop": Case(False, crash_every_s=1.5),
    "failing_while_leader_dies": Case(
        False, later={"fail_share": 0.5}, later_s=10.0, also="leader"
    ),
}


async def set_fault(running: Deployment, version: str, fault: dict) -> None:
    for service in running.settings["initial"]["services"].values():
        for upstream in service["upstreams"].values():
            if upstream["version"] != version:
                continue
            data = orjson.dumps(fault)
            headers = {"Host": "x", "Content-Length": str(len(data))}
            try:
                stream = await connect(*split_address(upstream["address"]), 1.0)
                await stream.send("POST", "/standin/fault", headers, data)
                stream.close()
            except (ConnectionLostError, ProtocolError):
                continue


async def ctl(running: Deployment, *words: str) -> str:
    return await asyncio.to_thread(running.ctl, *words)


async def show_move(running: Deployment) -> dict:
    text = await ctl(running, "--json", "show", "moves")
    rows = orjson.loads(text)["rows"] if text.startswith("{") else []
    return next((r for r in rows if r["route"] == ROUTE), {})


async def watch(running: Deployment, case: Case, new: str) -> dict:
    """Run one move to its end.

    Args:
        running: The deployment.
        case: Faults and disturbance during the move.
        new: Version that the route moves to.

    Returns:
        Last state and cause of the move, its length in seconds, and the time
        from the fault to the beginning of the taking back in seconds.
    """
    if case.at_start:
        await set_fault(running, new, case.at_start)
    started = time.time()
    within = f"{WITHIN_S}s"
    said = await ctl(running, "move", ROUTE, "to", new, "within", within)
    assert said.startswith("accepted"), said
    showed_at, taken_at, crash_at = started, 0.0, started
    row: dict = {}
    has_disturbed = False
    while time.time() - started < WITHIN_S + 20:
        now = time.time()
        if (
            case.later
            and showed_at == started
            and (now - started >= case.later_s)
        ):
            await set_fault(running, new, case.later)
            showed_at = time.time()
        if case.crash_every_s and now - crash_at >= case.crash_every_s:
            crash_at = now
            await set_fault(running, new, {"crash": True})
        if case.also and not has_disturbed and now - started > 5.0:
            has_disturbed = True
            await disturb(running, case.also)
        row = await show_move(running) or row
        if row.get("state") == "taking_back" and not taken_at:
            taken_at = time.time()
        if row.get("state") in ("done", "taken_back"):
            break
        await asyncio.sleep(POLL_S)
    return {
        "state": row.get("state"),
        "cause": row.get("cause"),
        "took_s": round(time.time() - started, 1),
        "from_fault_s": round(taken_at - showed_at, 1) if taken_at else None,
    }


async def disturb(running: Deployment, kind: str) -> None:
    match kind:
        case "zone":
            await ctl(running, "zone", "derby", "out")
        case "leader":
            text = await ctl(running, "--json", "show", "status")
            leader = orjson.loads(text)["rows"][0]["leader"]
            running.kill(leader)
            running.start_control(leader)


async def run_case(running: Deployment, case: Case, new: str, seed: int):
    entries = running.settings["entries"].values()
    targets = tuple(split_address(e["address"]) for e in entries)
    plan = LoadPlan(targets, ROUTE, RATE, WITHIN_S + 25.0, 1000, seed, 0.0)
    load = asyncio.ensure_future(run_load(plan))
    await asyncio.sleep(SETTLE_S)
    ended = await watch(running, case, new)
    await asyncio.sleep(1.0)
    load.cancel()
    await asyncio.gather(load, return_exceptions=True)
    return ended


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    results = {}
    changes = {"log": {"path": "log.jsonl", "decisions": False}}
    for name in args.cases.split(","):
        case = CASES[name]
        with deployment("demo", changes) as running:
            for route in running.settings["initial"]["routes"]:
                names = running.settings["initial"]["routes"][route][
                    "versions"
                ]["v1"]["services"]
                said = running.ctl(
                    "add",
                    "version",
                    "to",
                    route,
                    "version",
                    "v2",
                    "partition",
                    "2",
                    "services",
                    ",".join(names),
                )
                assert said.startswith("accepted"), said
            ended = asyncio.run(run_case(running, case, "v2", args.seed))
        expected = "done" if case.is_good else "taken_back"
        ended["as_expected"] = ended["state"] == expected
        results[name] = ended
        print(f"{name:26} {json.dumps(ended)}", flush=True)
    right = sum(r["as_expected"] for r in results.values())
    print(f"{right} of {len(results)} as expected")


if __name__ == "__main__":
    main()
