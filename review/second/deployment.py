"""A small deployment on loopback, with stand-ins for everything around it.

The system's own programs run as separate processes, started with the commands
of `deploy/system.toml`. This module plays the platform's list of backends, the
backends, the operator and the clients, as the users' pages describe them.
"""

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "permits.example"
LIST_LAG_S = 0.8
DRAIN_S = 3.0
GRACE_S = 6.0
CLIENT_CONNECT_S = 1.0
OPERATOR_TRY_S = 1.0
START_TIMEOUT_S = 40.0
PLAY_TIMEOUT_S = 110.0
PAGE_LENGTH = 50
BOUNDS = {
    "seed-lag-s": 3,
    "address-reuse-s": 2,
    "contact-window-ms": 4000,
    "ack-timeout-ms": 5000,
    "catch-up-s": 4,
    "drain-ms": 3000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 3000,
    "rollback-slack-ms": 250,
    "max-skew-ms": 12000,
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
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "scatter",
    "places",
    "rollout",
]
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 262144,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
ZONES = ["leicester", "nottingham", "derby"]


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self):
        """Return the time since the case began, in seconds."""
        return time.monotonic() - self._began_at

    def write(self, text):
        """Write a line."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


@dataclass
class Request:
    """A request as a server has read it."""

    method: str
    target: str
    headers: dict
    body: bytes


@dataclass
class Reply:
    """An answer of a server or of the system."""

    status: int
    headers: dict = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader):
    """Return the first line and the headers, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1")[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader):
    """Return the next request on a connection, or None at the end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def encode_reply(reply):
    """Return the bytes of a reply."""
    lines = [f"HTTP/1.1 {reply.status} X"]
    lines += [f"{name}: {value}" for name, value in reply.headers.items()]
    lines.append(f"Content-Length: {len(reply.body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + reply.body


async def read_reply(reader):
    """Return the answer that comes next; None if the connection ends."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    status = int(first.split(" ")[1])
    try:
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Reply(status, headers, body)


