"""Customers from end to end over sockets, and at the platform's boundary."""

import asyncio
import logging
import time

import orjson
import pytest

from berylspool.common.event import PlanRefused, RequestFailed
from berylspool.common.metric import render_exposition
from berylspool.common.request_event import RequestEnded
from berylspool.exception import ConfigurationError
from berylspool.platform.document import (
    decode_plan,
    pack_document,
    read_document,
    unpack_document,
)
from berylspool.platform.tests.test_forwarding import (
    HOST,
    FakeUpstream,
    header_value,
    make_route,
    run_scenario,
    send_request,
    signed_response,
)
from berylspool.version.configuration import Configuration

ROUTE = make_route("r", "/s/", service="a", priority=3)
PUBLIC_ROUTE = make_route("p", "/p/", service="a", public=True)
# No other text of these tests contains it.
HUSH = "hush-4711"


def make_text(tenants, version=4, routes=(ROUTE, PUBLIC_ROUTE)):
    data = {
        "version": version,
        "routes": routes,
        "services": [{"name": "a", "max-connections": 9}],
    }
    if tenants is not None:
        data["tenants"] = tenants
    return orjson.dumps(data)


def publish(forwarder, tenants, version, routes=(ROUTE, PUBLIC_ROUTE)):
    document = read_document(make_text(tenants, version, routes))[0]
    forwarder.state.set_configuration(Configuration(version, document=document))


def acme(*api_keys, **changes):
    return {"name": "acme", "api-keys": list(api_keys), **changes}


def echo(head, body):
    return signed_response(head, b"x")


def sent_header(upstream, name):
    """Return the values of a header in the latest request to an upstream."""
    lines = upstream.requests[-1][0].split("\r\n")[1:]
    return [
        line.partition(": ")[2]
        for line in lines
        if line.partition(":")[0].lower() == name
    ]


