"""Client of the platform's calls that report usage."""

import asyncio
from collections.abc import Callable

import orjson

from berylspool.connection.http import HttpConnection, open_http_connection
from berylspool.exception import ConnectionLostError, ProtocolError
from berylspool.platform.headers import FENCING_TOKEN, LEASE_HOLDER
from berylspool.process.settings import split_address
from berylspool.version.duty.schedule import CallOutcome, UsageCall

__all__ = ["UsageClient"]

CALL_TIMEOUT_S = 1.0
USAGE_PATH = "/usage"
OUTCOME_BY_STATUS = {
    200: CallOutcome.ACCEPTED,
    409: CallOutcome.SUPERSEDED,
    429: CallOutcome.THROTTLED,
}


class UsageClient:
    """Reports usage over one keep-alive connection.

    Args:
        address: Address of the platform's server, as `host:port`.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection: HttpConnection | None = None

    async def report(
        self, call: UsageCall, may_send: Callable[[], bool]
    ) -> CallOutcome:
        """Report the usage of a window.

        Args:
            call: The report.
            may_send: Called just before the request is written; if it returns
                False, nothing is sent.

        Raises:
            ConnectionLostError: The platform cannot be reached, or does not
                respond in time; it may still execute the call.
            ProtocolError: It responds with another status than 200, 409 or
                429, or its response is not valid HTTP.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                connection = await self._connect()
                if not may_send():
                    return CallOutcome.WITHHELD
                return await self._send(connection, call)
        except TimeoutError as error:
            self._close()
            raise ConnectionLostError(
                f"{self._address}{USAGE_PATH} did not respond within "
                f"{CALL_TIMEOUT_S} s"
            ) from error
        except Exception:
            self._close()
            raise

    async def _connect(self) -> HttpConnection:
        connection = self._connection
        if connection is None or connection.stream.closed():
            host, port = split_address(self._address)
            connection = await open_http_connection(host, port, CALL_TIMEOUT_S)
            self._connection = connection
        return connection

    async def _send(
        self, connection: HttpConnection, call: UsageCall
    ) -> CallOutcome:
        body = encode_report(call)
        headers = {
            "Host": self._address,
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            LEASE_HOLDER: call.holder,
            FENCING_TOKEN: str(call.token),
        }
        response = await connection.send("POST", USAGE_PATH, headers, body)
        outcome = OUTCOME_BY_STATUS.get(response.status)
        if outcome is None:
            raise ProtocolError(f"usage report: HTTP status {response.status}")
        return outcome

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def encode_report(call: UsageCall) -> bytes:
    """Return the body of a report, the same for equal contents.

    Examples:
        >>> encode_report(UsageCall(7, {"b": 2, "a": 1}, "n", 1))
        b'{"counts":{"a":1,"b":2},"window-id":7}'
    """
    report = {"window-id": call.window, "counts": call.counts}
    return orjson.dumps(report, option=orjson.OPT_SORT_KEYS)
