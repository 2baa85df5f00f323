"""Encoding of recorded answers, which a resend gets again."""

import msgpack
from pydantic import TypeAdapter

from berylspool.common.frame import fields_of
from berylspool.request.query import Answer

__all__ = ["decode_answer", "encode_answer"]

ANSWERS = TypeAdapter(Answer)


def encode_answer(answer: Answer) -> bytes:
    """Encode an answer.

    Examples:
        >>> from berylspool.request.query import Coverage, Snapshot
        >>> answer = Answer("r", Snapshot("v1", 1), (7,), Coverage(1, 1), 1)
        >>> decode_answer(encode_answer(answer)) == answer
        True
    """
    return msgpack.packb(answer, default=fields_of)


def decode_answer(body: bytes) -> Answer:
    """Decode an answer that `encode_answer` has encoded."""
    data = msgpack.unpackb(body, strict_map_key=False)
    return ANSWERS.validate_python(data)
