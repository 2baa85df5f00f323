"""A request that crashes each backend that runs it comes again and again.

Each time it reaches another entry, as the retries of clients do.
"""

import asyncio
import itertools
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "second"))

from deployment import (  # noqa: E402
    BOUNDS,
    ZONES,
    Backend,
    Site,
    make_route,
    make_service,
    run_case,
)

SERVICE = "shuckshift"
ENTRIES = 9
BACKENDS = 9
# The backend is back after some seconds.
DOWN_S = 3.0
COMES_AGAIN_S = 3.0
TIMES = 14
ORDINARY_PER_S = 20.0
ALLOWED_RETRIES = 3


class CrashingBackend(Backend):
    """A backend that ends when it begins to run a certain request."""

    incarnations = itertools.count(1)

    async def handle(self, request):
        """Return the reply to a request."""
        expected = request.headers.get("x-expect-instance")
        if request.target.endswith("/death") and expected in (None, self.id):
            request_id = request.headers["x-request-id"]
            self.site.note_run(self, request_id, request)
            self.site.record.write(f"{self.id} crashes")
            self.stop()
            self.restart = asyncio.ensure_future(self._start_again())
            raise ConnectionError
        return await super().handle(request)

    async def _start_again(self):
        await asyncio.sleep(DOWN_S)
        self.id = f"i-again-{next(self.incarnations)}"
        self.running = self.waiting = 0
        await self.start()


async def play(record, has_trouble):
    """Play the case; return what was broken."""
    site = Site(record, controls=3, entries=ENTRIES)
    for number in range(BACKENDS):
        site.backends.append(
            CrashingBackend(
                site, SERVICE, f"i-{number}", ZONES[number % 3], work_s=0.135
            )
        )
    tasks = []
    ordinary = []
    is_over = False

    async def send_ordinary():
        for number in itertools.count():
            if is_over:
                return
            request = site.request(
                "POST", f"/shifts/{number}", 4000, b"", number % ENTRIES
            )
            ordinary.append(asyncio.ensure_future(request))
            await asyncio.sleep(1.0 / ORDINARY_PER_S)

    deadly = []
    try:
        await site.start()
        routes = [
            make_route("rosters", "/rosters/", "idempotent", service=SERVICE),
            make_route("shifts", "/shifts/", "non_idempotent", service=SERVICE),
        ]
        await site.publish(3, routes, [make_service(SERVICE, 45)])
        await site.wait_until_ready()
        tasks.append(asyncio.ensure_future(send_ordinary()))
        await asyncio.sleep(5.0)
        for number in range(TIMES):
            if has_trouble:
                request_id = site.new_id()
                deadly.append((record.now(), request_id))
                request = site.request(
                    "GET",
                    "/rosters/death",
                    4000,
                    entry=number % ENTRIES,
                    request_id=request_id,
                )
                tasks.append(asyncio.ensure_future(request))
            await asyncio.sleep(COMES_AGAIN_S)
        is_over = True
        await asyncio.gather(*tasks)
        replies = [reply for _, reply in await asyncio.gather(*ordinary)]
    finally:
        await site.stop()
    failed = sum(reply is None or reply.status != 200 for reply in replies)
    record.write(f"{failed} of {len(replies)} ordinary requests failed")
    crashed_at = sorted(
        at
        for _, request_id in deadly
        for at, _ in site.runs_by_id.get(request_id, [])
    )
    record.write(f"crashes: {len(crashed_at)}")
    if len(crashed_at) < ALLOWED_RETRIES:
        return ""
    begin = crashed_at[2] + BOUNDS["contact-window-ms"] / 1000
    late = [
        request_id
        for at, request_id in deadly
        if at > begin and request_id in site.runs_by_id
    ]
    record.write(f"retries sent after {begin:.1f} that were run: {late}")
    if len(late) <= ALLOWED_RETRIES:
        return ""
    return (
        f"BUDGET: {len(late)} retries of a request that crashes backends"
        f" reached some later than the contact window after the third crash;"
        f" {len(crashed_at)} backends crashed"
    )


run_case(FOLDER, play, os.environ.get("TROUBLE", "1") != "0")
