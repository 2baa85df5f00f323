"""Data class of a request to forward, as decoded by its front end."""

from dataclasses import dataclass, field

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
        headers: End-to-end headers as the caller sent them.
        body: Complete body.
        deadline_s: Time that the caller waits for an answer, in seconds;
            None if it states none.
        api_keys: API keys that the caller sent, one for each header.
        anonymous_headers: The same headers without those that state a key or
            name a customer; None if there are no such headers.
    """

    id: str
    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    body: bytes
    deadline_s: float | None
    api_keys: tuple[str, ...] = field(default=(), repr=False)
    anonymous_headers: tuple[tuple[str, str], ...] | None = field(
        default=None, repr=False
    )
