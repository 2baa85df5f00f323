"""Wide requests divided among the entries of a zone, over sockets."""

import asyncio
import time

import pytest

from berylspool.connection.message import Member
from berylspool.platform.tests.test_forwarding import make_records
from berylspool.platform.tests.zone import (
    ANSWER_TIMEOUT_S,
    PROCESSOR_SHARE,
    SERVICES,
    Proxy,
    make_entry,
    run_zone,
)
from berylspool.request.query import Answer
from berylspool.tests.cluster import free_ports

ALL_RECORDS = make_records(*range(45))


def assert_whole(answer):
    assert isinstance(answer, Answer)
    assert answer.coverage.is_whole
    assert sorted(answer.rows) == sorted(
        ALL_RECORDS[start : start + 16]
        for start in range(0, len(ALL_RECORDS), 16)
    )


def test_parts_run_at_helpers_and_their_results_are_merged():
    async def scenario(zone):
        answers = [await zone.ask("e1", f"r{number}") for number in range(3)]
        names = [name for name in zone.entry_by_name if zone.accepted(name)]
        return zone, answers, names

    zone, answers, names = run_zone(scenario)
    for answer in answers:
        assert_whole(answer)
        assert len(answer.stamps) == len(SERVICES)
    assert zone.upstreams.most_copies("r2") == 1
    assert len(names) >= 2


def test_helpers_hold_no_log_lines_of_parts_that_have_ended():
    """They would be held, and then counted as dropped, for ever."""

    async def scenario(zone):
        await zone.ask("e1", "r")
        return [
            forwarder.log._held_lines.count
            for name, forwarder in zone.entry_by_name.items()
            if name != "e1"
        ]

    assert run_zone(scenario) == [0, 0, 0]


def test_all_entries_choose_the_same_helpers():
    async def scenario(zone):
        for name in list(zone.entry_by_name):
            assert_whole(await zone.ask(name, f"r-{name}"))
        return {name: zone.accepted(name) for name in zone.entry_by_name}

    accepted = run_zone(scenario)
    # Three slices, four entries: a helper runs its slice for three others.
    assert sorted(accepted.values()) == [0, 3, 3, 3]


def test_helpers_own_the_services_of_their_slices():
    """Connections and copies in even shares are too few for the helpers."""

    async def scenario(zone):
        await zone.ask("e1", "r")
        owners = dict.fromkeys(SERVICES, 0)
        for forwarder in zone.entry_by_name.values():
            configuration = forwarder.router.routing.configuration
            for name, service in configuration.service_by_name.items():
                limits = service.limits
                is_owner = limits.extra_copies > 0
                owners[name] += is_owner
                assert (limits.connections == 3) is is_owner
        # Those that have run its part own the service.
        for name, forwarder in zone.entry_by_name.items():
            if zone.accepted(name):
                configuration = forwarder.router.routing.configuration
                services = configuration.service_by_name.values()
                owned = [s for s in services if s.limits.extra_copies > 0]
                assert len(owned) == len(SERVICES) / 3
        return owners

    assert set(run_zone(scenario).values()) == {1}


def test_killed_helper_loses_no_part():
    """A helper that dies after accepting would take its slice with it."""

    async def scenario(zone):
        zone.upstreams.delay_s = 0.3
        asking = asyncio.ensure_future(zone.ask("e1", "r"))
        helper = await first_helper(zone)
        await zone.wait_until(lambda: zone.upstreams.started["r"])
        zone.kill_entry(helper)
        answer = await asking
        return zone, answer, zone.taken_back("e1", "link_lost")

    zone, answer, taken_back = run_zone(scenario)
    assert_whole(answer)
    assert taken_back == 1
    assert zone.upstreams.most_copies("r") <= 2


async def first_helper(zone):
    """Return an entry that has accepted a slice."""
    names = [name for name in zone.entry_by_name if name != "e1"]
    await zone.wait_until(lambda: any(map(zone.accepted, names)))
    return next(filter(zone.accepted, names))


async def put_proxies(zone):
    """Lead the links of `e1` through proxies, by the name of the helper."""
    proxies = {}
    members = dict(zone.member_by_name)
    for name, member in zone.member_by_name.items():
        if name != "e1":
            proxies[name] = proxy = Proxy(member.port)
            await proxy.start()
            members[name] = Member(name, "127.0.0.1", proxy.port, "z")
    zone.set_table("e1", members)
    await asyncio.sleep(0.05)
    await zone.wait_until(zone.is_linked)
    # Connections of the helpers open with the first request.
    assert_whole(await zone.ask("e1", "first"))
    return proxies


def run_with_proxies(scenario):
    async def run(zone):
        proxies = await put_proxies(zone)
        try:
            return await scenario(zone, proxies)
        finally:
            for proxy in proxies.values():
                proxy.stop()

    return run_zone(run)


