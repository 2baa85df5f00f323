"""The task that makes the calls of duties, so that control need not wait."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from berylspool.common.mailbox import Mailbox
from berylspool.exception import BerylspoolError
from berylspool.version.duty.schedule import CallOutcome, UsageCall

__all__ = ["CallEnded", "DutyClient", "run_calls"]

MAX_ERROR_LENGTH = 200


class DutyClient(Protocol):
    """Makes calls of duties to the platform."""

    async def report(
        self, call: UsageCall, may_send: Callable[[], bool]
    ) -> CallOutcome:
        """Report the usage of a window.

        Args:
            call: The report.
            may_send: Called just before the request is written; if it returns
                False, the outcome is `WITHHELD`.

        Raises:
            BerylspoolError: There was no response in time, or an unexpected
                one; the call may still be executed.
        """


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call has an outcome.

    Attributes:
        call: The call.
        outcome: Its outcome.
        error: Why it failed; empty unless it did.
    """

    call: UsageCall
    outcome: CallOutcome
    error: str = ""


async def run_calls(
    client: DutyClient,
    calls: Mailbox[UsageCall],
    inbox: Mailbox[Any],
    may_send: Callable[[UsageCall], bool],
) -> None:
    """Make calls one by one until the task is cancelled.

    Args:
        client: Makes a call.
        calls: Receives the calls.
        inbox: Inbox of the control task, which receives each outcome.
        may_send: Returns whether this node still holds the duty with the token
            of the call.
    """
    while True:
        for call in await calls.take():
            inbox.put(await _make_call(client, call, may_send))


async def _make_call(
    client: DutyClient,
    call: UsageCall,
    may_send: Callable[[UsageCall], bool],
) -> CallEnded:
    try:
        outcome = await client.report(call, lambda: may_send(call))
    except BerylspoolError as error:
        return CallEnded(call, CallOutcome.FAILED, str(error))
    except Exception as error:
        # Whatever one response holds, later windows have to be reported.
        text = repr(error)[:MAX_ERROR_LENGTH]
        return CallEnded(call, CallOutcome.FAILED, text)
    return CallEnded(call, outcome)
