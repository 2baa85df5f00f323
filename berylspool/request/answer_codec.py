"""Encoding of answers that the ledger records to replay to resent requests."""

import msgpack
from pydantic import TypeAdapter

from berylspool.common.frame import msgpack_default
from berylspool.request.query import Answer

__all__ = ["decode_answer", "encode_answer"]

ANSWER_ADAPTER = TypeAdapter(Answer)


def encode_answer(answer: Answer) -> bytes:
    """Encode an answer as MessagePack.

    Examples:
        >>> from berylspool.request.query import Coverage, Snapshot
        >>> answer = Answer("r", Snapshot("v1", 1), (7,), Coverage(1, 1), 1)
        >>> decode_answer(encode_answer(answer)) == answer
        True
    """
    return msgpack.packb(answer, default=msgpack_default)


def decode_answer(body: bytes) -> Answer:
    """Decode an answer encoded by `encode_answer`."""
    fields = msgpack.unpackb(body, strict_map_key=False)
    return ANSWER_ADAPTER.validate_python(fields)