def test_one_way_link_costs_no_part():
    """A helper whose answers do not arrive would keep its slices."""

    async def scenario(zone, proxies):
        for proxy in proxies.values():
            proxy.passes["answer"] = False
        answers = [await zone.ask("e1", f"r{number}") for number in range(2)]
        copies = zone.upstreams.most_copies("r0")
        # Its parts run here at once, as no helper has answered since.
        taken_back = zone.taken_back("e1", "late")
        await asyncio.sleep(0.7)
        answers.append(await zone.ask("e1", "r2"))
        return answers, copies, taken_back, zone.taken_back("e1", "late")

    answers, copies, taken_back, taken_back_later = run_with_proxies(scenario)
    for answer in answers:
        assert_whole(answer)
    assert copies <= 2
    assert 2 <= taken_back <= 3 and taken_back_later == taken_back


def test_lagging_helper_costs_no_part():
    """Answers that come too late must not count, nor must they be lost."""

    async def scenario(zone, proxies):
        for proxy in proxies.values():
            proxy.delay_s = 1.5 * ANSWER_TIMEOUT_S
        answer = await zone.ask("e1", "r")
        taken_back = zone.taken_back("e1", "late")
        for proxy in proxies.values():
            proxy.delay_s = 0.0
        await asyncio.sleep(0.8)
        sent = zone.sent("e1")
        last = await zone.ask("e1", "last")
        return zone, answer, taken_back, last, zone.sent("e1") - sent

    zone, answer, taken_back, last, sent = run_with_proxies(scenario)
    assert_whole(answer)
    assert 2 <= taken_back <= 3
    assert zone.upstreams.most_copies("r") <= 2
    # They have answered since, and their pause is over.
    assert_whole(last)
    assert 2 <= sent <= 3


def test_leaving_helper_refuses_and_the_parts_run_once():
    """An entry that stops would drop parts that it accepts."""

    async def scenario(zone):
        for name in ("e2", "e3", "e4"):
            zone.entry_by_name[name].delegation.stop_helping()
        answer = await zone.ask("e1", "r")
        return zone, answer, zone.taken_back("e1", "refused")

    zone, answer, taken_back = run_zone(scenario)
    assert_whole(answer)
    assert 2 <= taken_back <= 3
    assert zone.upstreams.most_copies("r") == 1


def test_helper_that_leaves_finishes_what_it_has_accepted():
    """Its parts would run once more, as extra copies."""

    async def scenario(zone):
        zone.upstreams.delay_s = 0.4
        asking = asyncio.ensure_future(zone.ask("e1", "r"))
        helper = await first_helper(zone)
        await zone.wait_until(lambda: len(zone.upstreams.started["r"]) == 45)
        # It stops, and control takes it out of the table.
        zone.entry_by_name[helper].delegation.stop_helping()
        members = dict(zone.member_by_name)
        del members[helper]
        zone.set_table("e1", members)
        await zone.wait_until(lambda: helper not in zone.linked("e1"))
        answer = await asking
        delegator = zone.entry_by_name["e1"].delegation.delegator
        await zone.wait_until(lambda: helper not in delegator._inbox_by_helper)
        return zone, answer, zone.taken_back("e1", "link_lost")

    zone, answer, taken_back = run_zone(scenario)
    assert_whole(answer)
    assert taken_back == 0
    assert zone.upstreams.most_copies("r") == 1


def test_least_coverage_is_answered_at_the_target_and_the_rest_dropped():
    """The drop of a thin answer must reach helpers as that of a caller."""

    async def scenario(zone):
        respond_slowly = zone.upstreams.slow_services
        respond_slowly |= set(SERVICES[::3])
        started_at = time.monotonic()
        answer = await zone.ask("e1", "r")
        elapsed_s = time.monotonic() - started_at
        await zone.wait_until(
            lambda: (
                not any(
                    pending_parts(zone, name) for name in zone.entry_by_name
                )
            )
        )
        return answer, elapsed_s, time.monotonic() - started_at

    answer, elapsed_s, until_dropped_s = run_zone(scenario)
    assert answer.coverage.answered == 30
    assert elapsed_s < 2.5 and until_dropped_s < 3.0


def test_members_that_do_not_listen_are_not_used():
    """An entry of an older build has no listener for links."""

    async def scenario(zone):
        [port] = free_ports(1)
        zone.member_by_name["e0"] = Member("e0", "127.0.0.1", port, "z")
        zone.apply_table()
        await asyncio.sleep(0.1)
        answer = await zone.ask("e1", "r")
        return zone, answer, zone.linked("e1"), zone.sent("e1")

    zone, answer, linked, sent = run_zone(scenario)
    assert_whole(answer)
    assert linked == {"e2", "e3", "e4"} and sent >= 2
    assert zone.upstreams.most_copies("r") == 1


