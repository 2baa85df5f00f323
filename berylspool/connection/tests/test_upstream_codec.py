"""Decoding of what native upstreams say of themselves."""

import pytest

from berylspool.connection.upstream_codec import decode_notice
from berylspool.version.pool.message import UpstreamNotice


@pytest.mark.parametrize(
    ("status", "headers", "notice"),
    [
        (200, {}, None),
        (200, {"Leaving": "true"}, UpstreamNotice(is_leaving=True)),
        (200, {"Pause-S": "2"}, None),
        (503, {"Pause-S": "2.5"}, UpstreamNotice(pause_s=2.5)),
        (503, {"Pause-S": "-2"}, UpstreamNotice(unusable_pause="-2")),
        (
            503,
            {"Leaving": "true", "Pause-S": "0"},
            UpstreamNotice(is_leaving=True, pause_s=0.0),
        ),
    ],
)
def test_notice_is_decoded(status, headers, notice):
    assert decode_notice(status, headers) == notice
