"""Stand-ins for the platform, the operator, the clients and the back ends.

Shared by the scripts of the cases.  Only the standard library is used.  Each
script starts the project's programs with the commands of `deploy/system.toml`
on loopback addresses, plays its load in this process, and writes what was
sent, answered and run to `record.txt` in the folder of the case.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parent.parent
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
ZONES = ("leicester", "nottingham", "derby")
REGION = "east-midlands"
HOST = "griddle.example"
START_TIMEOUT_S = 20.0
# Time in which the last machine counts as started, and then some.
SETTLE_S = 5.0
# The site files play answers that are spoilt for 5.0 to 5.5 s at a time.
EPISODE_S = 5.0
EPISODE_PAUSE_S = 1.0
# Beyond any play; a script may run for 120 s.
PLAY_TIMEOUT_S = 110.0

Headers = list[tuple[str, str]]


class CannotRunError(Exception):
    """The case could not be set up, so nothing is known of the rule."""


class Record:
    """Writes one JSON object a line to the record of a case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, what: str, **fields: Any) -> None:
        """Write one event with its time since the start, in seconds."""
        at = round(time.monotonic() - self._started_at, 4)
        line = json.dumps({"at": at, "what": what, **fields})
        self._file.write(line + "\n")
        self._file.flush()


def find_prefix() -> str:
    """Return the first three bytes of loopback addresses for this run."""
    return f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"


def find_port(hosts: list[str]) -> int:
    """Return a port that is free at all of the given addresses."""
    for _ in range(100):
        port = random.randint(20_000, 30_000)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    probe = socket.socket()
                    stack.callback(probe.close)
                    probe.bind((host, port))
            except OSError:
                continue
            return port
    raise CannotRunError("no free port")


@dataclass
class Request:
    """A request as a back end has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    arrived_at: float

    @property
    def id(self) -> str:
        """Id that the client gave to its attempt."""
        return self.headers.get("x-request-id", "")


@dataclass
class Reply:
    """What a back end writes in answer to a request.

    Attributes:
        status: HTTP status.
        headers: Headers beside those that every answer has.
        body: Body.
        extra: Bytes that follow the whole answer, in the same write.
        is_lost: Whether the connection is reset in place of the answer.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    extra: bytes = b""
    is_lost: bool = False


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line of a message and its headers."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines[1:] if line]
    return lines[0], [(n.strip().lower(), v.strip()) for n, _, v in pairs]