def make_network():
    """Return the first three octets of loopback addresses of this run."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 8) % 64}.{pid % 254 + 1}"


def find_port(hosts):
    """Return a port that is free at all of these addresses."""
    for _ in range(50):
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return port
    raise CannotRunError("no free port")


class Backend:
    """One backend: serves one request at a time on a connection.

    Args:
        site: The deployment.
        service: Name of its service.
        id: Instance id.
        zone: Its zone.
        version: Version of its software.
        work_s: Time that it works on a request.
        respond: Returns the reply to a request that it has run; None for an
            ordinary success.
    """

    def __init__(
        self, site, service, id, zone, version="v1", work_s=0.01, respond=None
    ):
        self.site = site
        self.service = service
        self.id = id
        self.zone = zone
        self.version = version
        self.work_s = work_s
        self.respond = respond
        self.state = "ready"
        self.slots = asyncio.Semaphore(8)
        self.running = self.waiting = 0
        self.stamps = itertools.count(1)
        self.writers = set()
        self.server = None
        self.port = 0

    async def start(self):
        """Start to accept connections."""
        self.server = await asyncio.start_server(
            self._serve, self.site.standin_host, 0
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """End at once, as a process that is killed does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self):
        """Return its entry in the list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": f"{self.site.standin_host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": 8,
            "state": self.state,
            "warmup-left-ms": 0,
        }

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                reply = await self.handle(request)
                reply.headers["X-Server-Load"] = (
                    f"{self.running},{self.waiting},8"
                )
                writer.write(encode_reply(reply))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request):
        """Return the reply to a request, which is run unless it is refused."""
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            return Reply(status, {"X-Instance-Id": self.id})
        request_id = request.headers.get("x-request-id", "")
        expected = request.headers.get("x-expect-instance")
        not_run = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
        if expected and expected != self.id:
            return Reply(421, not_run)
        if not request_id:
            return Reply(400, not_run)
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            self.site.note_run(self, request_id, request)
            await asyncio.sleep(self.work_s)
            self.running -= 1
        headers = {
            "X-Request-Id": request_id,
            "X-Response-Stamp": f"{self.id}.{next(self.stamps)}",
        }
        if self.respond is not None:
            reply = self.respond(request)
            if reply is not None:
                reply.headers = {**headers, **reply.headers}
                return reply
        return Reply(200, headers, f"ran at {self.id}".encode())


class Site:
    """Control nodes, entries, and the stand-ins around them."""

    def __init__(self, record, controls=3, entries=2):
        self.record = record
        network = make_network()
        self.control_hosts = [f"{network}.{10 + n}" for n in range(controls)]
        self.entry_hosts = [f"{network}.{40 + n}" for n in range(entries)]
        self.standin_host = f"{network}.80"
        hosts = [*self.control_hosts, *self.entry_hosts, self.standin_host]
        ports = set()
        while len(ports) < 5:
            ports.add(find_port(hosts))
        self.front, self.ready, self.operator, self.link, self.list = ports
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.process_by_name = {}
        self.settings_by_name = {}
        self.backends = []
        self.listed = []
        self.runs_by_id = {}
        self.targets = []
        self.answers_by_id = {}
        self._list_server = None
        self._tasks = []
        self._serial = itertools.count(1)
        self._roles = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        )["roles"]

    # Processes of the system.

    def _make_settings(self, name, host, role, number):
        is_control = role == "control"
        listen = {
            "front": f"{host}:{self.front}",
            "readiness-address": f"{host}:{self.ready}",
        }
        if is_control:
            listen = {"control": f"{host}:{self.operator}"}
        seeds = [f"{h}:{self.operator}" for h in self.control_hosts[:3]]
        return {
            "node-name": name,
            "role": role,
            "machine-class": "core" if is_control else "front",
            "serves": [*self._roles[role]["serves"]],
            "ip": host,
            "zone": ZONES[number % len(ZONES)],
            "region": "east-midlands",
            "zones": dict.fromkeys(ZONES, "east-midlands"),
            "listen": listen,
            "internal-ports": [self.link, self.link],
            "seeds": seeds,
            "bootstrap": True,
            "in-fault-budget": is_control,
            "limits": {
                "cpu-share": 0.537,
                "cpu-cores": 2,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 128 if is_control else 0,
            },
            "data-dir": str(self.folder / name) if is_control else None,
            "discovery": "cloud_api",
            "entry": "vip",
            "heartbeat-ms": 1200,
            "contracts": CONTRACTS,
            "fault-tolerance": {
                "machines": (len(self.control_hosts) - 1) // 2,
                "zones": 1,
                "regions": 0,
            },
            "bounds": BOUNDS,
            "config_mode": "highest",
            "cloud": {
                "address": f"{self.standin_host}:{self.list}",
                "rate-per-s": 49.0,
                "duties": [],
                "discovery-lag-ms": int(LIST_LAG_S * 1000),
            },
        }

    def add_control(self, name, host, number, seeds):
        """Start an empty control node at an address that is new."""
        settings = self._make_settings(name, host, "control", number)
        settings["bootstrap"] = False
        settings["seeds"] = [f"{seed}:{self.operator}" for seed in seeds]
        self.settings_by_name[name] = settings
        self.control_hosts.append(host)
        self.start_process(name)

    def write_settings(self, name):
        """Write the settings file of a process; return its path."""
        path = self.folder / f"{name}.json"
        text = json.dumps(self.settings_by_name[name])
        path.write_text(text, encoding="utf-8")
        return path

    def start_process(self, name):
        """Start a process, again if it has ended."""
        settings = self.settings_by_name[name]
        path = self.write_settings(name)
        if settings["data-dir"]:
            Path(settings["data-dir"]).mkdir(exist_ok=True)
        program, *arguments = self._roles[settings["role"]]["run"].split()
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["BERYLSPOOL_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self.folder / f"{name}.log").open("ab") as output:
            self.process_by_name[name] = subprocess.Popen(
                [program, *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.record.write(f"start {name}")

    def signal(self, name, number):
        """Send a signal to a process that runs."""
        process = self.process_by_name[name]
        if process.poll() is None:
            process.send_signal(number)
        self.record.write(f"{signal.Signals(number).name} to {name}")

    def names(self, role):
        """Return the names of the processes of a role."""
        return [
            name
            for name, settings in self.settings_by_name.items()
            if settings["role"] == role
        ]

    def log_of(self, name):
        """Return what a process has logged."""
        path = self.folder / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    async def start(self):
        """Start the list, the backends and the processes."""
        self._list_server = await asyncio.start_server(
            self._serve_list, self.standin_host, self.list
        )
        for backend in self.backends:
            await backend.start()
        self.listed = [backend.entry() for backend in self.backends]
        self._tasks.append(asyncio.ensure_future(self._update_list()))
        for role, hosts in (
            ("control", self.control_hosts),
            ("entry", self.entry_hosts),
        ):
            for number, host in enumerate(hosts):
                name = f"{role}-{number}"
                self.settings_by_name[name] = self._make_settings(
                    name, host, role, number
                )
                self.start_process(name)

    async def stop(self):
        """End everything that this site has started."""
        for task in self._tasks:
            task.cancel()
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait()
        if self._list_server is not None:
            self._list_server.close()
        for backend in self.backends:
            backend.stop()
        if os.environ.get("KEEP"):
            print(f"logs in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # The platform.

    async def _update_list(self):
        """Show each change of the backends after the lag of the list."""
        loop = asyncio.get_running_loop()
        shown = self.listed
        while True:
            await asyncio.sleep(0.05)
            current = [b.entry() for b in self.backends if b.state != "gone"]
            if current != shown:
                shown = current
                loop.call_later(
                    LIST_LAG_S, lambda value=current: self._show(value)
                )

    def _show(self, entries):
        self.listed = entries
        states = {e["id"]: e["state"] for e in entries}
        self.record.write(f"list shows {states}")

    async def _serve_list(self, reader, writer):
        with contextlib.closing(writer), contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                _, _, query = request.target.partition("?")
                begin = 0
                if query.startswith("page-token=p-"):
                    begin = int(query.removeprefix("page-token=p-"))
                end = begin + PAGE_LENGTH
                token = f"p-{end}" if end < len(self.listed) else None
                page = {
                    "instances": self.listed[begin:end],
                    "next-page-token": token,
                }
                reply = Reply(
                    200,
                    {"Content-Type": "application/json"},
                    json.dumps(page).encode(),
                )
                writer.write(encode_reply(reply))
                await writer.drain()

    # What backends have seen.

    def note_run(self, backend, request_id, request):
        """Record that a backend began to work on a request."""
        runs = self.runs_by_id.setdefault(request_id, [])
        runs.append((self.record.now(), backend))
        self.targets.append(request.target)
        self.record.write(
            f"run {request_id} at {backend.id} {backend.version} "
            f"{request.method} {request.target}"
        )

    # The operator.

    async def order(self, method, path, body=None, timeout_s=20.0):
        """Send an order until it is answered clearly; return the reply."""
        data = json.dumps(body).encode() if body is not None else b""
        give_up_at = time.monotonic() + timeout_s
        hosts = itertools.cycle(self.control_hosts)
        while time.monotonic() < give_up_at:
            reply = await self._try_order(method, path, data, next(hosts))
            if reply is not None and (
                reply.status < 300 or reply.status in (400, 404, 409, 412, 422)
            ):
                self.record.write(f"order {method} {path} -> {reply.status}")
                return reply
            await asyncio.sleep(0.1)
        raise CannotRunError(f"no answer to {method} {path}")

    async def _try_order(self, method, path, data, host):
        port = self.operator
        for _ in range(3):
            reply = await ask(
                host,
                port,
                method,
                path,
                {"Content-Type": "application/json"} if data else {},
                data,
                timeout_s=OPERATOR_TRY_S,
            )
            if reply is None or reply.status != 307:
                return reply
            address = reply.headers["location"].split("/")[2]
            path = "/" + reply.headers["location"].split("/", 3)[3]
            host, _, port = address.rpartition(":")
        return None

    async def publish(self, version, routes, services):
        """Publish a configuration; return once it is acknowledged."""
        body = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": LIMITS,
        }
        reply = await self.order(
            "POST", "/-/Config.Replace", body, START_TIMEOUT_S
        )
        if reply.status != 200:
            raise CannotRunError(f"configuration {version}: {reply}")

    async def wait_until_ready(self):
        """Wait until each entry is ready."""
        give_up_at = time.monotonic() + START_TIMEOUT_S
        for host in self.entry_hosts:
            while True:
                reply = await ask(
                    host, self.ready, "GET", "/-/readiness", {}, b""
                )
                if reply is not None and reply.status == 200:
                    break
                if time.monotonic() > give_up_at:
                    raise CannotRunError(f"{host} is not ready")
                await asyncio.sleep(0.1)

    # Clients.

    def new_id(self):
        """Return an id that no other request has."""
        return f"{next(self._serial):08x}"

    async def request(
        self, method, path, deadline_ms, body=b"", entry=0, request_id=None
    ):
        """Send one client attempt; return its id and the reply or None."""
        request_id = request_id or self.new_id()
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Request-Deadline": str(deadline_ms),
        }
        self.record.write(f"send {request_id} {method} {path} entry-{entry}")
        reply = await ask(
            self.entry_hosts[entry],
            self.front,
            method,
            path,
            headers,
            body,
            timeout_s=deadline_ms / 1000,
        )
        text = "nothing" if reply is None else str(reply.status)
        self.record.write(f"answer {request_id} {text}")
        self.answers_by_id[request_id] = reply
        return request_id, reply


async def ask(host, port, method, path, headers, body, timeout_s=1.0):
    """Send one request on a connection of its own; None without an answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            with contextlib.closing(writer):
                fields = {"Host": f"{host}:{port}", **headers}
                lines = [f"{method} {path} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in fields.items()]
                if body or method != "GET":
                    lines.append(f"Content-Length: {len(body)}")
                writer.write(
                    "\r\n".join([*lines, "", ""]).encode("latin-1") + body
                )
                return await read_reply(reader)
    except (OSError, TimeoutError):
        return None


def make_route(name, prefix, kind, **fields):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "route-type": kind,
        "timeout-ms": 6000,
        "target-latency-ms": 500,
        "priority": 1,
        "max-attempts": 1 if kind == "non_idempotent" else 2,
        **fields,
    }


