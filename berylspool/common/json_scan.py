"""Splits JSON text into the texts of its members, without decoding them.

A decoder rejects a document as a whole for one value that it cannot represent:
one nested too deeply, a number out of range, or a string that is not Unicode.
Split first, the other members can still be decoded.
"""

import re

from berylspool.exception import ProtocolError

__all__ = ["split_array", "split_object"]

# A string as a whole, or one character that structures arrays and objects.
TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["{}\[\],:]', re.DOTALL)
DEPTH_CHANGE_BY_TOKEN = {b"{": 1, b"[": 1, b"}": -1, b"]": -1}


def split_array(text: bytes) -> list[bytes]:
    """Return the text of each element of a JSON array.

    Raises:
        ProtocolError: The text is no array whose brackets match.

    Examples:
        >>> split_array(b'[1, {"a": [2, 3]}, "x, y"]')
        [b'1', b'{"a": [2, 3]}', b'"x, y"']
    """
    elements = _split(text, b"[", b"]", b",")
    return [element for element in elements if element or len(elements) > 1]


def split_object(text: bytes) -> dict[bytes, bytes]:
    """Return the text of each member of a JSON object, by the name as written.

    Raises:
        ProtocolError: The text is no object whose brackets match.

    Examples:
        >>> split_object(b'{"a": {"b": 1}, "c": null}')
        {b'"a"': b'{"b": 1}', b'"c"': b'null'}
    """
    member_by_name: dict[bytes, bytes] = {}
    for member in _split(text, b"{", b"}", b","):
        name = TOKEN.match(member)
        if name is not None:
            value = member[name.end() :].lstrip().removeprefix(b":")
            member_by_name[name.group()] = value.strip()
    return member_by_name


def _split(
    text: bytes, opening: bytes, closing: bytes, separator: bytes
) -> list[bytes]:
    """Split the content of a bracketed text at the separators in it."""
    text = text.strip()
    if not (text.startswith(opening) and text.endswith(closing)):
        raise ProtocolError("JSON text has no matching brackets")
    parts: list[bytes] = []
    depth, start = 0, 1
    for token in TOKEN.finditer(text):
        depth += DEPTH_CHANGE_BY_TOKEN.get(token.group(), 0)
        if depth == 0 and token.end() != len(text):
            raise ProtocolError("JSON text goes on after its last bracket")
        if depth == 1 and token.group() == separator:
            parts.append(text[start : token.start()].strip())
            start = token.end()
    if depth != 0:
        raise ProtocolError("JSON text has no matching brackets")
    return [*parts, text[start:-1].strip()]
