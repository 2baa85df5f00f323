"""End-to-end tests on real sockets: answers, refusals and process losses."""

import asyncio
import contextlib

import pytest

from berylspool.exception import ConnectionLostError, ListenError
from berylspool.process.entry.role import Entry
from berylspool.tests.cluster import cluster, post


def run(test):
    asyncio.run(test)


def test_query_is_answered_whole_from_one_snapshot(tmp_path):
    async def body():
        async with cluster(tmp_path) as running:
            for entry in running.entry_by_name:
                status, answer = await running.query(entry, request_id="mine")
                assert status == 200 and answer["request_id"] == "mine"
                assert answer["coverage"] == {
                    "shards_total": 3,
                    "shards_answered": 3,
                    "missing": {},
                }
                assert [row["shard"] for row in answer["rows"]] == [0, 1, 2]
                versions = {row["version"] for row in answer["rows"]}
                assert versions == {answer["snapshot"]["index_version"]}

    run(body())


def test_bad_input_gets_a_typed_error_and_disturbs_nobody(tmp_path):
    async def body():
        async with cluster(tmp_path, entries=1, controls=0) as running:
            address = running.settings.entries["entry-0"].address
            for data in (b"{", b"\xff\xfe", b"[]", b'{"route": "wide"}'):
                status, answer = await post(address, "/v1/query", data)
                assert status == 400
                assert answer["outcome"] == "not_run" and answer["details"]
            status, answer = await running.query("entry-0", route="ghost")
            assert (status, answer["error"]) == (404, "unknown_route")
            with contextlib.suppress(ConnectionLostError):
                status, _ = await post(address, "/v1/query", b"x" * 2_000_000)
                assert status == 400
            status, _ = await running.query("entry-0")
            assert status == 200

    run(body())


def test_lost_service_is_stated_as_missing_coverage(tmp_path):
    async def body():
        async with cluster(tmp_path) as running:
            for zone in "ab":
                status, _ = await running.command(
                    f"drain upstream wide-1-v1-{zone}", wait=True
                )
                assert status == 200
            status, answer = await running.query("entry-0")
            assert status == 200
            assert answer["coverage"]["shards_answered"] == 2
            assert answer["coverage"]["missing"] == {"1": "no_upstream"}
            status, answer = await running.query("entry-0", min_coverage=1)
            assert status == 503 and answer["error"] == "no_upstream"

    run(body())


def test_resent_command_runs_once_and_gets_the_recorded_answer(tmp_path):
    async def body():
        async with cluster(tmp_path, controls=3) as running:
            send = {"route": "narrow", "path": "/v1/command", "key": "k"}
            status, first = await running.query("entry-0", **send)
            assert status == 200
            await running.kill_entry("entry-0")
            status, again = await running.query("entry-1", **send)
            assert status == 200 and again["rows"] == first["rows"]
            assert len(running.runs(idempotent="false")) == 1
            status, answer = await running.query(
                "entry-1", **send, query={"q": 2}
            )
            assert (status, answer["error"]) == (409, "key_reused")

    run(body())


def test_command_that_crashes_its_upstream_is_unknown_and_not_resent(
    tmp_path,
):
    async def body():
        async with cluster(tmp_path, entries=1) as running:
            send = {
                "route": "narrow",
                "path": "/v1/command",
                "key": "k",
                "query": {"crash": 1},
            }
            status, answer = await running.query("entry-0", **send)
            assert status == 503 and answer["outcome"] == "unknown"
            status, answer = await running.query("entry-0", **send)
            assert (status, answer["error"]) == (409, "in_progress")
            deaths = [
                r for r in running.records if r["event"] == "query_of_death"
            ]
            assert len(deaths) == 1

    run(body())


def test_query_of_death_costs_two_upstreams_however_often_resent(tmp_path):
    async def body():
        async with cluster(tmp_path) as running:
            await asyncio.sleep(0.5)
            for number in range(12):
                entry = f"entry-{number % 2}"
                status, answer = await running.query(
                    entry, "narrow", query={"crash": 1}, deadline_ms=800
                )
                assert status != 200
                status, _ = await running.query(entry, "narrow")
            deaths = {
                r["instance"]
                for r in running.records
                if r["event"] == "query_of_death"
            }
            assert len(deaths) <= 2
            await asyncio.sleep(1.0)
            status, _ = await running.query("entry-0", "narrow")
            assert status == 200

    run(body())


def test_services_of_a_killed_entry_move_to_the_others(tmp_path):
    async def body():
        async with cluster(tmp_path, entries=3, lease_s=0.5) as running:
            await running.kill_entry("entry-2")
            status, answer = await running.query(
                "entry-0", min_coverage=1, deadline_ms=8000
            )
            assert status == 200, answer
            assert answer["coverage"]["shards_answered"] == 3

    run(body())


