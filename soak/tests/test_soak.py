"""A short, seeded soak run of the real processes."""

import asyncio

from soak.run import soak_once

SEED = 1
LENGTH_S = 6.0


def test_a_short_soak_keeps_every_promise(tmp_path):
    soak = asyncio.run(soak_once(SEED, LENGTH_S, tmp_path))
    assert (tmp_path / "violations.txt").read_text() == ""
    assert soak.seen.queries
    assert soak.seen.stops
