"""A short, seeded soak run of the real processes."""

import asyncio

from soak.run import run_seed

SEED = 1
LENGTH_S = 6.0


def test_short_soak_has_no_violations(tmp_path):
    soak_run = asyncio.run(run_seed(SEED, LENGTH_S, tmp_path))
    assert (tmp_path / "violations.txt").read_text() == ""
    assert soak_run.history.queries
    assert soak_run.history.interruptions
