"""Valid and invalid configurations of the operator."""

import orjson
import pytest

from berylspool.exception import ConfigurationError
from berylspool.platform.document import (
    decode_plan,
    pack_document,
    read_document,
    unpack_document,
)
from berylspool.version.forwarding import CallerLimits, find_route


def make_configuration(version=7, **changes):
    data = {
        "version": version,
        "routes": [
            {
                "name": "wide",
                "host": "h.example",
                "path-prefix": "/a/",
                "route-type": "idempotent",
                "timeout-ms": 1500,
                "target-latency-ms": 118,
                "priority": 1,
                "fanout-services": ["s1", "s2"],
                "max-attempts": 2,
                "top-k": 10,
                "min-shard-ratio": 0.5,
            },
            {
                "name": "deep",
                "host": "h.example",
                "path-prefix": "/a/b/",
                "route-type": "non_idempotent",
                "timeout-ms": 6000,
                "service": "s1",
            },
        ],
        "services": [
            {"name": "s1", "max-connections": 26, "warmup-per-s": 0.0},
            {"name": "s2", "max-connections": 26, "new-field": 1},
        ],
        "limits": {"max-body-bytes": 262144},
    }
    data.update(changes)
    return orjson.dumps(data)


def test_document_keeps_its_text_and_decodes_to_the_same_plan():
    text = make_configuration()
    document, plan = read_document(text)
    assert document.number == plan.number == 7
    assert unpack_document(document) == text
    assert decode_plan(document) == plan


def test_longest_prefix_wins():
    _, plan = read_document(make_configuration())
    assert find_route(plan, "h.example", "/a/b/c").name == "deep"
    assert find_route(plan, "h.example", "/a/c").name == "wide"
    assert find_route(plan, "other.example", "/a/c") is None


def test_route_types_and_times_are_decoded():
    _, plan = read_document(make_configuration())
    deep, wide = plan.routes_by_host["h.example"]
    assert not deep.is_idempotent and not deep.is_fan_out
    assert wide.is_idempotent and wide.max_records == 10
    assert wide.timeout_s == 1.5 and wide.target_latency_s == 0.118


def change_first_route(route_changes):
    data = orjson.loads(make_configuration())
    data["routes"][0].update(route_changes)
    return orjson.dumps(data)


@pytest.mark.parametrize(
    "text",
    [
        make_configuration()[:-20],
        b"[]",
        change_first_route({"fanout-services": ["ghost"]}),
        change_first_route({"path-prefix": "/a/b/"}),
        change_first_route({"timeout-ms": 0}),
        change_first_route(
            {
                "fanout-services": [],
                "traffic-split": [{"service": "s1", "weight": 0}],
            }
        ),
        change_first_route({"fanout-services": []}),
    ],
    ids=[
        "cut_short",
        "not_a_configuration",
        "unknown_service",
        "two_routes_at_one_place",
        "no_timeout",
        "no_weight",
        "no_service",
    ],
)
def test_invalid_configuration_raises_error(text):
    with pytest.raises(ConfigurationError):
        read_document(text)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("timeout-ms", 1e300),
        ("timeout-ms", -1),
        ("target-latency-ms", -5),
        ("priority", -1),
        ("min-shard-ratio", 1.5),
        ("min-shard-ratio", -0.1),
    ],
)
def test_number_out_of_range_is_refused(field, value):
    data = orjson.loads(make_configuration())
    data["routes"][0][field] = value
    with pytest.raises(ConfigurationError):
        read_document(orjson.dumps(data))


@pytest.mark.parametrize("field", ["max-connections", "warmup-s"])
def test_negative_number_of_a_service_is_refused(field):
    data = orjson.loads(make_configuration())
    data["services"][0][field] = -1
    with pytest.raises(ConfigurationError):
        read_document(orjson.dumps(data))


def test_document_that_an_earlier_build_accepted_is_still_decoded():
    data = orjson.loads(make_configuration())
    data["routes"][0]["target-latency-ms"] = -5
    document = pack_document(7, orjson.dumps(data))
    assert decode_plan(document).number == 7


def test_limits_of_callers_are_decoded_and_have_defaults():
    """A plan without them would refuse what was served before."""
    document = make_configuration(
        limits={"max-body-bytes": 262_144, "header-timeout-ms": 3000}
    )
    limits = decode_plan(read_document(document)[0]).caller_limits
    default = CallerLimits()
    assert limits == CallerLimits(
        default.max_head_bytes, 262_144, 3.0, default.idle_timeout_s
    )


@pytest.mark.parametrize("value", [-1, "x", 10**12])
def test_unusable_limit_of_callers_is_refused(value):
    """One that an earlier build accepted unread must not stop an entry."""
    text = make_configuration(limits={"max-body-bytes": value})
    with pytest.raises(ConfigurationError):
        read_document(text)
    stored = decode_plan(pack_document(7, text))
    assert stored.number == 7 and stored.caller_limits == CallerLimits()
