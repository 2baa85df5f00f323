"""Keys and requests of any kind, checked against an oracle without a network.

Requests take the whole way from the bytes of their heads to the bytes that an
upstream gets; time stands still, and upstreams may hold their answers back.
"""

import asyncio
from dataclasses import dataclass, field, replace

import orjson
from hypothesis import event, given
from hypothesis import strategies as st

from berylspool.platform.callers.request_reader import RequestReader
from berylspool.platform.document import decode_plan, read_document
from berylspool.platform.ingress import _decode_request, encode_outcome
from berylspool.platform.tests.instant_upstreams import (
    InstantLoop,
    InstantUpstream,
    make_listing,
)
from berylspool.platform.tests.test_forwarding import HOST, make_route
from berylspool.platform.upstream.connection import PlatformTransport
from berylspool.process.entry.forwarding.forwarder import Forwarder
from berylspool.process.entry.routing_message import LeaseGranted
from berylspool.process.log import LogTask
from berylspool.process.settings import EntrySettings, Settings
from berylspool.version.configuration import Configuration
from berylspool.version.forwarding import CallerLimits

# Turns of the event loop in which everything that can happen has happened.
SETTLING_TURNS = 60
KEYS = ("key-one", "key-two", "key-three", "KEY-ONE", "key-four-é")
NAMES = ("acme", "beta inc", "Łódź")
FORGED_NAME = "forged"
SERVICES = ("a", "b")


@dataclass(frozen=True)
class Publish:
    """A new version; without tenants if they are None."""

    tenants: tuple[tuple[str, tuple[str, ...]], ...] | None
    is_public: bool


@dataclass(frozen=True)
class Ask:
    """Requests with some headers, to the single or to the wide route."""

    headers: tuple[tuple[str, str], ...]
    is_wide: bool
    count: int


@dataclass(frozen=True)
class Hold:
    """From now on, upstreams answer or hold their answers back."""

    is_holding: bool


@dataclass
class SentRequest:
    """What the oracle knows of one request.

    Attributes:
        headers: Headers that the caller sent.
        version: Version in force when it arrived.
        sent: Version in force at each copy, and the bytes of its head.
        outcome: Status of its response.
    """

    headers: tuple[tuple[str, str], ...]
    version: int
    sent: list[tuple[int, str]] = field(default_factory=list)
    status: int = 0


class HoldingUpstream(InstantUpstream):
    """Stream that records requests, and may hold the answers back."""

    def write(self, data):
        self.loop.record(data.decode())
        if self.loop.is_holding:
            self.loop.held.append((self, data))
        else:
            super().write(data)


class HoldingLoop(InstantLoop):
    """Event loop whose connections lead to upstreams that may hold answers."""

    def __init__(self):
        super().__init__()
        self.is_holding = False
        self.held = []
        self.record = lambda head: None

    async def create_connection(self, protocol_factory, *_args, **_kwargs):
        self.opened += 1
        await asyncio.sleep(0)
        protocol = protocol_factory()
        stream = HoldingUpstream(self, protocol)
        protocol.connection_made(stream)
        return stream, protocol

    def release(self):
        self.is_holding = False
        held, self.held = self.held, []
        for stream, data in held:
            InstantUpstream.write(stream, data)


def key_of(headers):
    """Return the one key that the headers state, or None."""
    keys = [value for name, value in headers if name.lower() == "x-api-key"]
    return keys[0] if len(keys) == 1 else None


def customer_of(version, headers):
    """Return the name of the customer that sent a request, or None."""
    for name, keys in version.tenants or ():
        if key_of(headers) in keys:
            return name
    return None


def is_admitted(version, headers):
    """Return whether a version lets a request pass."""
    return (
        version.tenants is None
        or version.is_public
        or customer_of(version, headers) is not None
    )


