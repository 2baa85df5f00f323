"""Messages between builds of which only one knows the fields of duties."""

import dataclasses

import pytest

from berylspool.common.frame import HEADER_BYTES, Codec
from berylspool.connection.control_message import (
    Grant,
    Heartbeat,
    make_control_codec,
)
from berylspool.connection.message import CHANGE_LEVEL, Hello, Member
from berylspool.version.duty.counting import WindowUsage

MESSAGES = [
    (Hello("a", change_level=CHANGE_LEVEL), "change_level"),
    (
        Heartbeat(
            Member("e", "127.0.0.1", 1),
            "b",
            1,
            0,
            False,
            1,
            0.5,
            usage=(WindowUsage(7, {"a": 1}),),
        ),
        "usage",
    ),
    (Grant(0.5, 2.0, 1, 1, usage_confirmed=3), "usage_confirmed"),
    (Grant(0.5, 2.0, 1, 1, trials=("f",)), "trials"),
]


def former_class(cls, new_field):
    """Return a class of the same name without a field."""
    fields = [
        (f.name, f.type, dataclasses.field(default=f.default))
        if f.default is not dataclasses.MISSING
        else (f.name, f.type)
        for f in dataclasses.fields(cls)
        if f.name != new_field
    ]
    return dataclasses.make_dataclass(cls.__name__, fields, frozen=True)


def without(message, new_field):
    fields = dataclasses.asdict(message)
    del fields[new_field]
    return fields


@pytest.mark.parametrize(("message", "new_field"), MESSAGES)
def test_earlier_build_reads_a_message_with_the_new_field(message, new_field):
    # Guards against links that close for each message during an upgrade.
    former_codec = Codec([former_class(type(message), new_field)])
    body = make_control_codec().encode([message])[HEADER_BYTES:]
    [decoded] = former_codec.decode(body)
    assert dataclasses.asdict(decoded) == without(message, new_field)


@pytest.mark.parametrize(("message", "new_field"), MESSAGES)
def test_message_of_an_earlier_build_has_no_duties(message, new_field):
    former = former_class(type(message), new_field)
    earlier = former(**without(message, new_field))
    body = Codec([former]).encode([earlier])[HEADER_BYTES:]
    [decoded] = make_control_codec().decode(body)
    assert not getattr(decoded, new_field)