class Backend:
    """A back end with slots, a short queue and one request a connection.

    Args:
        id: Instance id.
        service: Service that it belongs to.
        host: Loopback address.
        zone: Availability zone.
        slots: Requests that it runs at once.
        queue: Requests that wait for a slot.
        work: Runs a request and returns the reply.
        record: Record of the case.
        version: Version of its software.
    """

    def __init__(
        self,
        id: str,
        service: str,
        host: str,
        zone: str,
        slots: int,
        queue: int,
        work: Callable[["Backend", Request], Awaitable[Reply]],
        record: Record,
        version: str = "v1",
    ) -> None:
        self.id, self.service, self.host, self.zone = id, service, host, zone
        self.slots, self.state, self.port = slots, "ready", 0
        self._queue, self._work, self._record = queue, work, record
        self._free = asyncio.Semaphore(slots)
        self.version = version
        # Times at which requests reached it, other than those refused by 421.
        self.reached_at: list[float] = []
        self.cold_until = 0.0
        self.running = self.waiting = self._serial = 0
        self._born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, or on the former one."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def crash(self, down_s: float) -> None:
        """Reset all connections, and be back on the address after a while."""
        assert self._server is not None
        self._record.write("crash", backend=self.id)
        self._server.close()
        for writer in list(self.writers):
            abort(writer)
        await asyncio.sleep(down_s)
        self._free = asyncio.Semaphore(self.slots)
        self.running = self.waiting = 0
        self._born = int(time.time() * 1000)
        await self.start()

    def stop(self) -> None:
        """End at once; all connections are reset."""
        assert self._server is not None
        self._server.close()
        for writer in list(self.writers):
            abort(writer)

    def listed(self) -> dict[str, Any]:
        """Return its entry in the platform's list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "warmup-left-ms": max(
                0, int(min(self.cold_until - time.monotonic(), 3.0) * 1000)
            ),
            "born": self._born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, pairs = await read_head(reader)
                headers = dict(pairs)
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size)
                method, target, _ = line.split(" ", 2)
                request = Request(
                    method, target, headers, body, time.monotonic()
                )
                reply = await self._answer(request)
                if reply.is_lost:
                    abort(writer)
                    return
                writer.write(self._encode(request, reply))
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _encode(self, request: Request, reply: Reply) -> bytes:
        load = f"{self.running},{self.waiting},{self.slots}"
        leaving = [("Server-Leaving", "1")] if self.state != "ready" else []
        headers = [
            ("X-Request-Id", request.id),
            *leaving,
            *reply.headers,
            ("X-Server-Load", load),
            ("Content-Length", str(len(reply.body))),
        ]
        return encode_answer(reply.status, headers, reply.body) + reply.extra

    async def _answer(self, request: Request) -> Reply:
        refused = [("X-Not-Executed", "1")]
        if request.target == "/health":
            return Reply(200, [("X-Instance-Id", self.id)])
        if not request.id:
            return Reply(400, refused)
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return Reply(421, refused)
        self._record.write("reaches", backend=self.id, request=request.id)
        self.reached_at.append(request.arrived_at)
        if self._free.locked() and self.waiting >= self._queue:
            self._record.write("refuses", backend=self.id, request=request.id)
            return Reply(503, refused)
        free = self._free
        self.waiting += 1
        try:
            async with asyncio.timeout(self._left_s(request)):
                await free.acquire()
        except TimeoutError:
            return Reply(503, refused)
        finally:
            self.waiting -= 1
        self.running += 1
        self._record.write("runs", backend=self.id, request=request.id)
        try:
            async with asyncio.timeout(self._left_s(request)):
                return await self._work(self, request)
        except TimeoutError:
            return Reply(504, [("X-Response-Stamp", self.new_stamp())])
        finally:
            self.running = max(0, self.running - 1)
            free.release()

    def _left_s(self, request: Request) -> float:
        deadline_s = int(request.headers["x-request-deadline"]) / 1000
        return max(0.0, request.arrived_at + deadline_s - time.monotonic())

    def new_stamp(self) -> str:
        """Return a signature that no other answer has."""
        self._serial += 1
        return f"{self.id}.{self._serial:x}.{random.getrandbits(32):08x}"


def encode_answer(status: int, headers: Headers, body: bytes) -> bytes:
    """Return an answer as bytes."""
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    peer = writer.get_extra_info("socket")
    if peer is not None:
        with contextlib.suppress(OSError):
            linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Platform:
    """The platform's list of back ends, which shows changes at once."""

    def __init__(self, host: str) -> None:
        self.host, self.port = host, 0
        self.backends: list[Backend] = []
        # Entries of another writer, as bytes; they follow the first entry.
        self.odd_entries: list[bytes] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            abort(writer)

    def _encode_page(self) -> bytes:
        entries = [json.dumps(b.listed()).encode() for b in self.backends]
        entries[1:1] = self.odd_entries
        listed = b",".join(entries)
        return b'{"instances":[' + listed + b'],"next-page-token":null}'

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, EOFError):
            while True:
                await read_head(reader)
                body = self._encode_page()
                headers = [
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(body))),
                ]
                writer.write(encode_answer(200, headers, body))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


@dataclass
class Answer:
    """What a client got; status 0 if it got no whole answer."""

    status: int
    headers: Headers
    body: bytes

    def all(self, name: str) -> list[str]:
        """Return all values of a header."""
        return [v for n, v in self.headers if n == name.lower()]


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer that states its length."""
    line, headers = await read_head(reader)
    size = int(dict(headers).get("content-length", "0"))
    body = await reader.readexactly(size)
    return Answer(int(line.split(" ")[1]), headers, body)


async def call(
    address: str, method: str, path: str, body: bytes = b""
) -> Answer:
    """Call the system as the operator does; follow a 307 twice."""
    for _ in range(3):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            answer = await read_answer(reader)
        finally:
            writer.close()
        if answer.status != 307:
            return answer
        location = answer.all("location")[0].removeprefix("http://")
        address, _, rest = location.partition("/")
        path = f"/{rest}"
    return answer


def new_id() -> str:
    """Return a new request id."""
    return f"{random.getrandbits(64):016x}"


def encode_request(
    host: str, method: str, path: str, id: str, deadline_ms: int, body: bytes
) -> bytes:
    """Return a client's request as bytes."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\n"
        f"X-Request-Deadline: {deadline_ms}\r\n{length}\r\n"
    ).encode() + body


@dataclass
class Node:
    """One process of the system."""

    name: str
    role: str
    ip: str
    settings_path: Path
    process: subprocess.Popen[bytes] | None = None


