"""Encoding of the frames exchanged between berylspool processes.

A frame is a four-byte big-endian length followed by a msgpack array of
messages.  Each message is `[tag, fields]`, where the tag is the name of a
data class and the fields are a map.  Every decoded message is validated, so
no malformed message reaches the code that makes decisions.
"""

import dataclasses
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgpack
from pydantic import TypeAdapter, ValidationError

from berylspool.exception import FrameError, FrameTooLargeError

__all__ = ["HEADER_BYTES", "MAX_FRAME_BYTES", "Codec", "Packed"]

HEADER_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024
# A byte of a frame may become an object of 64 bytes. Bodies up to the first
# length are small whatever they hold; longer ones are mostly opaque bytes, and
# hold no more than this number of items.
MAX_UNCOUNTED_BYTES = 64 * 1024
MAX_ITEMS = 1_000_000
LENGTH_PREFIX = struct.Struct(">I")
PACKED_TAG = "Packed"


@dataclass(frozen=True, slots=True)
class Packed:
    """Messages that are encoded and compressed once, for any number of peers.

    Attributes:
        body: Compressed body of a frame with the messages.
    """

    body: bytes


class Codec:
    """Encodes and decodes messages of a fixed set of data classes.

    The messages in a `Packed` are decoded as if they had been sent one by one.

    Args:
        classes: Data classes of the messages, each with a unique name.

    Examples:
        >>> from berylspool.request.query import Snapshot
        >>> codec = Codec([Snapshot])
        >>> frame = codec.encode([Snapshot("v1", 2)])
        >>> codec.decode(frame[HEADER_BYTES:])
        [Snapshot(version='v1', partition=2)]
    """

    def __init__(self, classes: Iterable[type]) -> None:
        self._class_by_tag = {cls.__name__: cls for cls in classes}
        self._adapter_by_tag: dict[str, TypeAdapter[Any]] = {}

    def prepare(self) -> None:
        """Create all validators, which the first messages would wait for."""
        for tag in self._class_by_tag:
            self._adapter(tag)

    def encode(self, messages: Iterable[Any]) -> bytes:
        """Encode messages as one frame.

        Raises:
            FrameTooLargeError: The body exceeds `MAX_FRAME_BYTES`.
        """
        body = msgpack.packb(
            [[type(message).__name__, message] for message in messages],
            default=msgpack_default,
        )
        if len(body) > MAX_FRAME_BYTES:
            raise FrameTooLargeError(
                f"frame of {len(body)} bytes exceeds {MAX_FRAME_BYTES}"
            )
        return LENGTH_PREFIX.pack(len(body)) + body

    def pack(self, messages: Iterable[Any]) -> Packed:
        """Encode and compress messages that are sent to several peers.

        Raises:
            FrameTooLargeError: The encoded messages exceed `MAX_FRAME_BYTES`.
        """
        return Packed(zlib.compress(self.encode(messages)[HEADER_BYTES:]))

    def decode(self, body: bytes) -> list[Any]:
        """Decode the body of a frame.

        Args:
            body: The frame without its length prefix.

        Returns:
            The messages in the order of the frame.

        Raises:
            FrameError: The body is not msgpack, a tag is unknown, or a
                field is missing or of the wrong type.
        """
        return self._decode_items(body, may_be_packed=True)

    def _decode_items(self, body: bytes, *, may_be_packed: bool) -> list[Any]:
        messages: list[Any] = []
        try:
            items = _unpack(body)
            for tag, fields in items:
                if tag == PACKED_TAG and may_be_packed:
                    inner_body = _decompress(fields["body"])
                    messages += self._decode_items(
                        inner_body, may_be_packed=False
                    )
                else:
                    messages.append(self._adapter(tag).validate_python(fields))
            return messages
        except ValidationError as error:
            # Without the values: a frame may carry API keys.
            details = error.errors(
                include_input=False, include_url=False, include_context=False
            )
            raise FrameError(f"invalid message: {details}") from None
        except (ValueError, TypeError, KeyError) as error:
            name = type(error).__name__
            raise FrameError(f"malformed frame: {name}") from None
        except (msgpack.UnpackException, zlib.error) as error:
            name = type(error).__name__
            raise FrameError(f"malformed frame: {name}") from None

    def _adapter(self, tag: str) -> TypeAdapter[Any]:
        """Return the validator of a message class, created on first use.

        Creating all validators at once would add 0.1 s to the start-up of a
        process.
        """
        adapter = self._adapter_by_tag.get(tag)
        if adapter is None:
            adapter = TypeAdapter(self._class_by_tag[tag])
            self._adapter_by_tag[tag] = adapter
        return adapter


def _unpack(body: bytes) -> Any:
    """Decode msgpack; a long body may not hold very many items.

    Raises:
        ValueError: It is not msgpack, or holds more than `MAX_ITEMS`.
        msgpack.UnpackException: It is not msgpack.
    """
    if len(body) <= MAX_UNCOUNTED_BYTES:
        return msgpack.unpackb(body, strict_map_key=False)
    count = 0

    def count_items(container: Any) -> Any:
        nonlocal count
        count += 1 + len(container)
        if count > MAX_ITEMS:
            raise ValueError(f"more than {MAX_ITEMS} items")
        return container

    return msgpack.unpackb(
        body,
        strict_map_key=False,
        list_hook=count_items,
        object_hook=count_items,
        max_array_len=MAX_ITEMS,
        max_map_len=MAX_ITEMS,
    )


def _decompress(data: bytes) -> bytes:
    """Decompress the body of a `Packed`.

    Raises:
        FrameError: The data ends early, or holds more than `MAX_FRAME_BYTES`.
        zlib.error: The data is not compressed.
    """
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(data, MAX_FRAME_BYTES)
    if not decompressor.eof:
        raise FrameError(
            f"packed messages are cut or exceed {MAX_FRAME_BYTES} bytes"
        )
    return body


def frame_length(header: bytes) -> int:
    """Return the body length in bytes that a frame header declares.

    Raises:
        FrameTooLargeError: The length exceeds `MAX_FRAME_BYTES`.
    """
    (length,) = LENGTH_PREFIX.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise FrameTooLargeError(
            f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}"
        )
    return length


def msgpack_default(value: Any) -> Any:
    """Convert a data class or a set for msgpack, as its `default` hook.

    Raises:
        TypeError: The value is of another type.
    """
    if dataclasses.is_dataclass(value):
        return {
            field.name: getattr(value, field.name)
            for field in dataclasses.fields(value)
        }
    if isinstance(value, set | frozenset):
        return sorted(value)
    raise TypeError(f"cannot encode {type(value).__name__}")
