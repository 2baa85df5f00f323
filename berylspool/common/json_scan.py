"""Finds the objects in JSON text of which other parts cannot be read.

A decoder rejects a document as a whole for one value that it cannot represent
(nested too deeply, out of range, not Unicode) or that is cut.  Each object that
is whole can still be decoded on its own.
"""

import re
from dataclasses import dataclass

from berylspool.exception import ProtocolError

__all__ = ["FoundObject", "find_objects"]

# A string that ends where one may end, or one character that structures arrays
# and objects.  A quote that begins no such string shows that one was cut.
TOKEN = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"(?=\s*[:,\]}])|["{}\[\]]', re.DOTALL
)
CLOSING_BY_OPENING = {b"{": b"}", b"[": b"]"}
CLOSINGS = frozenset(CLOSING_BY_OPENING.values())
# Each start that belongs to no whole object may cost a scan of the whole rest.
MAX_UNFINISHED = 100


@dataclass(frozen=True, slots=True)
class FoundObject:
    """A whole object in a text.

    Attributes:
        start: Position of its first byte.
        end: Position after its last byte.
    """

    start: int
    end: int


def find_objects(text: bytes) -> list[FoundObject]:
    """Return the outermost whole objects in a text, in order.

    An object that is cut takes no other with it: the search goes on at the next
    opening brace, whatever quotes and brackets are open.

    Raises:
        ProtocolError: Too many objects are not whole.

    Examples:
        >>> text = b'[{"a": [1, {}]}, {"b": "c, {"d": "}"}, 7]'
        >>> [text[found.start : found.end] for found in find_objects(text)]
        [b'{"a": [1, {}]}', b'{"d": "}"}']
    """
    found_objects: list[FoundObject] = []
    unfinished_count = 0
    start = text.find(b"{")
    while start >= 0:
        end = _find_end(text, start)
        if end is not None:
            found_objects.append(FoundObject(start, end))
            start = text.find(b"{", end)
            continue
        unfinished_count += 1
        if unfinished_count > MAX_UNFINISHED:
            raise ProtocolError("JSON text has too many objects without end")
        start = text.find(b"{", start + 1)
    return found_objects


def _find_end(text: bytes, start: int) -> int | None:
    """Return the position after an object, or None if it is not whole."""
    expected_closings: list[bytes] = []
    for match in TOKEN.finditer(text, start):
        token = match.group()
        if token == b'"':
            return None
        if token in CLOSING_BY_OPENING:
            is_in_object = expected_closings[-1:] == [b"}"]
            if is_in_object and _last_byte(text, match.start()) != b":":
                # Another object follows in place of a name.
                return None
            expected_closings.append(CLOSING_BY_OPENING[token])
        elif token in CLOSINGS:
            if token != expected_closings.pop():
                return None
            if not expected_closings:
                return match.end()
    return None


def _last_byte(text: bytes, end: int) -> bytes:
    """Return the last byte before a position that is no white space."""
    while text[end - 1 : end].isspace():
        end -= 1
    return text[end - 1 : end]