def test_entries_with_different_member_tables_run_each_part():
    """Tables reach entries at different times, so helpers may differ."""

    async def scenario(zone):
        members = dict(zone.member_by_name)
        del members["e4"]
        zone.set_table("e1", members)
        await zone.wait_until(lambda: "e4" not in zone.linked("e1"))
        answers = await asyncio.gather(
            *[zone.ask(name, f"r-{name}") for name in ("e1", "e2", "e4")]
        )
        return zone, answers

    zone, answers = run_zone(scenario)
    for name, answer in zip(("e1", "e2", "e4"), answers, strict=True):
        assert_whole(answer)
        assert zone.upstreams.most_copies(f"r-{name}") == 1


def test_services_unknown_to_a_helper_run_at_the_first_entry():
    """A helper may have an older plan, which lacks a service."""

    async def scenario(zone):
        for name in ("e2", "e3", "e4"):
            pool_keys = zone.entry_by_name[name].router.routing.pool_keys
            pool_keys.remove(("s07", ""))
        return zone, await zone.ask("e1", "r")

    zone, answer = run_zone(scenario)
    assert_whole(answer)
    assert zone.upstreams.most_copies("r") == 1


def pending_parts(zone, name):
    return len(zone.entry_by_name[name].router.routing.pending_by_part)


async def ask_slowly(zone):
    """Start a request whose parts run at helpers, and return its task."""
    zone.upstreams.delay_s = 3.0
    caller_gone = asyncio.Event()
    asking = asyncio.ensure_future(zone.ask("e1", "r", caller_gone))
    helper = await first_helper(zone)
    await zone.wait_until(lambda: pending_parts(zone, helper))
    return asking, helper, caller_gone


def test_helper_drops_the_parts_of_a_first_entry_that_died():
    """Parts that nobody waits for would take slots of upstreams."""

    async def scenario(zone):
        asking, helper, _ = await ask_slowly(zone)
        started_at = time.monotonic()
        zone.kill_entry("e1")
        await zone.wait_until(lambda: not pending_parts(zone, helper))
        asking.cancel()
        return time.monotonic() - started_at

    assert run_zone(scenario) < 1.0


def test_helper_drops_the_parts_of_a_caller_that_left():
    """The drop must reach the helper at once, not at its time-out."""

    async def scenario(zone):
        asking, helper, caller_gone = await ask_slowly(zone)
        started_at = time.monotonic()
        caller_gone.set()
        await asking
        await zone.wait_until(lambda: not pending_parts(zone, helper))
        return time.monotonic() - started_at

    assert run_zone(scenario) < 1.0


def test_undivided_requests_and_resent_parts_stay_here():
    """A target that leaves enough time is not worth the frames."""

    async def scenario(zone):
        answer = await zone.ask("e1", "r")
        return answer, zone.sent("e1")

    answer, sent = run_zone(scenario, **{"target-latency-ms": 4000})
    assert_whole(answer)
    assert sent == 0


def test_routes_that_are_not_idempotent_are_not_divided():
    """A part that was taken back could run twice."""

    async def scenario(zone):
        answer = await zone.ask("e1", "r")
        return answer, zone.sent("e1")

    answer, sent = run_zone(scenario, **{"route-type": "non_idempotent"})
    assert_whole(answer)
    assert sent == 0


class IdleListener:
    def listen(self, _address):
        pass

    def stop_listening(self):
        pass

    async def close(self):
        pass


@pytest.mark.parametrize("share", [0.0, PROCESSOR_SHARE])
def test_entry_listens_for_links_only_if_it_may_divide(share):
    """Other deployments behave as before, down to their open ports."""

    async def connect():
        port, peer_port = free_ports(2)
        forwarder = make_entry("e1", port, peer_port, share)
        forwarder.caller_listener = IdleListener()
        running = asyncio.ensure_future(forwarder.run())
        try:
            await asyncio.sleep(0.1)
            _, writer = await asyncio.open_connection("127.0.0.1", peer_port)
            writer.close()
            return True
        except ConnectionRefusedError:
            return False
        finally:
            running.cancel()
            for task in forwarder._tasks:
                task.cancel()
            await asyncio.gather(*forwarder._tasks, return_exceptions=True)

    assert asyncio.run(connect()) is bool(share)


def test_port_that_is_in_use_does_not_end_the_entry():
    """It still answers callers, and divides their requests."""

    async def scenario(zone):
        second = make_entry("e5", 1, zone.member_by_name["e4"].port)
        running = asyncio.ensure_future(second.delegation.run())
        await asyncio.sleep(0.05)
        is_running = not running.done()
        running.cancel()
        return is_running

    assert run_zone(scenario)
