"""Decoding of the list of upstreams, with invalid entries and pages."""

import orjson
import pytest

from berylspool.exception import ProtocolError
from berylspool.platform.discovery import decode_page
from berylspool.version.configuration import UpstreamState

VALID_ENTRY = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup-left-ms": 0,
    "id": "i-1",
}


def encode_page(*entries, token=None):
    return orjson.dumps({"instances": entries, "next-page-token": token})


def test_page_gives_entries_and_next_token():
    leaving = {**VALID_ENTRY, "id": "i-2", "state": "draining"}
    listed_upstreams, skipped_descriptions, token = decode_page(
        encode_page(VALID_ENTRY, leaving, token="p-50")
    )
    assert [listed.upstream.id for listed in listed_upstreams] == ["i-1", "i-2"]
    assert listed_upstreams[1].upstream.state is UpstreamState.LEAVING
    assert (
        listed_upstreams[0].upstream.port == 8080
        and listed_upstreams[0].slots == 2
    )
    assert not skipped_descriptions and token == "p-50"


@pytest.mark.parametrize(
    "entry",
    [
        {**VALID_ENTRY, "slots": "two"},
        {**VALID_ENTRY, "state": "sleeping"},
        {**VALID_ENTRY, "address": "nowhere"},
        {**VALID_ENTRY, "id": 7},
        {"id": "i-3"},
        17,
        None,
    ],
)
def test_invalid_entry_is_skipped(entry):
    listed_upstreams, skipped_descriptions, token = decode_page(
        encode_page(entry, VALID_ENTRY)
    )
    assert [listed.upstream.id for listed in listed_upstreams] == ["i-1"]
    assert len(skipped_descriptions) == 1 and token is None


@pytest.mark.parametrize("body", [b"{", b"[]", b'{"instances": 1}', b"{}"])
def test_invalid_page_raises_error(body):
    with pytest.raises(ProtocolError):
        decode_page(body)
