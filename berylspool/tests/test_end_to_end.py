"""End-to-end tests on real sockets: answers, refusals and process losses."""

import asyncio
import contextlib

import pytest

from berylspool.exception import ConnectionLostError, ListenError
from berylspool.process.entry.role import Entry
from berylspool.tests.cluster import post_json, run_cluster


def run(test):
    asyncio.run(test)


def test_query_is_answered_whole_from_one_snapshot(tmp_path):
    async def body():
        async with run_cluster(tmp_path) as cluster:
            for entry in cluster.entry_by_name:
                status, answer = await cluster.send_request(
                    entry, request_id="mine"
                )
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


def test_invalid_input_gets_a_typed_error_and_affects_no_other_request(
    tmp_path,
):
    async def body():
        async with run_cluster(tmp_path, entries=1, controls=0) as cluster:
            address = cluster.settings.entries["entry-0"].address
            for data in (b"{", b"\xff\xfe", b"[]", b'{"route": "wide"}'):
                status, answer = await post_json(address, "/v1/query", data)
                assert status == 400
                assert answer["outcome"] == "not_run" and answer["details"]
            status, answer = await cluster.send_request(
                "entry-0", route="ghost"
            )
            assert (status, answer["error"]) == (404, "unknown_route")
            with contextlib.suppress(ConnectionLostError):
                status, _ = await post_json(
                    address, "/v1/query", b"x" * 2_000_000
                )
                assert status == 400
            status, _ = await cluster.send_request("entry-0")
            assert status == 200

    run(body())


def test_lost_service_is_stated_as_missing_coverage(tmp_path):
    async def body():
        async with run_cluster(tmp_path) as cluster:
            for zone in "ab":
                status, _ = await cluster.send_operator_command(
                    f"drain upstream wide-1-v1-{zone}", wait=True
                )
                assert status == 200
            status, answer = await cluster.send_request("entry-0")
            assert status == 200
            assert answer["coverage"]["shards_answered"] == 2
            assert answer["coverage"]["missing"] == {"1": "no_upstream"}
            status, answer = await cluster.send_request(
                "entry-0", min_coverage=1
            )
            assert status == 503 and answer["error"] == "no_upstream"

    run(body())


def test_resent_command_runs_once_and_gets_the_recorded_answer(tmp_path):
    async def body():
        async with run_cluster(tmp_path, controls=3) as cluster:
            request = {"route": "narrow", "path": "/v1/command", "key": "k"}
            status, first = await cluster.send_request("entry-0", **request)
            assert status == 200
            await cluster.kill_entry("entry-0")
            status, again = await cluster.send_request("entry-1", **request)
            assert status == 200 and again["rows"] == first["rows"]
            assert len(cluster.run_records(idempotent="false")) == 1
            status, answer = await cluster.send_request(
                "entry-1", **request, query={"q": 2}
            )
            assert (status, answer["error"]) == (409, "key_reused")

    run(body())


def test_command_that_crashes_its_upstream_is_unknown_and_not_resent(
    tmp_path,
):
    async def body():
        async with run_cluster(tmp_path, entries=1) as cluster:
            request = {
                "route": "narrow",
                "path": "/v1/command",
                "key": "k",
                "query": {"crash": 1},
            }
            status, answer = await cluster.send_request("entry-0", **request)
            assert status == 503 and answer["outcome"] == "unknown"
            status, answer = await cluster.send_request("entry-0", **request)
            assert (status, answer["error"]) == (409, "in_progress")
            crash_records = [
                r for r in cluster.records if r["event"] == "query_of_death"
            ]
            assert len(crash_records) == 1

    run(body())


def test_query_of_death_crashes_at_most_two_upstreams(tmp_path):
    async def body():
        async with run_cluster(tmp_path) as cluster:
            await asyncio.sleep(0.5)
            for number in range(12):
                entry = f"entry-{number % 2}"
                status, answer = await cluster.send_request(
                    entry, "narrow", query={"crash": 1}, deadline_ms=800
                )
                assert status != 200
                status, _ = await cluster.send_request(entry, "narrow")
            crash_records = {
                r["instance"]
                for r in cluster.records
                if r["event"] == "query_of_death"
            }
            assert len(crash_records) <= 2
            await asyncio.sleep(1.0)
            status, _ = await cluster.send_request("entry-0", "narrow")
            assert status == 200

    run(body())


def test_services_of_a_killed_entry_move_to_the_others(tmp_path):
    async def body():
        async with run_cluster(tmp_path, entries=3, lease_s=0.5) as cluster:
            await cluster.kill_entry("entry-2")
            status, answer = await cluster.send_request(
                "entry-0", min_coverage=1, deadline_ms=8000
            )
            assert status == 200, answer
            assert answer["coverage"]["shards_answered"] == 3

    run(body())


def test_graceful_stop_loses_no_request(tmp_path):
    async def body():
        async with run_cluster(tmp_path, entries=3) as cluster:
            leaving_entry = cluster.entry_by_name["entry-1"]
            replies = []

            async def send(entry):
                replies.append(
                    await cluster.send_request(entry, min_coverage=1)
                )

            tasks = []
            stop_task = None
            for number in range(150):
                if number == 40:
                    stop_task = asyncio.ensure_future(leaving_entry.stop())
                to_leaving = number < 40 or leaving_entry.is_ready.value
                entry = "entry-1" if to_leaving and number % 3 else "entry-0"
                tasks.append(asyncio.ensure_future(send(entry)))
                await asyncio.sleep(0.01)
            await asyncio.gather(*tasks)
            await stop_task
            del cluster.entry_by_name["entry-1"]
            assert {status for status, _ in replies} == {200}
            assert len(replies) == 150

    run(body())


