"""Assembly of the entry and control programs that run on the platform."""

import asyncio
import gc
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from berylspool.common.event import Event, SettingsReloaded
from berylspool.exception import SettingsError
from berylspool.platform.settings import (
    PlatformSettings,
    own_settings,
    read_settings,
    settings_path,
)
from berylspool.process.log import LogTask, open_standard_output
from berylspool.process.settings import Settings

__all__ = ["control", "entry"]

# The settings file may change without a signal; a check costs one system call.
SETTINGS_CHECK_S = 1.0
# The latency between zones is 3 ms, and a sync to disk takes 1 ms, or 30 ms on
# a slow disk, so a leader that is silent for five heartbeats has failed.
HEARTBEAT_S = 0.05
ELECTION_S = 0.25
ELECTION_SPREAD_S = 0.25

# Ports of the metrics endpoints; deploy/system.toml declares the same.
ENTRY_METRICS_PORT = 7394
CONTROL_METRICS_PORT = 7395

Clock = Callable[[], float]


class Reloadable(Protocol):
    """A role that can apply changed settings while it runs."""

    def reload(self, settings: Settings) -> None:
        """Apply settings."""


async def entry(clock: Clock, port: socket.socket | None) -> None:
    """Run an entry until SIGTERM.

    Args:
        clock: Monotonic time in seconds.
        port: Listening socket for callers, if it is open already.
    """
    from berylspool.connection.scrape import ScrapeServer
    from berylspool.platform.document import decode_plan
    from berylspool.platform.ingress import Ingress, Readiness
    from berylspool.platform.upstream import PlatformTransport
    from berylspool.process.entry.forwarder import Forwarder

    path = settings_path()
    given = read_settings(path)
    log = LogTask(output=open_standard_output(), holds=True)
    role = Forwarder(
        given.node_name,
        own_settings(given),
        decode=decode_plan,
        transport=PlatformTransport(clock),
        peer_port=given.control_port,
        clock=clock,
        log=log,
    )
    role.callers = Ingress(role.answer, lambda: role.is_closing, port)
    readiness = Readiness(lambda: role.is_ready)
    readiness.listen(given.listen["readiness-address"])
    ScrapeServer(role.metrics).listen(f"{given.ip}:{ENTRY_METRICS_PORT}")
    _settle_memory()
    watch = asyncio.ensure_future(
        _watch_settings(path, given, role, role.log.put)
    )
    await role.run()
    watch.cancel()


async def control(clock: Clock) -> None:
    """Run a control node until SIGTERM.

    Args:
        clock: Monotonic time in seconds.
    """
    from berylspool.connection.scrape import ScrapeServer
    from berylspool.platform.discovery import ListClient
    from berylspool.platform.operators import OperatorServer
    from berylspool.process.control.role import Control
    from berylspool.process.control.surroundings import Surroundings
    from berylspool.process.group.node import Timing

    path = settings_path()
    given = read_settings(path)
    log = LogTask(output=open_standard_output())
    port = int(given.listen["control"].rpartition(":")[2])
    surroundings = Surroundings(
        operators=lambda inbox: OperatorServer(port, inbox),
        reader=ListClient(given.cloud.address, log.put),
        peer_port=given.control_port,
        voters=given.voters,
        timing=Timing(HEARTBEAT_S, ELECTION_S, ELECTION_SPREAD_S),
    )
    role = Control(
        given.ip,
        own_settings(given),
        given.bootstrap,
        clock=clock,
        surroundings=surroundings,
        log=log,
    )
    ScrapeServer(role.metrics).listen(f"{given.ip}:{CONTROL_METRICS_PORT}")
    _settle_memory()
    watch = asyncio.ensure_future(_watch_settings(path, given, role, log.put))
    await role.run()
    watch.cancel()


def _settle_memory() -> None:
    """Exempt all loaded objects from garbage collection, then enable it.

    These objects live as long as the process; traversing them in each full
    collection would delay callers' requests.
    """
    gc.freeze()
    gc.enable()


async def _watch_settings(
    path: Path,
    given: PlatformSettings,
    role: Reloadable,
    log: Callable[[Event], None],
) -> None:
    """Apply the settings file on SIGHUP and whenever it has changed."""
    changed = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_S):
                await changed.wait()
        except TimeoutError:
            # No signal has arrived; the file is checked anyway.
            pass
        changed.clear()
        try:
            read = read_settings(path)
        except SettingsError as error:
            log(SettingsReloaded(str(error)))
            continue
        if read != given:
            given = read
            role.reload(own_settings(read))
            log(SettingsReloaded("applied"))