class Deployment:
    """A small deployment: three core machines, and two in front by default.

    Args:
        record: Record of the case.
        entries: Number of front machines.
    """

    def __init__(self, record: Record, entries: int = 2) -> None:
        self.record = record
        self.prefix = find_prefix()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.platform = Platform(f"{self.prefix}.90")
        self.backends: list[Backend] = []
        core_ips = [f"{self.prefix}.{n}" for n in (11, 12, 13)]
        front_ips = [f"{self.prefix}.{21 + n}" for n in range(entries)]
        all_ips = [*core_ips, *front_ips]
        self.internal_port = find_port(all_ips)
        self.control_port = find_port(all_ips)
        self.front_port = find_port(all_ips)
        self.ready_port = find_port(all_ips)
        self.nodes = [
            Node(f"core-{n}", "control", ip, self.folder / f"core-{n}.json")
            for n, ip in enumerate(core_ips)
        ]
        self.nodes += [
            Node(f"front-{n}", "entry", ip, self.folder / f"front-{n}.json")
            for n, ip in enumerate(front_ips)
        ]
        deploy_file = REPOSITORY / "deploy" / "system.toml"
        self._roles = tomllib.loads(deploy_file.read_text())["roles"]

    @property
    def fronts(self) -> list[Node]:
        """Front machines."""
        return [node for node in self.nodes if node.role == "entry"]

    def front_address(self, number: int) -> tuple[str, int]:
        """Return the address at which a front machine takes clients."""
        return self.fronts[number].ip, self.front_port

    def add_backend(
        self,
        service: str,
        work: Callable[[Backend, Request], Awaitable[Reply]],
        slots: int = 3,
        queue: int = 12,
        version: str = "v1",
    ) -> Backend:
        """Add a back end; one that is added after `start` starts later."""
        number = len(self.backends)
        backend = Backend(
            f"i-{number}{random.getrandbits(24):06x}",
            service,
            f"{self.prefix}.{100 + number}",
            ZONES[number % len(ZONES)],
            slots,
            queue,
            work,
            self.record,
            version,
        )
        self.backends.append(backend)
        return backend

    def _write_settings(self, node: Node, is_first: bool) -> None:
        is_core = node.role == "control"
        core_ips = [n.ip for n in self.nodes if n.role == "control"]
        data_dir = self.folder / f"{node.name}-data"
        if is_core:
            data_dir.mkdir(exist_ok=True)
        number = int(node.name[-1])
        listen = (
            {"control": f"{node.ip}:{self.control_port}"}
            if is_core
            else {
                "front": f"{node.ip}:{self.front_port}",
                "readiness-address": f"{node.ip}:{self.ready_port}",
            }
        )
        settings = {
            "node-name": node.name,
            "role": node.role,
            "machine-class": "core" if is_core else "front",
            "serves": ["control"] if is_core else ["front"],
            "ip": node.ip,
            "zone": ZONES[number % len(ZONES)],
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": listen,
            "internal-ports": [self.internal_port, self.internal_port + 9],
            "seeds": [f"{ip}:{self.control_port}" for ip in core_ips],
            "bootstrap": is_first,
            "in-fault-budget": is_core,
            "limits": {"memory-mb": 300, "max-fds": 4100},
            "data-dir": str(data_dir) if is_core else None,
            "discovery": "cloud_api",
            "entry": "vip",
            "heartbeat-ms": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "scatter",
                "places",
                "rollout",
            ],
            "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "contact-window-ms": 4000,
                "drain-ms": 3000,
                "grace-s": 6,
                "config-apply-ms": 3000,
                "retry-budget-ratio": 0.2,
                "budget-window-s": 10,
                "retry-budget-slack": 52,
                "canary-share": 0.1,
                "canary-slack": 50,
                "rollback-ms": 5000,
                "warmup-overshoot": 1.5,
                "warmup-slack": 5,
                "evacuate-ms": 5000,
                "recovery-s": 12,
            },
            "cloud": {
                "address": f"{self.platform.host}:{self.platform.port}",
                "rate-per-s": 49.0,
                "discovery-lag-ms": 800,
            },
        }
        node.settings_path.write_text(json.dumps(settings))

    def start_node(self, node: Node) -> None:
        """Start the process of a node with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["BERYLSPOOL_SETTINGS"] = str(node.settings_path)
        log = (self.folder / f"{node.name}.log").open("ab")
        node.process = subprocess.Popen(
            self._roles[node.role]["run"].split(),
            cwd=REPOSITORY,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.record.write("start", node=node.name)

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start everything, and return once all fronts serve the routes."""
        if not (REPOSITORY / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build")
        await self.platform.start()
        for backend in self.backends:
            await backend.start()
        self.platform.backends = list(self.backends)
        for node in self.nodes:
            self._write_settings(node, is_first=True)
            self.start_node(node)
        await self.replace_configuration(configuration)
        deadline = time.monotonic() + START_TIMEOUT_S
        for node in self.fronts:
            while not await self.is_ready(node):
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{node.name} does not get ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)

    async def is_ready(self, node: Node) -> bool:
        """Ask a front machine whether it is ready."""
        try:
            async with asyncio.timeout(1.0):
                answer = await call(
                    f"{node.ip}:{self.ready_port}", "GET", "/-/readiness"
                )
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    async def replace_configuration(
        self, configuration: dict[str, Any]
    ) -> None:
        """Send a configuration until it is acknowledged."""
        await self.order("/-/Config.Replace", configuration)

    async def order(self, path: str, fields: dict[str, Any]) -> None:
        """Send an order of the operator until it is acknowledged."""
        await self._ask("POST", path, json.dumps(fields).encode())
        self.record.write("acknowledged", path=path)

    async def read(self, path: str) -> dict[str, Any]:
        """Read from any core machine."""
        return json.loads((await self._ask("GET", path, b"")).body)

    async def _ask(self, method: str, path: str, body: bytes) -> Answer:
        cores = [n for n in self.nodes if n.role == "control"]
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            address = f"{random.choice(cores).ip}:{self.control_port}"
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                async with asyncio.timeout(2.0):
                    answer = await call(address, method, path, body)
                if answer.status == 200:
                    return answer
            await asyncio.sleep(0.1)
        raise CannotRunError(f"no success of {method} {path}")

    def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def make_service(name: str, **fields: Any) -> dict[str, Any]:
    """Return a service of a configuration."""
    return {
        "name": name,
        "health-path": "/health",
        "max-connections": 96,
        "protocol": "h1",
        "tls": False,
        "warmup-s": 3.0,
        "warmup-per-s": 0.0,
        **fields,
    }


