"""Reading the platform's list while the node leads."""

import asyncio

from berylspool.common.event import ListingFailed
from berylspool.common.mailbox import Mailbox
from berylspool.process.control import platform_integration
from berylspool.process.control.platform_integration import (
    ListingFetched,
    poll_listing,
)

TEST_TIMEOUT_S = 10.0


class FailingOnceReader:
    """Raises an error that nobody expects, and then reads an empty list."""

    def __init__(self):
        self.count = 0

    async def read(self):
        self.count += 1
        if self.count == 1:
            raise RecursionError("nested too deeply")
        return {}


def test_unexpected_error_does_not_end_the_reading_of_the_list(monkeypatch):
    monkeypatch.setattr(platform_integration, "LIST_POLL_INTERVAL_S", 0.01)

    async def run():
        inbox, events = Mailbox(), []
        polling = asyncio.ensure_future(
            poll_listing(
                FailingOnceReader(), inbox, lambda: True, events.append
            )
        )
        messages = await inbox.take(TEST_TIMEOUT_S)
        polling.cancel()
        return messages, events

    messages, events = asyncio.run(run())
    assert messages == [ListingFetched({})]
    assert events == [ListingFailed("RecursionError('nested too deeply')")]