def lines_with(head, name):
    """Return the header lines of a name in any spelling."""
    lines = head.split("\r\n\r\n")[0].split("\r\n")[1:]
    return [
        line
        for line in lines
        if line.partition(":")[0].lower().replace("_", "-") == name
    ]


def make_small_listing():
    """Return one upstream of each service, so that few requests fill it."""
    listing = make_listing(SERVICES)
    first = {n: i for n, i in listing.listed_by_id.items() if n.endswith("-0")}
    return replace(listing, listed_by_id=first)


def is_passed_on(headers, text):
    """Return whether a value reaches upstreams if nothing is left out."""
    connection = [value for name, value in headers if name == "Connection"]
    return not connection and any(value == text for _, value in headers)


class Scenario:
    """Runs steps at an entry and checks each outcome against the oracle."""

    def __init__(self, loop):
        self.loop = loop
        loop.record = self.record
        self.versions = [Publish(None, False)]
        self.requests = []
        self.tasks = []
        entry = EntrySettings(
            address="127.0.0.1:1", peer_address="127.0.0.1:2", zone="z0"
        )
        self.forwarder = Forwarder(
            "e1",
            Settings(entries={"e1": entry}),
            decode=decode_plan,
            transport=PlatformTransport(loop.clock),
            control_port=None,
            clock=loop.clock,
            log=LogTask(holds_part_lines=True),
        )

    async def run(self, steps):
        forwarder = self.forwarder
        router = asyncio.ensure_future(forwarder.router.run())
        forwarder.router.inbox.put(LeaseGranted(float("inf")))
        forwarder.state.set_entry_count(1)
        forwarder.state.set_listing(make_small_listing())
        await self.take(self.versions[0], is_first=True)
        for step in steps:
            await self.take(step)
        await self.take(Hold(False))
        await asyncio.gather(*self.tasks)
        router.cancel()
        for request in self.requests:
            self.check(request)

    async def take(self, step, is_first=False):
        match step:
            case Publish():
                if not is_first:
                    self.versions.append(step)
                self.publish(step)
            case Ask():
                for _ in range(step.count):
                    self.ask(step)
            case Hold(is_holding=True):
                self.loop.is_holding = True
            case Hold():
                self.loop.release()
        for _ in range(SETTLING_TURNS):
            await asyncio.sleep(0)

    def publish(self, version):
        number = len(self.versions)
        flags = {"public": version.is_public, "timeout-ms": 10**9}
        routes = [
            make_route(
                "one",
                "/s/",
                service="a",
                **{"route-type": "non_idempotent", **flags},
            ),
            make_route(
                "wide",
                "/w/",
                **{"fanout-services": SERVICES, "top-k": 3, **flags},
            ),
        ]
        data = {
            "version": number,
            "routes": routes,
            "services": [{"name": name} for name in SERVICES],
        }
        if version.tenants is not None:
            data["tenants"] = [
                {"name": name, "api-keys": keys}
                for name, keys in version.tenants
            ]
        document, _ = read_document(orjson.dumps(data))
        self.forwarder.state.set_configuration(
            Configuration(number, document=document)
        )

    def ask(self, step):
        request = SentRequest(step.headers, len(self.versions) - 1)
        path = "/w/1" if step.is_wide else "/s/1"
        lines = [f"Host: {HOST}", f"X-Request-Id: {len(self.requests)}"]
        lines += [f"{name}: {value}" for name, value in step.headers]
        head = "\r\n".join([f"GET {path} HTTP/1.1", *lines, "", ""])
        received = RequestReader().feed(head.encode(), CallerLimits())
        assert received is not None
        self.requests.append(request)
        self.tasks.append(asyncio.ensure_future(self.answer(request, received)))

    async def answer(self, request, received):
        outcome = await self.forwarder.handler.answer(
            _decode_request(received), asyncio.Event()
        )
        request.status = encode_outcome(outcome).status

    def record(self, head):
        [line] = lines_with(head, "x-request-id")
        number = int(line.partition(": ")[2])
        self.requests[number].sent.append((len(self.versions) - 1, head))

    def check(self, request):
        arrival = self.versions[request.version]
        admitted = [is_admitted(v, request.headers) for v in self.versions]
        event(
            f"status {request.status}, admitted at first:"
            f" {admitted[request.version]}, has a key of a customer:"
            f" {customer_of(arrival, request.headers) is not None}"
        )
        if not admitted[request.version]:
            assert request.status == 401
        if request.sent:
            # The first copy is sent under a version that lets it pass.
            assert request.status == 200
            assert admitted[request.sent[0][0]]
        else:
            assert request.status == 401
            assert not all(admitted[request.version :])
        for _, head in request.sent:
            name = customer_of(arrival, request.headers)
            expected = [f"X-Tenant: {name}"] if name else []
            if arrival.tenants is None:
                # Nothing changes without a list of customers.
                assert FORGED_NAME in head or not is_passed_on(
                    request.headers, FORGED_NAME
                )
                continue
            assert lines_with(head, "x-tenant") == expected
            assert not lines_with(head, "x-api-key")
            assert not any(key in head for key in KEYS)
            assert FORGED_NAME not in head


