"""Command line of the platform's roles.

It has no options: the platform starts it with a role and a settings file.
Each role imports only what it needs, as start and memory are paid for.
"""

import gc
import os
import sys
import time
from collections.abc import Coroutine
from typing import Any

from berylspool.exception import BerylspoolError
from berylspool.platform.early import open_callers_port

__all__ = ["main"]

EXIT_FAILURE = 2


def boot_clock() -> float:
    """Return seconds since boot, suspended time included.

    The monotonic clock stands still while a VM is suspended, so a lease that
    others take for expired would still seem to run.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_entry() -> None:
    """Run an entry."""
    port = open_callers_port()
    from berylspool.platform.roles import entry

    run(entry(boot_clock, port))


def run_control() -> None:
    """Run a control node."""
    from berylspool.platform.roles import control

    run(control(boot_clock))


ROLES = {"entry": run_entry, "control": run_control}


def run(role: Coroutine[Any, Any, None]) -> None:
    """Run a role on its event loop until it ends."""
    import asyncio

    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(role)
        # All is answered, synced and written; taking the interpreter and some
        # hundred connections apart would use up the time to stop.
        os._exit(0)


def main(arguments: list[str]) -> int:
    """Run the role that the arguments name."""
    if len(arguments) != 1 or arguments[0] not in ROLES:
        names = " or ".join(ROLES)
        sys.stderr.write(f"usage: python3 -m berylspool.platform {names}\n")
        return EXIT_FAILURE
    # A collection during the start finds nothing to free.
    gc.disable()
    try:
        ROLES[arguments[0]]()
    except BerylspoolError as error:
        sys.stderr.write(f"{type(error).__name__}: {error}\n")
        return EXIT_FAILURE
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
