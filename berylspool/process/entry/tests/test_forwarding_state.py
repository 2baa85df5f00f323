"""When a plan comes into force, and how entries share the limits."""

import asyncio

from berylspool.process.entry.forwarding_state import ForwardingState
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
