"""An entry in a process of its own that only runs parts for other entries.

It reads its settings as JSON from standard input, prints a line once it is
ready, and runs until it is killed.
"""

import asyncio
import json
import sys

from berylspool.platform.tests.zone import (
    PERMANENT_LEASE,
    SERVICES,
    apply_plan,
    make_entry,
)
from berylspool.version.configuration import Upstream
from berylspool.version.listing import ListedUpstream, Listing


async def run(name, port, peer_port, upstreams):
    forwarder = make_entry(name, port, peer_port)
    router = asyncio.ensure_future(forwarder.router.run())
    delegation = asyncio.ensure_future(forwarder.delegation.run())
    forwarder.router.inbox.put(PERMANENT_LEASE)
    listed_by_id = {
        id: ListedUpstream(service, Upstream(id, host, port, "z", "v1"), 3)
        for service, id, host, port in upstreams
    }
    apply_plan(forwarder, Listing(1, 1, listed_by_id), SERVICES)
    forwarder.state.set_entry_count(1)
    await forwarder.state.initialized.wait()
    await asyncio.sleep(0.2)
    print("ready", flush=True)
    await asyncio.gather(router, delegation)


if __name__ == "__main__":
    asyncio.run(run(**json.loads(sys.stdin.readline())))
