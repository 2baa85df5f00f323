"""Wide requests divided among the entries of a zone, over sockets."""

from berylspool.platform.tests.test_forwarding import make_records
from berylspool.platform.tests.zone import SERVICES, run_zone
from berylspool.request.query import Answer

ALL_RECORDS = make_records(*range(45))


def assert_whole(answer):
    assert isinstance(answer, Answer)
    assert answer.coverage.is_whole
    assert sorted(answer.rows) == sorted(
        ALL_RECORDS[start : start + 16]
        for start in range(0, len(ALL_RECORDS), 16)
    )


def test_parts_run_at_helpers_and_their_results_are_merged():
    async def scenario(zone):
        answers = [await zone.ask("e1", f"r{number}") for number in range(3)]
        names = [name for name in zone.entry_by_name if zone.accepted(name)]
        return zone, answers, names

    zone, answers, names = run_zone(scenario)
    for answer in answers:
        assert_whole(answer)
        assert len(answer.stamps) == len(SERVICES)
    assert zone.upstreams.most_copies("r2") == 1
    assert len(names) >= 2


def test_all_entries_choose_the_same_helpers():
    async def scenario(zone):
        for name in list(zone.entry_by_name):
            assert_whole(await zone.ask(name, f"r-{name}"))
        return {name: zone.accepted(name) for name in zone.entry_by_name}

    accepted = run_zone(scenario)
    # Three slices, four entries: a helper runs its slice for three others.
    assert sorted(accepted.values()) == [0, 3, 3, 3]