def make_service(name, max_connections=96):
    """Return a service of a configuration."""
    return {
        "name": name,
        "health-path": "/health",
        "max-connections": max_connections,
        "protocol": "h1",
        "tls": False,
        "warmup-s": 3.0,
        "warmup-per-s": 0.0,
    }


def run_case(folder, play, has_trouble):
    """Play a case and exit: 1 broken, 0 held, 2 could not run.

    Args:
        folder: Folder of the case, for `record.txt`.
        play: Coroutine function of a record and of whether the disruption is
            played; returns a description of what was broken, or an empty one.
        has_trouble: Whether the disruption is played.
    """
    record = Record(Path(folder) / "record.txt")
    record.write(f"TROUBLE={int(has_trouble)}")

    async def play_in_time():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        # What was started is ended, too, if this process is told to end.
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(PLAY_TIMEOUT_S):
            return await play(record, has_trouble)

    try:
        broken = asyncio.run(play_in_time())
    except (
        CannotRunError,
        TimeoutError,
        OSError,
        asyncio.CancelledError,
        KeyboardInterrupt,
    ) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        status = 2
    else:
        record.write(f"broken: {broken}" if broken else "held")
        print(f"broken: {broken}" if broken else "held")
        status = 1 if broken else 0
    record.close()
    sys.exit(status)
