"""Links of the control client, and the configuration of a starting entry."""

import asyncio
import functools

from berylspool.connection.control_message import (
    ConfigurationSent,
    DeltaSent,
    ExtraCopies,
    Grant,
    NotLeader,
)
from berylspool.connection.message import Member
from berylspool.process.control.distribution import (
    DistributionState,
    configuration_update,
)
from berylspool.process.entry.control_client import (
    LOAN_EXPIRY_S,
    ControlClient,
)
from berylspool.process.entry.control_client_message import (
    ControlMessage,
)
from berylspool.process.settings import ControlSettings, Settings
from berylspool.version.configuration import Configuration, Document

SEED = "127.0.0.1"
OTHER_NODE = "127.0.0.9"


def make_client(on_lent=lambda lent: None):
    seed = ControlSettings(
        address=f"{SEED}:1",
        admin_address=f"{SEED}:2",
        zone="a",
        data_folder="",
    )
    return ControlClient(
        Member("entry", "127.0.0.1", 3),
        "boot",
        Settings(controls={SEED: seed}),
        clock=lambda: 0.0,
        log=lambda event: None,
        on_configuration=lambda configuration: None,
        on_lease=lambda until: None,
        on_table=lambda table: None,
        take_tallies=lambda: (),
        control_port=1,
        on_lent=on_lent,
    )


def linked_nodes_after(*messages):
    async def run():
        client = make_client()
        for message in messages:
            client._handle(ControlMessage(SEED, message))
        return set(client._links.link_by_name)

    return asyncio.run(run())


def test_leader_named_by_a_seed_gets_a_link():
    assert linked_nodes_after(NotLeader(OTHER_NODE)) == {SEED, OTHER_NODE}


def test_voters_get_links_and_former_voters_lose_them():
    linked = linked_nodes_after(
        NotLeader("127.0.0.8"), Grant(0.0, 2.0, 0, 0, (OTHER_NODE,))
    )
    assert linked == {SEED, OTHER_NODE}


def loans_of(leader_is_known):
    """Ask for copies of three pools; return heartbeats and loans."""
    sent, lent = [], []

    async def run():
        client = make_client(on_lent=lent.append)
        client._links.send = lambda node, message: sent.append(message)
        if leader_is_known:
            client._handle(ControlMessage(SEED, Grant(0.0, 2.0, 0, 0)))
            lent.clear()
        for service, version in (("a", ""), ("b", ""), ("a", ""), ("a", "v2")):
            client._handle(ExtraCopies(service, version, 1))
        client._ask_for_copies()
        client._ask_for_copies()

    asyncio.run(run())
    return sent, lent


def test_copies_wanted_in_one_turn_are_asked_for_in_one_heartbeat():
    [heartbeat], lent = loans_of(leader_is_known=True)
    assert heartbeat.wanted == (
        ExtraCopies("a", "", 2),
        ExtraCopies("b", "", 1),
        ExtraCopies("a", "v2", 1),
    )
    assert not lent


def test_nothing_is_lent_while_no_leader_is_known():
    sent, [lent] = loans_of(leader_is_known=False)
    assert not sent
    assert {(loan.service, loan.copies) for loan in lent} == {
        ("a", 0),
        ("b", 0),
    }


def test_starting_entry_gets_only_the_newest_configuration():
    bodies = [bytes([n]) * 100 for n in range(1, 30)]
    deltas = [
        DeltaSent(number, body, 0.0) for number, body in enumerate(bodies)
    ]
    distribution = DistributionState(deltas=deltas)
    newest = Configuration(revision=29, document=Document(29, bodies[-1]))
    updates = configuration_update(distribution, 0, newest)
    assert updates == [ConfigurationSent(newest)]
    assert configuration_update(distribution, 28, newest) == deltas[-1:]


def test_updates_that_came_together_are_reported_in_one_heartbeat():
    sent = []

    async def run():
        client = make_client()
        client._links.send = lambda node, message: sent.append(message)
        client._links.send_to_all = lambda message: sent.append(message)
        client._handle(ControlMessage(SEED, Grant(0.0, 2.0, 0, 0)))
        client._send_heartbeat()
        sent.clear()
        for revision in range(1, 6):
            configuration = Configuration(revision=revision)
            update = ConfigurationSent(configuration)
            client.inbox.put(ControlMessage(SEED, update))
        task = asyncio.ensure_future(client.run())
        while not sent:
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    [heartbeat] = sent
    assert heartbeat.revision == 5


def test_loan_that_a_paused_entry_reads_late_is_not_used():
    lent = []

    async def run():
        client = make_client(on_lent=lent.append)
        grant = Grant(0.0, 2.0, 0, 0, lent=(ExtraCopies("a", "", 3),))
        for age_s in (0.01, LOAN_EXPIRY_S + 0.01):
            client._clock = functools.partial(float, age_s)
            client._handle(ControlMessage(SEED, grant))

    asyncio.run(run())
    assert [[loan.copies for loan in loans] for loans in lent] == [[3], [0]]
