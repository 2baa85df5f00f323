"""Starts the entry and control programs on loopback addresses of their own.

The metrics ports of the programs are fixed, so each program has an address to
itself. A stand-in in the test answers as the list of upstreams and as upstream.
"""

import asyncio
import contextlib
import http.client
import json
import os
import subprocess
import sys
import threading
import time
from pathlib import Path

from berylspool.platform.tests.test_forwarding import (
    HOST,
    header_value,
    make_route,
)

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
REQUEST_TIMEOUT_S = 20.0
# The memory of the VM and its descriptors, lowered so that few clients exceed
# them; 200 descriptors are reserved.
MEMORY_MB = 100
MAX_FDS = 500
RESERVED_FDS = 200
LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 262_144,
    "header-timeout-ms": 3_000,
    "idle-timeout-ms": 15_000,
}
FRONT_PORT, READY_PORT, OPERATOR_PORT, LINK_PORT = 7301, 7302, 7303, 7304
STANDIN_PORT = 7305
LONG_RESPONSE_BYTES = 1024 * 1024
# More than the kernel takes of a response that is not read.
LONGEST_RESPONSE_BYTES = 7 * 1024 * 1024


def make_network():
    """Return the first three octets of loopback addresses of this process."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 8) % 64}.{pid % 256}"


class Standin:
    """List of upstreams and upstream, served by a thread."""

    def __init__(self, host):
        self.host = host
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def start(self):
        self._thread.start()
        serving = asyncio.start_server(self._serve, self.host, STANDIN_PORT)
        asyncio.run_coroutine_threadsafe(serving, self._loop).result()

    def stop(self):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _serve(self, reader, writer):
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = int(header_value(head, "content-length") or 0)
                await reader.readexactly(length)
                path = head.split()[1]
                body = b"hello"
                if path.startswith("/instances"):
                    body = self._list_page()
                elif path.endswith("/long"):
                    body = bytes(LONG_RESPONSE_BYTES)
                elif path.endswith("/longest"):
                    body = bytes(LONGEST_RESPONSE_BYTES)
                lines = [
                    "HTTP/1.1 200 OK",
                    f"X-Request-Id: {header_value(head, 'x-request-id')}",
                    "X-Response-Stamp: s.1",
                    f"Content-Length: {len(body)}",
                ]
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await writer.drain()

    def _list_page(self):
        upstream = {
            "service": "a",
            "address": f"{self.host}:{STANDIN_PORT}",
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "warmup-left-ms": 0,
            "id": "i-1",
        }
        page = {"instances": [upstream], "next-page-token": None}
        return json.dumps(page).encode()


class Site:
    """One entry and one control node, with their stand-in.

    Args:
        folder: Folder for settings, logs and data.
        memory_mb: Memory of each VM, in MB.
    """

    def __init__(self, folder, memory_mb=MEMORY_MB):
        self.memory_mb = memory_mb
        network = make_network()
        self.control_host = f"{network}.2"
        self.entry_host = f"{network}.3"
        self._folder = folder
        self._standin = Standin(f"{network}.4")
        self.process_by_role = {}

    def _start_process(self, role, settings):
        path = self._folder / f"{role}.json"
        path.write_text(json.dumps(settings))
        with (self._folder / f"{role}.log").open("wb") as output:
            self.process_by_role[role] = subprocess.Popen(
                [sys.executable, "-m", "berylspool.platform", role],
                env={**os.environ, "BERYLSPOOL_SETTINGS": str(path)},
                stdout=output,
                stderr=output,
            )

    def start(self):
        """Start everything, publish a configuration, and wait for it."""
        self._standin.start()
        common = {
            "zone": "z",
            "zones": {"z": "r"},
            "internal-ports": [LINK_PORT, LINK_PORT],
            "seeds": [f"{self.control_host}:{OPERATOR_PORT}"],
            "bounds": {"grace-s": 6.0},
            "limits": {"memory-mb": self.memory_mb, "max-fds": MAX_FDS},
            "cloud": {"address": f"{self._standin.host}:{STANDIN_PORT}"},
        }
        control = {
            "node-name": "c1",
            "ip": self.control_host,
            "listen": {"control": f"{self.control_host}:{OPERATOR_PORT}"},
            "bootstrap": True,
            "data-dir": str(self._folder / "data"),
        }
        entry = {
            "node-name": "e1",
            "ip": self.entry_host,
            "listen": {
                "front": f"{self.entry_host}:{FRONT_PORT}",
                "readiness-address": f"{self.entry_host}:{READY_PORT}",
            },
        }
        self._start_process("control", {**common, **control})
        self._start_process("entry", {**common, **entry})
        document = {
            "version": 1,
            "limits": LIMITS,
            "routes": [make_route("r", "/s/", service="a")],
            "services": [{"name": "a", "max-connections": 9}],
        }
        text = json.dumps(document)
        self._await_status(
            lambda: self.ask_control("POST", "/-/Config.Replace", text)
        )
        self._await_status(self.ask_entry)

    def _await_status(self, ask):
        deadline = time.monotonic() + START_TIMEOUT_S
        status = None
        while status != 200:
            assert time.monotonic() < deadline, f"{status}: {self.logs()}"
            with contextlib.suppress(OSError, http.client.HTTPException):
                status = ask()
            time.sleep(0.1)

    def logs(self):
        """Return what the processes have logged."""
        paths = sorted(self._folder.glob("*.log"))
        return "\n".join(path.read_text()[-4000:] for path in paths)

    def stop(self):
        """Stop everything that this site has started."""
        for process in self.process_by_role.values():
            process.terminate()
        for process in self.process_by_role.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._standin.stop()

    def ask_entry(self):
        """Return the status of one ordinary request to the entry."""
        return ask(self.entry_host, FRONT_PORT, "POST", "/s/1", b"x" * 1000)

    def ask_control(self, method="GET", path="/-/Config.Read", body=None):
        """Return the status of one ordinary request of an operator."""
        return ask(self.control_host, OPERATOR_PORT, method, path, body)

    def measure(self, role):
        """Return the peak memory of a process and its open descriptors.

        Raises:
            AssertionError: The process has ended.
        """
        process = self.process_by_role[role]
        assert process.poll() is None, self.logs()
        folder = Path(f"/proc/{process.pid}")
        status = (folder / "status").read_text()
        peak_kib = int(status.partition("VmHWM:")[2].split()[0])
        return peak_kib * 1024, len(list((folder / "fd").iterdir()))


def ask(host, port, method, path, body):
    """Return the status of one request on a connection of its own."""
    connection = http.client.HTTPConnection(
        host, port, timeout=REQUEST_TIMEOUT_S
    )
    with contextlib.closing(connection):
        connection.request(method, path, body, {"Host": HOST})
        response = connection.getresponse()
        response.read()
        return response.status
