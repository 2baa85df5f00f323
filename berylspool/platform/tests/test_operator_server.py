"""The operators' port, with a control task in the test."""

import asyncio
import http.client

import orjson
import pytest

from berylspool.common.mailbox import Mailbox
from berylspool.common.metric import Metrics
from berylspool.connection.admin import (
    ChangeRequest,
    CommandResult,
    CommittedConfiguration,
    ConfigurationRequest,
    LeaderRedirect,
)
from berylspool.platform.callers.holdings import HoldingLimits
from berylspool.platform.document import read_document
from berylspool.platform.operator_server import OperatorServer
from berylspool.platform.tests.test_document import make_configuration
from berylspool.tests.cluster import free_ports
from berylspool.version.configuration import Configuration
from berylspool.version.operator_command import CommandAnswer

TEXT = make_configuration()
CONFIGURATION = Configuration(1, document=read_document(TEXT)[0])
LIMITS = HoldingLimits(64_000_000, 100)
MIB = 1024 * 1024


def ask(port, method, path, body=None):
    """Return status, body and `Location` of a response."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read(), response.headers["Location"]
    finally:
        connection.close()


def run(*request, leader=None, is_accepted=True):
    """Return the response to one request, and the changes it proposed."""

    async def answer_messages(inbox, changes):
        while True:
            for message in await inbox.take():
                match message:
                    case _ if leader is not None:
                        message.reply.put(LeaderRedirect(leader, ""))
                    case ChangeRequest():
                        changes.append(message)
                        answer = CommandAnswer(
                            "id", is_accepted, 2, "E", "why not"
                        )
                        message.reply.put(CommandResult(answer))
                    case ConfigurationRequest():
                        message.reply.put(CommittedConfiguration(CONFIGURATION))

    async def main():
        inbox, changes = Mailbox(), []
        [port] = free_ports(1)
        server = OperatorServer(
            port, inbox, limits=LIMITS, log=print, metrics=Metrics()
        )
        server.listen(f"127.0.0.1:{port}")
        control = asyncio.ensure_future(answer_messages(inbox, changes))
        try:
            return await asyncio.to_thread(ask, port, *request), changes, port
        finally:
            control.cancel()

    return asyncio.run(main())


def test_configuration_is_published_and_read_as_it_was_sent():
    (status, _, _), [change], _ = run("POST", "/-/Config.Replace", TEXT)
    assert status == 200 and change.command_id.startswith("plan/7/")
    (status, body, _), _, _ = run("GET", "/-/Config.Read")
    assert (status, body) == (200, TEXT)


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", "/-/Config.Replace", b"{", 400),
        ("POST", "/-/Config.Replace", bytes(8 * MIB + 1), 413),
        ("GET", "/-/Config.Replace", None, 405),
        ("GET", "/-/Nothing", None, 404),
        ("POST", "/-/Rollouts.Begin", b"{}", 400),
        ("GET", "/-/Rollouts.Read/s%201", None, 404),
    ],
)
def test_request_that_cannot_be_carried_out_is_refused(
    method, path, body, status
):
    response, changes, _ = run(method, path, body)
    assert response[0] == status and not changes


def test_refused_change_is_reported():
    response, _, _ = run("POST", "/-/Config.Replace", TEXT, is_accepted=False)
    assert response[0] == 400
    assert orjson.loads(response[1]) == {"error": "why not"}


@pytest.mark.parametrize("zone", ["z", "z%201"])
def test_zone_is_taken_out(zone):
    response, [change], _ = run("POST", f"/-/Evacuation.Begin/{zone}")
    assert response[0] == 200
    [operation] = change.operations
    assert operation.name == zone.replace("%20", " ")


def test_move_begins():
    body = orjson.dumps(
        {"service": "s1", "target_version": "v2", "duration-s": 9}
    ).replace(b"target_version", b"target-version")
    response, [change], _ = run("POST", "/-/Rollouts.Begin", body)
    assert response[0] == 200 and change.command_id == "move/s1/v2/1"


def test_other_nodes_redirect_to_the_leader():
    response, _, port = run("GET", "/-/Config.Read", leader="127.9.9.9")
    assert response[0] == 307
    assert response[2] == f"http://127.9.9.9:{port}/-/Config.Read"
    response, _, _ = run("GET", "/-/Config.Read", leader="")
    assert response[0] == 503
