"""Passes over the tests that KNOWN-RED.txt lists as failing.

An entry that begins with the id of a test marks that test as an expected
failure, and a listed test that passes is an error.  If the word `sometimes`
follows the id, the test may also pass.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    """Mark the listed tests as expected failures."""
    entries = [
        line.split()
        for line in KNOWN_RED.read_text().splitlines()
        if line and not line.startswith(" ")
    ]
    is_strict_by_id = {id: words[:1] != ["sometimes"] for id, *words in entries}
    for item in items:
        if item.nodeid in is_strict_by_id:
            is_strict = is_strict_by_id[item.nodeid]
            item.add_marker(pytest.mark.xfail(strict=is_strict))
