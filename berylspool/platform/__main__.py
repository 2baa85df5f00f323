"""Command line that runs a role on the platform.

The only argument is the role; an environment variable names the settings
file.  Each role imports only the modules that it needs, because start-up time
and memory have a cost.
"""

import gc
import os
import sys
import time
from collections.abc import Coroutine
from typing import Any

from berylspool.exception import BerylspoolError
from berylspool.platform.caller_socket import open_caller_socket

__all__ = ["main"]

EXIT_FAILURE = 2


def boot_clock() -> float:
    """Return seconds since boot, including the time spent suspended.

    The monotonic clock stops while a VM is suspended, so by that clock a lease
    that has expired for the other processes would still seem valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def start_entry() -> None:
    """Run the entry role, with the callers' port opened first."""
    caller_socket = open_caller_socket()
    from berylspool.platform.roles import run_entry

    run_role(run_entry(boot_clock, caller_socket))


def start_control() -> None:
    """Run the control role."""
    from berylspool.platform.roles import run_control

    run_role(run_control(boot_clock))


START_BY_ROLE = {"entry": start_entry, "control": start_control}


def run_role(program: Coroutine[Any, Any, None]) -> None:
    """Run a role on a uvloop event loop until it ends, then exit."""
    import asyncio

    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(program)
        # All requests are answered, and all files are written and synced.
        # Skips the interpreter's finalization: tearing down some hundred
        # connections would use up the time that the platform gives for a stop.
        os._exit(0)


def main(arguments: list[str]) -> int:
    """Run the role that the arguments name and return the exit status."""
    if len(arguments) != 1 or arguments[0] not in START_BY_ROLE:
        role_names = " or ".join(START_BY_ROLE)
        sys.stderr.write(
            f"usage: python3 -m berylspool.platform {role_names}\n"
        )
        return EXIT_FAILURE
    # Garbage collection during start-up finds nothing to free.  The role
    # enables it again once it is set up.
    gc.disable()
    try:
        START_BY_ROLE[arguments[0]]()
    except BerylspoolError as error:
        sys.stderr.write(f"{type(error).__name__}: {error}\n")
        return EXIT_FAILURE
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
