"""Injection of faults into a soak run, from outside of its processes."""

import asyncio
import contextlib
import json
import random
import signal
import time
from typing import Any

from soak.callers import evacuate_zone
from soak.history import Interruption
from soak.proxy import Impairment
from soak.schedule import (
    CrashUpstream,
    EvacuateZone,
    Fault,
    FillDisk,
    FreezeProcess,
    ImpairLink,
    KillProcess,
    LeaveUpstream,
    PauseUpstream,
    RestartProcess,
)
from soak.soak_run import SoakRun, admin_addresses

__all__ = ["inject_fault"]

STOP_TIMEOUT_S = 15.0


async def inject_fault(
    soak_run: SoakRun, fault: Fault, rng: random.Random
) -> None:
    """Inject one fault and wait until it ends."""
    match fault:
        case (
            KillProcess(name=name)
            | RestartProcess(name=name)
            | FreezeProcess(name=name)
        ):
            if name in soak_run.faulted_names:
                return
            soak_run.faulted_names.add(name)
            is_planned = isinstance(fault, RestartProcess)
            interruption = Interruption(name, time.monotonic(), is_planned)
            soak_run.history.interruptions.append(interruption)
            try:
                await _inject_process_fault(soak_run, fault)
            finally:
                soak_run.faulted_names.discard(name)
        case FillDisk(name=name, duration_s=duration_s):
            marker = soak_run.full_disk_marker(name)
            marker.touch()
            await asyncio.sleep(duration_s)
            marker.unlink()
        case CrashUpstream(name=name):
            await _set_upstream_fault(soak_run, name, {"crash": True})
        case PauseUpstream(name=name, duration_s=duration_s):
            changes = {"pause_s": duration_s}
            await _set_upstream_fault(soak_run, name, changes)
        case LeaveUpstream(name=name, duration_s=duration_s):
            await _set_upstream_fault(soak_run, name, {"is_leaving": True})
            await asyncio.sleep(duration_s)
            await _set_upstream_fault(soak_run, name, {"crash": True})
        case ImpairLink(
            name=name, impairment=impairment, duration_s=duration_s
        ):
            proxy = soak_run.proxy_by_link[name]
            proxy.set_impairment(impairment)
            await asyncio.sleep(duration_s)
            proxy.set_impairment(Impairment.NONE)
        case EvacuateZone(zone=zone, duration_s=duration_s):
            if zone in soak_run.faulted_names:
                return
            soak_run.faulted_names.add(zone)
            try:
                addresses = admin_addresses(soak_run)
                await evacuate_zone(
                    soak_run.history, addresses, zone, duration_s, rng
                )
            finally:
                soak_run.faulted_names.discard(zone)


async def _inject_process_fault(
    soak_run: SoakRun, fault: KillProcess | RestartProcess | FreezeProcess
) -> None:
    deployment, name = soak_run.deployment, fault.name
    match fault:
        case KillProcess(duration_s=duration_s):
            deployment.kill(name)
            await asyncio.sleep(duration_s)
            soak_run.start(name)
        case FreezeProcess(duration_s=duration_s):
            deployment.signal(name, signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            deployment.signal(name, signal.SIGCONT)
        case RestartProcess():
            deployment.signal(name, signal.SIGTERM)
            process = deployment.process_by_name.pop(name)
            end_at = time.monotonic() + STOP_TIMEOUT_S
            while process.poll() is None and time.monotonic() < end_at:
                await asyncio.sleep(0.05)
            if process.poll() is None:
                process.kill()
                process.wait()
            soak_run.start(name)


async def _set_upstream_fault(
    soak_run: SoakRun, name: str, changes: dict[str, Any]
) -> None:
    """Set faults of a stand-in by a request to its port, not to its proxy."""
    host, port = soak_run.proxy_by_link[name].target
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(host, port)
        # A stand-in that crashes may reset the connection.
        with contextlib.closing(writer):
            data = json.dumps(changes).encode()
            head = "POST /standin/fault HTTP/1.1\r\nHost: soak\r\n"
            length = f"Content-Length: {len(data)}\r\n\r\n"
            writer.write((head + length).encode() + data)
            await writer.drain()
            await asyncio.sleep(0.05)
