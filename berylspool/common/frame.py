"""Frames between the system's own processes.

A frame is a four-byte big-endian length and a msgpack array of messages.
Each message is `[tag, fields]`, where the tag is the name of a data class
and the fields are a map.  Every decoded message is validated, so nothing
malformed reaches a decision.
"""

import dataclasses
import struct
from collections.abc import Iterable
from typing import Any

import msgpack
from pydantic import TypeAdapter, ValidationError

from berylspool.exception import FrameError, FrameTooLargeError

__all__ = ["Codec", "HEADER_BYTES", "MAX_FRAME_BYTES"]

HEADER_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024
HEADER = struct.Struct(">I")


class Codec:
    """Encodes and decodes the message classes that it was given.

    Args:
        classes: Data classes that may travel, each with a unique name.

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

    def encode(self, messages: Iterable[Any]) -> bytes:
        """Encode messages as one frame.

        Raises:
            FrameTooLargeError: The frame is over `MAX_FRAME_BYTES`.
        """
        body = msgpack.packb(
            [[type(message).__name__, message] for message in messages],
            default=fields_of,
        )
        if len(body) > MAX_FRAME_BYTES:
            raise FrameTooLargeError(f"frame of {len(body)} bytes")
        return HEADER.pack(len(body)) + body

    def decode(self, body: bytes) -> list[Any]:
        """Decode the body of a frame.

        Args:
            body: The frame without its length.

        Returns:
            The messages in order.

        Raises:
            FrameError: The body is not msgpack, a tag is unknown, or a
                field is missing or of the wrong type.
        """
        try:
            items = msgpack.unpackb(body, strict_map_key=False)
            return [
                self._adapter(tag).validate_python(fields)
                for tag, fields in items
            ]
        except ValidationError as error:
            raise FrameError(f"invalid message: {error}") from error
        except (ValueError, TypeError, KeyError) as error:
            raise FrameError(f"malformed frame: {error!r}") from error
        except msgpack.UnpackException as error:
            raise FrameError(f"malformed frame: {error!r}") from error

    def _adapter(self, tag: str) -> TypeAdapter[Any]:
        """Return the validator of a message, made on its first use.

        Making all of them takes a tenth of a second, which a process that
        starts does not have.
        """
        adapter = self._adapter_by_tag.get(tag)
        if adapter is None:
            adapter = TypeAdapter(self._class_by_tag[tag])
            self._adapter_by_tag[tag] = adapter
        return adapter


def frame_length(header: bytes) -> int:
    """Return the body length that a frame header names.

    Raises:
        FrameTooLargeError: The length is over `MAX_FRAME_BYTES`.
    """
    (length,) = HEADER.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise FrameTooLargeError(f"frame of {length} bytes")
    return length


def fields_of(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return {
            field.name: getattr(value, field.name)
            for field in dataclasses.fields(value)
        }
    if isinstance(value, set | frozenset):
        return sorted(value)
    raise TypeError(f"cannot encode {type(value).__name__}")
