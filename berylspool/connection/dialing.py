"""Opening of streams to peers that may be starting."""

import asyncio
import contextlib
import socket

from tornado.iostream import IOStream

__all__ = ["ATTEMPT_INTERVAL_S", "CONNECT_TIMEOUT_S", "open_stream"]

CONNECT_TIMEOUT_S = 1.0
# The kernel sends an opening packet that was lost again only after a second, so
# a peer that starts meanwhile is reached sooner by a further attempt.
ATTEMPT_INTERVAL_S = 0.2


async def open_stream(host: str, port: int) -> IOStream:
    """Open a stream, with a further attempt as long as the peer is silent.

    Earlier attempts stay open, so a peer is reached whose answer takes longer
    than the interval.

    Args:
        host: IP address of the peer.
        port: TCP port of the peer.

    Returns:
        The first stream that opens; all others are closed.

    Raises:
        OSError: The peer refused.
        StreamClosedError: The peer refused.
        TimeoutError: No attempt succeeded within `CONNECT_TIMEOUT_S`.
    """
    attempts: list[asyncio.Task[IOStream]] = []
    opened: IOStream | None = None
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            done: set[asyncio.Task[IOStream]] = set()
            while not done:
                attempts.append(asyncio.ensure_future(_connect(host, port)))
                done, _ = await asyncio.wait(
                    attempts,
                    timeout=ATTEMPT_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            opened = done.pop().result()
            return opened
    finally:
        for attempt in attempts:
            attempt.cancel()
        for outcome in await asyncio.gather(*attempts, return_exceptions=True):
            if isinstance(outcome, IOStream) and outcome is not opened:
                outcome.close()


async def _connect(host: str, port: int) -> IOStream:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with contextlib.ExitStack() as stack:
        stream = IOStream(socket.socket(family))
        stack.callback(stream.close)
        await stream.connect((host, port))
        stack.pop_all()
        return stream