def spellings(name):
    """Return a strategy of a header's name in other case, or with `_`."""
    return st.tuples(
        *(
            st.sampled_from("-_" if char == "-" else (char, char.swapcase()))
            for char in name
        )
    ).map("".join)


KEY_HEADERS = st.tuples(
    st.sampled_from(["X-Api-Key", "x-api-key"]),
    st.sampled_from([*KEYS, "key", ""]),
)
OTHER_HEADERS = st.one_of(
    st.tuples(spellings("X-Tenant"), st.just(FORGED_NAME)),
    st.tuples(
        st.sampled_from(["X_Api_Key", "x-api_key", "X_API-KEY"]),
        st.sampled_from(KEYS),
    ),
    st.just(("Connection", "X-Api-Key, X-Tenant")),
)
HEADERS = st.builds(
    lambda keys, others: (*others, *keys),
    st.one_of(
        st.sampled_from(KEYS).map(lambda key: [("X-Api-Key", key)]),
        st.sampled_from(KEYS).map(lambda key: [("x-api-key", key)]),
        st.lists(KEY_HEADERS, max_size=2),
    ),
    st.one_of(st.just([]), st.lists(OTHER_HEADERS, max_size=3)),
)


@st.composite
def tenant_lists(draw):
    """Draw customers, each with keys of its own."""
    names = draw(st.lists(st.sampled_from(NAMES), unique=True))
    if not names:
        return ()
    owners = draw(
        st.lists(
            st.sampled_from([None, *names]),
            min_size=len(KEYS),
            max_size=len(KEYS),
        )
    )
    return tuple(
        (name, tuple(k for k, o in zip(KEYS, owners, strict=True) if o == name))
        for name in names
    )


PUBLISH = st.builds(
    Publish,
    st.one_of(st.none(), tenant_lists(), tenant_lists()),
    st.sampled_from([False, False, True]),
)
ASK = st.builds(Ask, HEADERS, st.booleans(), st.integers(1, 4))
HOLD = st.builds(Hold, st.sampled_from([True, True, False]))
BEGINNINGS = (
    (),
    (Publish((("acme", KEYS[:2]), ("beta inc", KEYS[2:])), False), Hold(True)),
)
STEPS = st.builds(
    lambda beginning, rest: [*beginning, *rest],
    st.sampled_from(BEGINNINGS),
    st.lists(st.one_of(PUBLISH, ASK, ASK, HOLD), min_size=6, max_size=20),
)


@given(STEPS)
def test_no_request_runs_without_a_key_and_no_key_reaches_an_upstream(steps):
    async def run():
        await Scenario(asyncio.get_running_loop()).run(steps)

    with asyncio.Runner(loop_factory=HoldingLoop) as runner:
        runner.run(run())
