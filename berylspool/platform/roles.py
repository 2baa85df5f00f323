"""Assembly of the entry and control programs that run on the platform."""

import asyncio
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from berylspool.common.event import Event, SettingsReloaded
from berylspool.exception import SettingsError
from berylspool.platform.settings import (
    PlatformSettings,
    read_settings,
    settings_path,
    to_holding_limits,
    to_memory_limits,
    to_settings,
)
from berylspool.process.lifetime import start_garbage_collection
from berylspool.process.log import LogTask, log_to_standard_output
from berylspool.process.settings import Settings

__all__ = ["run_control", "run_entry"]

# The settings file may change without a signal, so it is read at this interval.
SETTINGS_CHECK_INTERVAL_S = 1.0
# The latency between zones is 3 ms, and a sync to disk takes 1 ms, or 30 ms on
# a slow disk, so a leader that is silent for five heartbeats has failed.
HEARTBEAT_INTERVAL_S = 0.05
ELECTION_TIMEOUT_S = 0.25
ELECTION_TIMEOUT_SPREAD_S = 0.25

# Ports of the metrics endpoints; deploy/system.toml declares the same.
ENTRY_METRICS_PORT = 7394
CONTROL_METRICS_PORT = 7395

Clock = Callable[[], float]


class ReloadableRole(Protocol):
    """A role that can apply changed settings while it runs."""

    def reload(self, settings: Settings) -> None:
        """Apply changed settings."""


async def run_entry(clock: Clock, caller_socket: socket.socket | None) -> None:
    """Run an entry until SIGTERM.

    Args:
        clock: Monotonic time in seconds.
        caller_socket: Listening socket for callers, if it is open already.
    """
    from berylspool.connection.scrape import ScrapeServer
    from berylspool.platform.document import decode_plan
    from berylspool.platform.ingress import Ingress, ReadinessServer
    from berylspool.platform.upstream.connection import PlatformTransport
    from berylspool.process.entry.forwarding.forwarder import Forwarder

    path = settings_path()
    platform_settings = read_settings(path)
    log = LogTask(output=log_to_standard_output(), holds_part_lines=True)
    role = Forwarder(
        platform_settings.node_name,
        to_settings(platform_settings),
        decode=decode_plan,
        transport=PlatformTransport(clock, to_memory_limits(platform_settings)),
        control_port=platform_settings.control_port,
        clock=clock,
        log=log,
    )
    role.caller_listener = Ingress(
        role.handler.answer,
        lambda: role.is_closing,
        log.put,
        caller_socket,
        limits=to_holding_limits(platform_settings),
        get_limits=lambda: role.state.view.value.plan.caller_limits,
        metrics=role.metrics,
    )
    readiness_server = ReadinessServer(lambda: role.is_ready, log.put)
    readiness_server.listen(platform_settings.listen["readiness-address"])
    ScrapeServer(role.metrics).listen(
        f"{platform_settings.ip}:{ENTRY_METRICS_PORT}"
    )
    start_garbage_collection()
    reload_task = asyncio.ensure_future(
        _watch_settings(path, platform_settings, role, role.log.put)
    )
    await role.run()
    reload_task.cancel()


async def run_control(clock: Clock) -> None:
    """Run a control node until SIGTERM.

    Args:
        clock: Monotonic time in seconds.
    """
    from berylspool.connection.scrape import ScrapeServer
    from berylspool.platform.discovery import ListClient
    from berylspool.platform.operator_server import OperatorServer
    from berylspool.platform.usage_client import UsageClient
    from berylspool.process.control.platform_integration import (
        PlatformIntegration,
    )
    from berylspool.process.control.role import ControlNode
    from berylspool.process.group.node import ConsensusTiming

    path = settings_path()
    platform_settings = read_settings(path)
    log = LogTask(output=log_to_standard_output())
    operator_port = int(platform_settings.listen["control"].rpartition(":")[2])
    platform = PlatformIntegration(
        make_operator_server=lambda inbox, metrics: OperatorServer(
            operator_port,
            inbox,
            limits=to_holding_limits(platform_settings),
            log=log.put,
            metrics=metrics,
        ),
        list_reader=ListClient(platform_settings.cloud.address, log.put),
        duty_client=UsageClient(platform_settings.cloud.address),
        peer_port=platform_settings.control_port,
        voter_count=platform_settings.voter_count,
        timing=ConsensusTiming(
            HEARTBEAT_INTERVAL_S, ELECTION_TIMEOUT_S, ELECTION_TIMEOUT_SPREAD_S
        ),
    )
    role = ControlNode(
        platform_settings.ip,
        to_settings(platform_settings),
        platform_settings.bootstrap,
        clock=clock,
        platform=platform,
        log=log,
    )
    ScrapeServer(role.metrics).listen(
        f"{platform_settings.ip}:{CONTROL_METRICS_PORT}"
    )
    start_garbage_collection()
    reload_task = asyncio.ensure_future(
        _watch_settings(path, platform_settings, role, log.put)
    )
    await role.run()
    reload_task.cancel()


async def _watch_settings(
    path: Path,
    current: PlatformSettings,
    role: ReloadableRole,
    log: Callable[[Event], None],
) -> None:
    """Read the settings file on SIGHUP and at intervals; apply changes."""
    check_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, check_requested.set)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_INTERVAL_S):
                await check_requested.wait()
        except TimeoutError:
            # No signal has arrived; the file is checked anyway.
            pass
        check_requested.clear()
        try:
            loaded = read_settings(path)
        except SettingsError as error:
            log(SettingsReloaded(str(error)))
            continue
        if loaded != current:
            current = loaded
            role.reload(to_settings(loaded))
            log(SettingsReloaded("applied"))
