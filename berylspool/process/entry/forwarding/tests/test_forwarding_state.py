"""When a plan comes into force, and how entries share the limits."""

import asyncio

from berylspool.process.entry.forwarding.forwarding_state import (
    EXPECTED_START_S,
    RETRY_SPREAD_S,
    ForwardingState,
    plan_wait_s,
    retry_without_plan_s,
)
from berylspool.process.settings import Settings
from berylspool.version.configuration import Configuration, Document
from berylspool.version.forwarding import ForwardPlan, ForwardService
from berylspool.version.listing import Listing

CONNECTIONS = 60


def run_steps(script):
    configurations = []

    async def run():
        state = ForwardingState(
            Settings(entries={}, controls={}),
            lambda document: ForwardPlan(
                document.number, {}, {"s": ForwardService("s", CONNECTIONS)}
            ),
            log=lambda event: None,
            on_change=configurations.append,
            clock=lambda: 0.0,
        )
        for step in script:
            step(state)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        return state.initialized.is_set()

    return asyncio.run(run()), configurations


def set_configuration(state):
    document = Document(4, b"")
    state.set_configuration(Configuration(1, document=document))


def set_listing(state):
    state.set_listing(Listing(1, 1, {}))


def test_nothing_is_in_force_before_the_number_of_entries_is_known():
    initialized, configurations = run_steps([set_configuration, set_listing])
    assert not initialized
    assert not configurations


def test_connections_are_shared_from_the_first_configuration():
    initialized, configurations = run_steps(
        [
            set_configuration,
            set_listing,
            lambda state: state.set_entry_count(20),
        ]
    )
    assert initialized
    shares = [c.service_by_name["s"].limits.connections for c in configurations]
    assert shares == [CONNECTIONS // 20]


def test_each_entry_holds_an_even_share_of_half_of_the_copies():
    _, configurations = run_steps(
        [
            set_configuration,
            set_listing,
            lambda state: state.set_entry_count(20),
            lambda state: state.set_entry_count(20),
            lambda state: state.set_entry_count(5),
        ]
    )
    slack = Settings().routing.extra_slack
    limits = [c.service_by_name["s"].limits for c in configurations]
    copies = [limit.extra_copies for limit in limits]
    assert copies == [slack / 2 / 20, slack / 2 / 5]
    connections = [limit.connections for limit in limits]
    assert connections == [CONNECTIONS // 20, CONNECTIONS // 5]


# Times from the start of an entry to its first plan, after a start of all.
PLAN_TIMES_S = [0.5, 0.6, 0.7, 0.8]


def outcome_at_start(arrived_at, plan_at, deadline_s, service_s, retries):
    """Play a caller that comes before the plan; return how it ends."""
    now, gives_up_at = arrived_at, arrived_at + deadline_s
    while True:
        wait_s = plan_wait_s(now, gives_up_at - now)
        if plan_at <= now + wait_s:
            is_in_time = max(now, plan_at) + service_s <= gives_up_at
            return "served" if is_in_time else "late"
        now += wait_s
        retry_s = min(retry_without_plan_s(now), (gives_up_at - now) / 3)
        if not retries or now + retry_s >= gives_up_at:
            return "refused"
        now, retries = now + retry_s, retries - 1


def test_callers_that_come_before_the_plan_are_served_in_their_time():
    """A first try was often lost with the VM, so many have no retry left."""
    for deadline_s, service_s in ((2.0, 0.25), (8.0, 0.3)):
        for plan_at in PLAN_TIMES_S:
            for arrived_at in (0.0, 0.1, 0.3, 0.6):
                outcome = outcome_at_start(
                    arrived_at, plan_at, deadline_s, service_s, retries=0
                )
                assert outcome == "served"


def test_callers_with_little_time_are_refused_while_they_can_return():
    assert plan_wait_s(0.0, 0.25) == 0.125
    outcome = outcome_at_start(0.3, 0.6, 0.8, 0.1, retries=1)
    assert outcome == "served"


def test_refused_callers_return_when_service_is_expected_and_spread():
    early = [retry_without_plan_s(0.2) for _ in range(200)]
    rest_s = EXPECTED_START_S - 0.2
    assert min(early) >= rest_s
    assert max(early) <= rest_s + RETRY_SPREAD_S
    assert max(early) - min(early) > RETRY_SPREAD_S / 2
    assert retry_without_plan_s(60.0) <= 0.1 + RETRY_SPREAD_S
