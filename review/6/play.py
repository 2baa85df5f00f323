"""A backend fails with its own 503 after it has run a notice.

It does not state `X-Not-Executed`, so the request counts as run. The client
that gets a 503 is promised that it has not run.
"""

import asyncio
import collections
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "second"))

from deployment import (  # noqa: E402
    Backend,
    Reply,
    Site,
    make_route,
    make_service,
    run_case,
)

REQUESTS = 200
GREY_SHARE = 0.4
PROMISES = (408, 421, 429, 503)


async def play(record, has_trouble):
    """Play the case; return what was broken."""
    site = Site(record)
    fails = 0.0

    def fail_at_times(request):
        nonlocal fails
        if not is_grey:
            return None
        fails += GREY_SHARE
        if fails < 1.0:
            return None
        fails -= 1.0
        return Reply(503, {}, b"out of memory while sending")

    is_grey = False
    for number in range(6):
        respond = fail_at_times if number == 0 else None
        site.backends.append(
            Backend(
                site,
                "fee-notices",
                f"i-{number}",
                ("leicester", "nottingham", "derby")[number % 3],
                respond=respond,
            )
        )
    try:
        await site.start()
        route = make_route(
            "notices", "/notices/", "non_idempotent", service="fee-notices"
        )
        await site.publish(3, [route], [make_service("fee-notices")])
        await site.wait_until_ready()
        await asyncio.sleep(2.0)
        is_grey = has_trouble
        record.write(f"backend i-0 fails part of its requests: {is_grey}")
        for number in range(REQUESTS):
            path, entry = f"/notices/{number}", number % 2
            _, reply = await site.request("POST", path, 5000, b"fee", entry)
            if reply is not None and reply.status in PROMISES:
                # Clients retry a request that is promised not to have run.
                await site.request("POST", path, 5000, b"fee", 1 - entry)
        await asyncio.sleep(1.0)
    finally:
        await site.stop()
    broken = [
        request_id
        for request_id, reply in site.answers_by_id.items()
        if reply is not None
        and reply.status in PROMISES
        and request_id in site.runs_by_id
    ]
    answered = sum(
        reply is not None and reply.status == 200
        for reply in site.answers_by_id.values()
    )
    targets = collections.Counter(site.targets)
    twice = sum(count > 1 for count in targets.values())
    record.write(f"{answered} of {REQUESTS} answered with success")
    record.write(f"notices that ran twice for one client: {twice}")
    if answered < REQUESTS / 2:
        return "less than half is served" if not has_trouble else ""
    if not broken:
        return ""
    return (
        f"REFUSED: {len(broken)} requests that are not idempotent were answered"
        f" with a promise that they have not run, and have run; {twice} notices"
        f" ran twice for one client"
    )


run_case(FOLDER, play, os.environ.get("TROUBLE", "1") != "0")
