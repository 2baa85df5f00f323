"""A service under load whose traffic moves to another version."""

import asyncio
import random

from deployment import ZONES, Backend, CannotRunError, Reply, Site

SERVICE = "fee-notices"
RATE_PER_S = 100.0
FAILURE_SHARE = 0.5


class Player:
    """Traffic, rollouts, and the platform that starts and stops backends."""

    def __init__(self, record, duration_s):
        self.record = record
        self.duration_s = duration_s
        self.site = Site(record)
        self.random = random.Random(7)
        self.is_over = False
        self.tasks = []
        self.bad_at = []

    def add_backends(self, version, respond=None):
        """Add three backends of a version, which are not started."""
        added = [
            Backend(
                self.site,
                SERVICE,
                f"i-{version}-{number}",
                ZONES[number],
                version,
                respond=respond,
            )
            for number in range(3)
        ]
        self.site.backends += added
        return added

    def fail(self, request):
        """Fail part of the requests."""
        if self.random.random() >= FAILURE_SHARE:
            return None
        self.bad_at.append(self.record.now())
        return Reply(500, {}, b"")

    async def send_all(self):
        """Send requests until the case is over."""
        number = 0
        while not self.is_over:
            number += 1
            self.tasks.append(
                asyncio.ensure_future(
                    self.site.request(
                        "GET", f"/fees/{number}", 2000, entry=number % 2
                    )
                )
            )
            await asyncio.sleep(self.random.expovariate(RATE_PER_S))

    async def begin(self, version):
        """Order a rollout."""
        reply = await self.site.order(
            "POST",
            "/-/Rollouts.Begin",
            {
                "service": SERVICE,
                "target-version": version,
                "duration-s": self.duration_s,
            },
        )
        if reply.status != 200:
            raise CannotRunError(f"rollout to {version}: {reply}")

    async def wait_for_state(self, states, timeout_s):
        """Wait until a rollout has one of these states; return it."""
        give_up_at = self.record.now() + timeout_s
        while self.record.now() < give_up_at:
            reply = await self.site.order("GET", f"/-/Rollouts.Read/{SERVICE}")
            for state in states:
                if f'"{state}"'.encode() in reply.body:
                    return state
            await asyncio.sleep(0.5)
        return ""

    def count_runs(self, version, begin, end):
        """Return the runs of all versions, and those of one, in some time."""
        runs = [
            backend.version
            for group in self.site.runs_by_id.values()
            for at, backend in group
            if begin <= at < end
        ]
        return len(runs), runs.count(version)