class Caller:
    """A caller on one connection."""

    def __init__(self, port):
        self.port = port

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )
        return self

    async def __aexit__(self, *_error):
        self.writer.close()

    def send(self, path, *extra):
        lines = [f"GET {path} HTTP/1.1", f"Host: {HOST}", *extra, "", ""]
        self.writer.write("\r\n".join(lines).encode())

    async def read_status(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        await self.reader.readexactly(int(header_value(head, "content-length")))
        return int(head.split()[1])

    async def ask(self, path, *extra):
        self.send(path, *extra)
        return await self.read_status()


def test_key_decides_what_reaches_an_upstream():
    """One open connection sees a key come and go; names cannot be forged."""
    upstream = FakeUpstream("a", echo)
    forged = (
        "X-Tenant: beta",
        "x-tenant: beta",
        "X_Tenant: beta",
        "x-TENANT: beta",
        "X-Api_Key: beta",
        "x_api_key: beta",
    )

    async def scenario(forwarder, port):
        async with Caller(port) as caller:
            assert await caller.ask("/s/1", f"X-Api-Key: {HUSH}") == 200
            assert sent_header(upstream, "x-api-key") == [HUSH]
            publish(forwarder, [], 4)
            assert await caller.ask("/s/1", f"X-Api-Key: {HUSH}") == 401
            publish(forwarder, [acme(HUSH), acme("k2", name="Łódź")], 5)
            assert await caller.ask("/s/1", f"X-Api-Key: {HUSH}") == 200
            assert sent_header(upstream, "x-tenant") == ["acme"]
            assert await caller.ask("/s/1", *forged, f"x-api-key:{HUSH}") == 200
            assert sent_header(upstream, "x-tenant") == ["acme"]
            head = upstream.requests[-1][0]
            assert "beta" not in head and HUSH not in head
            assert await caller.ask("/s/1", "X-Api-Key: k2") == 200
            assert sent_header(upstream, "x-tenant") == ["Łódź"]
            assert await caller.ask("/nowhere/1") == 404
            count = len(upstream.requests)
            for refused in (
                forged,
                (f"X_Api_Key: {HUSH}",),
                (f"X-Api-Key: {HUSH}", f"X-Api-Key: {HUSH}"),
                (f"X-Api-Key: {HUSH},{HUSH}",),
                ("X-Api-Key:",),
                ("X-Api-Key: hush-471",),
            ):
                assert await caller.ask("/s/1", *refused) == 401
            assert len(upstream.requests) == count
            for public, name in (
                (forged, []),
                (("X-Api-Key: other",), []),
                ((*forged, f"X-Api-Key: {HUSH}"), ["acme"]),
            ):
                assert await caller.ask("/p/1", *public) == 200
                assert sent_header(upstream, "x-tenant") == name
                head = upstream.requests[-1][0].lower()
                assert "api" not in head and "beta" not in head
            publish(forwarder, [acme("k2")], 6)
            assert await caller.ask("/s/1", f"X-Api-Key: {HUSH}") == 401
            assert await caller.ask("/s/1", "X-Api-Key: k2") == 200
            # A lower number than the one in force changes nothing.
            publish(forwarder, [acme(HUSH)], 5)
            assert await caller.ask("/s/1", f"X-Api-Key: {HUSH}") == 401

    run_scenario([upstream], [ROUTE], scenario)


def test_removed_key_ends_the_requests_that_wait_and_no_others():
    """They ran seconds after the key was removed, or were cut off midway."""
    waiting = asyncio.Event()

    async def respond(head, body):
        await waiting.wait()
        return signed_response(head, b"x")

    upstream = FakeUpstream("a", respond)
    # Long enough that no request is refused because of the queue.
    routes = [{**ROUTE, "timeout-ms": 60_000}]

    async def scenario(forwarder, port):
        publish(forwarder, [acme(HUSH), acme("k2", name="beta")], 4, routes)
        callers = [await Caller(port).__aenter__() for _ in range(12)]
        for number, caller in enumerate(callers):
            key = "k2" if number % 4 == 3 else HUSH
            caller.send("/s/1", f"X-Request-Id: {number}", f"X-Api-Key: {key}")
        await asyncio.sleep(0.3)
        sent = {
            int(header_value(head, "x-request-id"))
            for head, _ in upstream.requests
        }
        publish(forwarder, [acme("k2", name="beta")], 5, routes)
        refused = set(range(12)) - sent - {3, 7, 11}
        started_at = time.monotonic()
        statuses = [await callers[n].read_status() for n in sorted(refused)]
        assert time.monotonic() - started_at < 1.0
        assert sent and refused and set(statuses) == {401}
        waiting.set()
        for number in set(range(12)) - refused:
            assert await callers[number].read_status() == 200
        for caller in callers:
            await caller.__aexit__()
        ran = {header_value(h, "x-request-id") for h, _ in upstream.requests}
        assert not ran & {str(number) for number in refused}
        forwarder._update_gauges()
        return render_exposition(forwarder.metrics)[0].decode()

    metrics = run_scenario([upstream], routes, scenario)
    assert 'outcome="refused unknown_key"' in metrics


def test_refusal_is_counted_and_logged_without_the_key():
    upstream = FakeUpstream("a", echo)
    logged = []

    async def scenario(forwarder, port):
        forwarder.handler._log = logged.append
        publish(forwarder, [acme("k1", "k2"), acme(name="beta")], 4)
        extra = (f"X-Api-Key: {HUSH}", "X-Request-Id: r1")
        status, head, _ = await send_request(port, "/s/1", extra=extra)
        assert status == 401 and header_value(head, "www-authenticate")
        forwarder._update_gauges()
        return render_exposition(forwarder.metrics)[0].decode()

    metrics = run_scenario([upstream], [ROUTE], scenario)
    for line in (
        'berylspool_requests_total{outcome="refused unknown_key",route="none"}',
        "berylspool_plan 4",
        "berylspool_requires_keys 1",
        "berylspool_customers 2",
        "berylspool_api_keys 2",
    ):
        assert line in metrics
    [ended] = [event for event in logged if isinstance(event, RequestEnded)]
    assert ended.outcome == "refused unknown_key"
    assert HUSH not in metrics and HUSH not in repr(logged)


def test_defect_that_repeats_a_key_does_not_log_it():
    upstream = FakeUpstream("a", echo)
    logged = []

    async def scenario(forwarder, port):
        forwarder.caller_listener._log = logged.append

        async def fail(request, caller_gone):
            raise KeyError(request.api_keys, request)

        forwarder.caller_listener._answer = fail
        extra = ("X-Api-Key: hush-é'\"4711",)
        return (await send_request(port, "/s/1", extra=extra))[0]

    assert run_scenario([upstream], [ROUTE], scenario) == 502
    [failed] = [event for event in logged if isinstance(event, RequestFailed)]
    assert failed.error.startswith("KeyError at ")
    assert "hush" not in failed.error


def test_malformed_key_is_not_logged(caplog, capfd):
    upstream = FakeUpstream("a", echo)

    async def scenario(forwarder, port):
        async with Caller(port) as caller:
            caller.send("/s/1", f"X-Api-Key: {HUSH}\x00")
            return await caller.reader.read()

    with caplog.at_level(logging.WARNING):
        answer = run_scenario([upstream], [ROUTE], scenario)
    assert answer.startswith(b"HTTP/1.1 400") and HUSH.encode() not in answer
    output = capfd.readouterr()
    assert HUSH not in caplog.text + output.out + output.err


def test_plan_that_an_entry_cannot_decode_leaves_the_keys_in_force():
    upstream = FakeUpstream("a", echo)
    logged = []

    async def scenario(forwarder, port):
        forwarder.state._log = logged.append
        publish(forwarder, [acme("k1")], 4)
        assert (await send_request(port, "/s/1"))[0] == 401
        text = make_text([acme(HUSH), acme(HUSH, name="beta")], 5)
        document = pack_document(5, text)
        forwarder.state.set_configuration(Configuration(5, document=document))
        return [
            (await send_request(port, "/s/1", extra=(f"X-Api-Key: {key}",)))[0]
            for key in ("k1", HUSH)
        ]

    assert run_scenario([upstream], [ROUTE], scenario) == [200, 401]
    [refused] = [event for event in logged if isinstance(event, PlanRefused)]
    assert HUSH not in repr(refused)


def test_priority_of_a_customer_replaces_that_of_the_route():
    upstream = FakeUpstream("a", echo)
    ranks = []

    async def scenario(forwarder, port):
        tenants = [acme("k1"), acme("k2", name="beta", priority=0)]
        publish(forwarder, tenants, 4)
        put = forwarder.router.inbox.put

        def observe(message):
            for part in getattr(message, "parts", ()):
                ranks.append((part.forward.customer, part.forward.rank))
            put(message)

        forwarder.router.inbox.put = observe
        for key in ("k1", "k2"):
            await send_request(port, "/s/1", extra=(f"X-Api-Key: {key}",))

    run_scenario([upstream], [ROUTE], scenario)
    assert ranks == [("acme", 3), ("beta", 0)]


@pytest.mark.parametrize(
    "tenants",
    [
        None,
        {},
        {HUSH: [HUSH]},
        [acme(HUSH), acme(HUSH, name="beta")],
        [acme(HUSH), acme()],
        [acme(HUSH, name="")],
        [acme(HUSH, name=None)],
        [{"api-keys": [HUSH]}],
        [{"name": "acme"}],
        [acme(HUSH, 4711)],
        [acme([HUSH])],
        [acme({HUSH: 1})],
        [{"name": "acme", "api-keys": HUSH}],
        [{"name": "acme", "api-keys": {HUSH: HUSH}}],
        [{"name": [HUSH], "api-keys": []}],
        [acme(HUSH, priority=HUSH)],
        [acme(HUSH, priority=-1)],
        [acme(HUSH, priority=1.5)],
        [acme(HUSH, name=f"a\r\nX-Api-Key: {HUSH}")],
        [acme(HUSH, name=f"{HUSH} ")],
        [HUSH],
    ],
)
def test_invalid_customers_are_refused_without_a_key(tenants):
    text = make_text([])
    assert read_document(text)[1].customers is not None
    text = text.replace(b'"tenants":[]', b'"tenants":' + orjson.dumps(tenants))
    with pytest.raises(ConfigurationError) as caught:
        read_document(text)
    assert "hush" not in str(caught.value).lower()
    # A traceback in a log line shows the causes, too.
    assert caught.value.__suppress_context__ or not caught.value.__context__


def test_text_cut_anywhere_is_refused_without_a_key():
    text = make_text([acme(HUSH)])
    for end in range(len(text)):
        with pytest.raises(ConfigurationError) as caught:
            read_document(text[:end])
        assert "hush" not in str(caught.value)


def test_text_with_keys_is_kept_and_its_plan_shows_none():
    text = make_text([acme(HUSH, "k2"), acme(name="beta", priority=None)])
    document, plan = read_document(text)
    assert unpack_document(document) == text
    assert decode_plan(document) == plan
    assert plan.customers.customer_count == 2
    for shown in (document, plan, Configuration(1, document=document)):
        assert HUSH not in repr(shown)
        assert repr(document.body) not in repr(shown)


def test_without_a_list_of_customers_no_key_is_needed():
    assert read_document(make_text(None))[1].customers is None
