"""A response of an upstream while it is received."""

from collections.abc import Sequence
from dataclasses import dataclass, field

__all__ = ["OPTIONAL_WHITESPACE", "Response", "to_key"]

# Around the value of a header, but no part of it (RFC 9112, section 5).
OPTIONAL_WHITESPACE = b" \t"
STATUSES_WITHOUT_BODY = frozenset({204, 304})


def to_key(name: str) -> bytes:
    """Return the name of a header as responses are indexed by it.

    Examples:
        >>> to_key("Keep-Alive")
        b'keep-alive'
    """
    return name.lower().encode("latin-1")


@dataclass(slots=True)
class Response:
    """An HTTP response while it is received.

    Attributes:
        status: HTTP status; 0 until it is known.
        echoed_id: Id of the request that it states; empty if it states none.
        reason_phrase: Text after the status.
        raw_headers: Headers in the order received, with blanks around values.
        value_by_name: Last value of each header, by lower-case name; filled
            once the head is complete.
        body: The body received so far.
        is_kept: Whether its body is kept.
    """

    status: int = 0
    echoed_id: str = ""
    reason_phrase: bytes = b""
    raw_headers: Sequence[tuple[bytes, bytes]] = ()
    value_by_name: dict[bytes, bytes] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    is_kept: bool = True

    def get(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return self.get_by_key(to_key(name))

    def get_by_key(self, key: bytes) -> str:
        """Return the value of a header by its `to_key`, or an empty string."""
        value = self.value_by_name.get(key)
        return value.decode("latin-1") if value else ""

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """Headers in the order received, as bytes."""
        return [
            (name, value.strip(OPTIONAL_WHITESPACE))
            for name, value in self.raw_headers
        ]

    @property
    def has_length(self) -> bool:
        """Whether the response itself marks the end of its body."""
        return (
            b"content-length" in self.value_by_name
            or b"transfer-encoding" in self.value_by_name
            or self.status in STATUSES_WITHOUT_BODY
        )
