"""Data class of a request to forward, as decoded by its front end."""

from dataclasses import dataclass

__all__ = ["ForwardRequest"]


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Caller's request that is forwarded to an upstream.

    Attributes:
        id: Id that the caller assigned to this attempt.
        method: HTTP method.
        host: Host name, without a port, in lower case.
        path: Path without the query string.
        target: Path and query string, unchanged.
        headers: End-to-end headers.
        body: Complete body.
        deadline_s: Time that the caller waits for an answer, in seconds;
            None if it states none.
    """

    id: str
    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float | None