def test_graceful_stop_answers_requests_that_do_not_end_in_time(tmp_path):
    async def body():
        async with run_cluster(tmp_path, entries=1) as cluster:
            entry = cluster.entry_by_name["entry-0"]
            entry.own_settings = entry.own_settings.model_copy(
                update={"notice_s": 0.1, "drain_s": 0.6}
            )
            for standin in cluster.standin_by_id.values():
                standin.fault.is_silent = True
            sending = asyncio.ensure_future(cluster.send_request("entry-0"))
            await cluster.wait_until(cluster.run_records)
            await entry.stop()
            del cluster.entry_by_name["entry-0"]
            await asyncio.sleep(0.1)
            assert sending.done()
            _, answer = await sending
            assert answer["outcome"] == "unknown"

    run(body())


def test_zone_that_is_out_gets_no_new_work(tmp_path):
    async def body():
        async with run_cluster(tmp_path) as cluster:
            await cluster.send_request("entry-0")
            status, answer = await cluster.send_operator_command(
                "zone b out", wait=True
            )
            assert answer["in_force"]["everywhere"] is True
            count_before = len(cluster.records)
            for number in range(20):
                status, answer = await cluster.send_request(
                    f"entry-{number % 2}", min_coverage=1
                )
                assert status == 200
            records_after = [
                r for r in cluster.records[count_before:] if r["event"] == "run"
            ]
            assert len(records_after) >= 60
            assert all(r["upstream"].endswith("-a") for r in records_after)
            status, answer = await cluster.send_operator_command(
                "zone b in", wait=True
            )
            count_before = len(cluster.records)

            def has_come_back():
                return any(
                    r["upstream"].endswith("-b")
                    for r in cluster.records[count_before:]
                    if r["event"] == "run"
                )

            async with asyncio.timeout(20):
                while not has_come_back():
                    await asyncio.gather(
                        *(
                            cluster.send_request(f"entry-{n % 2}")
                            for n in range(20)
                        )
                    )

    run(body())


def test_entry_cut_off_from_control_stops_within_its_lease(tmp_path):
    async def body():
        async with run_cluster(
            tmp_path, entries=1, controls=3, lease_s=0.5
        ) as cluster:
            for name in list(cluster.control_by_name)[:2]:
                await cluster.kill_control(name)
            await cluster.wait_until(
                lambda: not cluster.entry_by_name["entry-0"].is_ready.value
            )
            count_before = len(cluster.run_records())
            status, answer = await cluster.send_request(
                "entry-0", deadline_ms=300
            )
            assert (status, answer["error"]) == (503, "lease_expired")
            assert answer["outcome"] == "not_run"
            assert len(cluster.run_records()) == count_before

    run(body())


def test_accepted_change_survives_the_leader_and_a_second_loss_after_repair(
    tmp_path,
):
    async def body():
        async with run_cluster(tmp_path, entries=1, controls=3) as cluster:
            await cluster.send_operator_command("zone b out", wait=True)
            lost_leader = cluster.leader_name()
            await cluster.kill_control(lost_leader)
            folder = tmp_path / lost_leader
            for file in folder.iterdir():
                file.unlink()
            cluster.start_control(lost_leader, is_init=True)
            await cluster.wait_until(
                lambda: (
                    not cluster.control_by_name[lost_leader].replica.is_founding
                )
            )
            node_id = cluster.control_by_name[lost_leader].replica.node.id
            assert node_id != f"{lost_leader}.0"
            status, answer = 0, {}
            while status != 200:
                status, answer = await cluster.send_operator_command(
                    f"replace control {lost_leader}"
                )
                await asyncio.sleep(0.1)
            await cluster.wait_until(
                lambda: (
                    node_id
                    in cluster.control_by_name[
                        lost_leader
                    ].replica.node.group.voters
                )
            )
            await cluster.wait_until(cluster.leader_name)
            second_lost_node = next(
                n for n in cluster.control_by_name if n != lost_leader
            )
            await cluster.kill_control(second_lost_node)
            status, answer = await cluster.send_operator_command("show zones")
            state_by_zone = {r["zone"]: r["state"] for r in answer["rows"]}
            assert state_by_zone == {"a": "in", "b": "out"}
            status, answer = await cluster.send_operator_command("zone b in")
            assert status == 200

    run(body())


def test_entry_without_a_configuration_reports_not_run(tmp_path):
    async def body():
        async with run_cluster(tmp_path, entries=1, controls=3) as cluster:
            for name in list(cluster.control_by_name):
                await cluster.kill_control(name)
            await cluster.kill_entry("entry-0")
            await cluster.start_entry("entry-0")
            status, answer = await cluster.send_request("entry-0")
            assert (status, answer["error"]) == (503, "no_control")
            assert answer["outcome"] == "not_run"

    run(body())


def test_command_without_a_token_is_refused(tmp_path):
    async def body():
        tokens = {"read": "r-token", "change": "c-token"}
        async with run_cluster(tmp_path, entries=1, tokens=tokens) as cluster:
            status, answer = await cluster.send_operator_command("show zones")
            assert (status, answer["error"]) == (
                401,
                "PermissionDeniedError",
            )

    run(body())


def test_address_in_use_is_a_typed_error(tmp_path):
    async def body():
        async with run_cluster(tmp_path, entries=1, controls=0) as cluster:
            second_entry = Entry("entry-0", cluster.settings)
            with pytest.raises(ListenError):
                await second_entry.start()
            for task in second_entry._tasks:
                task.cancel()

    run(body())
