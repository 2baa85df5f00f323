"""When a plan comes into force, and how entries share the limits."""

import asyncio

from berylspool.process.entry.in_force import InForce
from berylspool.process.settings import Settings
from berylspool.version.configuration import Configuration, Document
from berylspool.version.forwarding import ForwardPlan, ForwardService
from berylspool.version.listing import Listing

CONNECTIONS = 60


def play(script):
    assembled = []

    async def run():
        in_force = InForce(
            Settings(entries={}, controls={}),
            lambda document: ForwardPlan(
                document.number, {}, {"s": ForwardService("s", CONNECTIONS)}
            ),
            log=lambda event: None,
            changed=assembled.append,
            clock=lambda: 0.0,
        )
        for step in script:
            step(in_force)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        return in_force.is_known.is_set()

    return asyncio.run(run()), assembled


def state(in_force):
    document = Document(4, b"")
    in_force.state(Configuration(1, document=document))


def list_upstreams(in_force):
    in_force.list(Listing(1, 1, {}))


def test_nothing_is_in_force_before_the_number_of_entries_is_known():
    is_known, assembled = play([state, list_upstreams])
    assert not is_known
    assert not assembled


def test_connections_are_shared_from_the_start():
    is_known, assembled = play(
        [state, list_upstreams, lambda in_force: in_force.share(20)]
    )
    assert is_known
    shares = [c.service_by_name["s"].limits.connections for c in assembled]
    assert shares == [CONNECTIONS // 20]


def test_only_entries_with_requests_share_the_copies():
    _, assembled = play(
        [
            state,
            list_upstreams,
            lambda in_force: in_force.share(20),
            lambda in_force: in_force.share_copies(10),
            lambda in_force: in_force.share_copies(10),
            lambda in_force: in_force.share_copies(0),
        ]
    )
    copies = [c.service_by_name["s"].limits.extra_copies for c in assembled]
    assert copies == [copies[0], 2 * copies[0], copies[0]]
    connections = [c.service_by_name["s"].limits.connections for c in assembled]
    assert connections == [CONNECTIONS // 20] * 3