def make_configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return a whole configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def make_route(
    name: str, prefix: str, service: str, **fields: Any
) -> dict[str, Any]:
    """Return a route to one service."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "route-type": "idempotent",
        "timeout-ms": 8000,
        "target-latency-ms": 800,
        "priority": 2,
        "service": service,
        "max-attempts": 2,
        **fields,
    }


CLIENTS_WITH_CONNECTION: set["Client"] = set()


class Client:
    """A client that keeps its connection open for many requests.

    Args:
        front: Address of a front machine.
        record: Record of the case.
    """

    def __init__(self, front: tuple[str, int], record: Record) -> None:
        self._front, self._record = front, record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def send(
        self,
        method: str,
        path: str,
        id: str,
        deadline_ms: int = 8000,
        body: bytes = b"",
    ) -> Answer:
        """Send one request; return status 0 if its connection is lost."""
        answer = Answer(0, [], b"")
        self._record.write("sends", request=id, path=path)
        try:
            if self._reader is None or self._writer is None:
                self.close()
                streams = await asyncio.open_connection(*self._front)
                self._reader, self._writer = streams
                CLIENTS_WITH_CONNECTION.add(self)
            self._writer.write(
                encode_request(HOST, method, path, id, deadline_ms, body)
            )
            answer = await read_answer(self._reader)
        except (OSError, EOFError):
            self._reader = None
        if ("connection", "close") in answer.headers:
            self._reader = None
        self._record.write(
            "gets",
            request=id,
            status=answer.status,
            stamps=answer.all("x-response-stamp"),
        )
        return answer


def is_in_episode(started_at: float) -> bool:
    """Return whether a disruption that comes in short episodes is on now."""
    elapsed_s = time.monotonic() - started_at
    return elapsed_s % (EPISODE_S + EPISODE_PAUSE_S) < EPISODE_S


def check_served(served: int) -> None:
    """Check that the load was served at all.

    Raises:
        CannotRunError: It was not.
    """
    if not served:
        raise CannotRunError("no request was served")


async def play_and_close(
    play: Callable[[Deployment, Record], Awaitable[bool]],
    deployment: Deployment,
    record: Record,
) -> bool:
    """Play a case, then close the connections of its clients and servers."""
    try:
        async with asyncio.timeout(PLAY_TIMEOUT_S):
            return await play(deployment, record)
    finally:
        for client in CLIENTS_WITH_CONNECTION:
            client.close()
        deployment.platform.stop()
        for backend in deployment.backends:
            backend.stop()
        await asyncio.sleep(0.2)


def main(
    file: str,
    play: Callable[[Deployment, Record], Awaitable[bool]],
    entries: int = 2,
) -> None:
    """Run a case and exit with its result.

    Args:
        file: Path of the script of the case.
        play: Plays the case; returns whether the rule held.
        entries: Number of front machines.
    """
    record = Record(Path(file).resolve().parent / "record.txt")
    record.write("begins", TROUBLE=os.environ.get("TROUBLE", "1"))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    deployment: Deployment | None = None
    try:
        deployment = Deployment(record, entries)
        has_held = asyncio.run(play_and_close(play, deployment, record))
        ended = [
            node.name
            for node in deployment.nodes
            if node.process is not None and node.process.poll() is not None
        ]
        if ended:
            record.write("ended by itself", nodes=ended)
    except Exception as error:
        # An error of the script must not be taken for a broken rule.
        record.write("could not run", error=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    finally:
        if deployment is not None:
            deployment.stop()
    sys.exit(HELD if has_held else BROKEN)