def test_graceful_stop_cuts_and_loses_nothing(tmp_path):
    async def body():
        async with cluster(tmp_path, entries=3) as running:
            leaving = running.entry_by_name["entry-1"]
            replies = []

            async def send(entry):
                replies.append(await running.query(entry, min_coverage=1))

            tasks = []
            stopping = None
            for number in range(150):
                if number == 40:
                    stopping = asyncio.ensure_future(leaving.stop())
                to_leaving = number < 40 or leaving.is_ready.value
                entry = "entry-1" if to_leaving and number % 3 else "entry-0"
                tasks.append(asyncio.ensure_future(send(entry)))
                await asyncio.sleep(0.01)
            await asyncio.gather(*tasks)
            await stopping
            del running.entry_by_name["entry-1"]
            assert {status for status, _ in replies} == {200}
            assert len(replies) == 150

    run(body())


def test_zone_that_is_out_gets_no_new_work(tmp_path):
    async def body():
        async with cluster(tmp_path) as running:
            await running.query("entry-0")
            status, answer = await running.command("zone b out", wait=True)
            assert answer["in_force"]["everywhere"] is True
            mark = len(running.records)
            for number in range(20):
                status, answer = await running.query(
                    f"entry-{number % 2}", min_coverage=1
                )
                assert status == 200
            after = [r for r in running.records[mark:] if r["event"] == "run"]
            assert len(after) >= 60
            assert all(r["upstream"].endswith("-a") for r in after)
            status, answer = await running.command("zone b in", wait=True)
            mark = len(running.records)

            def has_come_back():
                return any(
                    r["upstream"].endswith("-b")
                    for r in running.records[mark:]
                    if r["event"] == "run"
                )

            async with asyncio.timeout(20):
                while not has_come_back():
                    await asyncio.gather(
                        *(running.query(f"entry-{n % 2}") for n in range(20))
                    )

    run(body())


def test_entry_cut_off_from_control_stops_within_its_lease(tmp_path):
    async def body():
        async with cluster(
            tmp_path, entries=1, controls=3, lease_s=0.5
        ) as running:
            for name in list(running.control_by_name)[:2]:
                await running.kill_control(name)
            await running.until(
                lambda: not running.entry_by_name["entry-0"].is_ready.value
            )
            mark = len(running.runs())
            status, answer = await running.query("entry-0", deadline_ms=300)
            assert (status, answer["error"]) == (503, "lease_expired")
            assert answer["outcome"] == "not_run"
            assert len(running.runs()) == mark

    run(body())


def test_accepted_change_survives_the_leader_and_a_second_loss_after_repair(
    tmp_path,
):
    async def body():
        async with cluster(tmp_path, entries=1, controls=3) as running:
            await running.command("zone b out", wait=True)
            lost = running.leader()
            await running.kill_control(lost)
            folder = tmp_path / lost
            for file in folder.iterdir():
                file.unlink()
            running.start_control(lost, is_init=True)
            await running.until(
                lambda: not running.control_by_name[lost].replica.is_founding
            )
            id = running.control_by_name[lost].replica.node.id
            assert id != f"{lost}.0"
            status, answer = 0, {}
            while status != 200:
                status, answer = await running.command(
                    f"replace control {lost}"
                )
                await asyncio.sleep(0.1)
            await running.until(
                lambda: (
                    id
                    in running.control_by_name[lost].replica.node.group.voters
                )
            )
            await running.until(running.leader)
            second = next(n for n in running.control_by_name if n != lost)
            await running.kill_control(second)
            status, answer = await running.command("show zones")
            states = {r["zone"]: r["state"] for r in answer["rows"]}
            assert states == {"a": "in", "b": "out"}
            status, answer = await running.command("zone b in")
            assert status == 200

    run(body())


def test_entry_without_a_configuration_refuses_in_truth(tmp_path):
    async def body():
        async with cluster(tmp_path, entries=1, controls=3) as running:
            for name in list(running.control_by_name):
                await running.kill_control(name)
            await running.kill_entry("entry-0")
            await running.start_entry("entry-0")
            status, answer = await running.query("entry-0")
            assert (status, answer["error"]) == (503, "no_control")
            assert answer["outcome"] == "not_run"

    run(body())


def test_tokens_bound_what_an_operator_may_do(tmp_path):
    async def body():
        tokens = {"read": "r-token", "change": "c-token"}
        async with cluster(tmp_path, entries=1, tokens=tokens) as running:
            status, answer = await running.command("show zones")
            assert (status, answer["error"]) == (
                401,
                "PermissionDeniedError",
            )

    run(body())


def test_address_in_use_is_a_typed_error(tmp_path):
    async def body():
        async with cluster(tmp_path, entries=1, controls=0) as running:
            second = Entry("entry-0", running.settings)
            with pytest.raises(ListenError):
                await second.start()
            for task in second._tasks:
                task.cancel()

    run(body())
