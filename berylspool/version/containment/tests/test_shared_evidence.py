"""Requests that crash upstreams at many entries, without a network."""

import itertools
import random

import pytest

from berylspool.version.containment import shared_evidence
from berylspool.version.containment.evidence import EvidenceReport, LostCopy
from berylspool.version.containment.shared_evidence import (
    TRIAL_WAITS_S,
    SharedEvidence,
    add_convicted,
    add_reports,
    expire,
    make_holds,
)
from berylspool.version.containment.tests.simulated_entries import Deployment

ALLOWED_RETRIES = 3


def in_turn(entries, _random):
    return itertools.cycle(entries)


def at_random(entries, source):
    while True:
        yield source.choice(entries)


def without_repeats(entries, source):
    while True:
        yield from source.sample(entries, len(entries))


@pytest.mark.parametrize("order", [in_turn, at_random, without_repeats])
@pytest.mark.parametrize("gap_s", [0.5, 3.0, 6.0, 20.0])
@pytest.mark.parametrize("entries", [1, 9, 78])
def test_crasher_is_held_at_all_entries(order, gap_s, entries):
    """Guards against a budget of two upstreams at each entry (review/7)."""
    deployment = Deployment(entries)
    places = order(deployment.entries, random.Random(7))
    for _ in range(40):
        deployment.send(next(places), "f", crashes=True)
        deployment.advance(gap_s)
    assert deployment.late_retries("f") <= ALLOWED_RETRIES
    assert len(deployment.crashes) <= 12


def test_trial_that_fails_as_the_leader_changes_counts():
    """Guards against a new leader that gives the same trial again."""
    deployment = Deployment(3)
    for _ in range(2):
        deployment.send(deployment.entries[0], "f", crashes=True)
        deployment.advance(3.0)
    before = len(deployment.crashes)
    deployment.send(deployment.entries[1], "f", crashes=True)
    deployment.elect()
    deployment.advance(3.0)
    for entry in deployment.entries:
        deployment.send(entry, "f", crashes=True)
    assert len(deployment.crashes) == before + 1


@pytest.mark.parametrize("seed", range(20))
def test_crashers_are_held_despite_lost_reports_and_new_leaders(seed):
    deployment = Deployment(9, seed, loss_share=0.2)
    source = random.Random(seed)
    for number in range(60):
        deployment.send(source.choice(deployment.entries), "f", crashes=True)
        if number % 10 == 9:
            # Before the entry has reported what the request has crashed.
            deployment.elect()
        deployment.advance(3.0)
    assert deployment.late_retries("f") <= ALLOWED_RETRIES


def test_two_crashers_at_once_are_both_held():
    deployment = Deployment(9)
    for number in range(28):
        entry = deployment.entries[number % 9]
        deployment.send(entry, f"f{number % 2}", crashes=True)
        deployment.advance(1.5)
    for fingerprint in ("f0", "f1"):
        assert deployment.late_retries(fingerprint) <= ALLOWED_RETRIES
    assert len(deployment.crashes) <= 14


def test_crasher_sent_by_many_clients_at_once_is_held():
    deployment = Deployment(9)
    for _ in range(10):
        for entry in deployment.entries:
            deployment.send(entry, "f", crashes=True)
        deployment.advance(6.0)
    assert deployment.late_retries("f") <= ALLOWED_RETRIES


def test_crasher_is_found_among_innocents_of_the_same_upstreams():
    """Guards against innocents that are held for the crasher's losses."""
    deployment = Deployment(9)
    numbers = itertools.count()
    for number in range(14):
        entry = deployment.entries[number % 9]
        before = len(deployment.crashes)
        deployment.send(entry, "f", crashes=True)
        for crash in range(before, len(deployment.crashes)):
            for other in deployment.entries[:5]:
                lost_at = deployment.crashes[crash]
                innocent = f"g{next(numbers)}"
                upstream = f"u{crash}"
                sent_at = lost_at - 0.1
                deployment.lose(other, innocent, lost_at, upstream, sent_at)
        deployment.advance(3.0)
    assert list(deployment.shared.held) == ["f"]
    assert deployment.late_retries("f") <= ALLOWED_RETRIES


def lose_all_upstreams(deployment, fingerprint):
    """Lose 18 upstreams at one moment, each with a copy of the request."""
    for number in range(18):
        entry = deployment.entries[number % len(deployment.entries)]
        deployment.lose(entry, fingerprint, deployment.now, f"u-{number}")


def test_outage_holds_no_request():
    """Guards against a notice board refused for minutes after an outage."""
    deployment = Deployment(9)
    lose_all_upstreams(deployment, "board")
    deployment.advance(5.0)
    assert all(deployment.send(entry, "board") for entry in deployment.entries)
    assert not deployment.refused


def test_held_innocent_is_tried_once_and_released_everywhere():
    deployment = Deployment(9)
    for _ in range(3):
        lose_all_upstreams(deployment, "board")
        for entry in deployment.entries:
            entry.evidence.record_by_fingerprint.clear()
        deployment.advance(1.0)
        deployment.next_upstream = itertools.count(1000)
    for number in range(3):
        entry = deployment.entries[number]
        deployment.lose(entry, "board", deployment.now, f"v{number}")
        deployment.advance(1.0)
    assert "board" in deployment.shared.held
    first, *others = deployment.entries
    assert deployment.send(first, "board")
    deployment.advance(0.5)
    assert all(deployment.send(entry, "board") for entry in others)


def test_answer_at_one_entry_clears_the_losses_of_others():
    deployment = Deployment(3)
    a, b, c = deployment.entries
    deployment.lose(a, "f", 0.0)
    deployment.lose(b, "f", 0.1)
    deployment.advance(1.0)
    assert "f" in deployment.shared.watched
    deployment.send(c, "f")
    deployment.advance(1.0)
    deployment.lose(a, "f", deployment.now)
    deployment.advance(1.0)
    assert not deployment.shared.held and not deployment.shared.watched


def test_trials_fail_ever_more_rarely_and_survive_a_new_leader():
    deployment = Deployment(9)
    for _ in range(3):
        deployment.send(deployment.entries[0], "f", crashes=True)
        deployment.advance(1.0)
    before = len(deployment.crashes)
    for number in range(600):
        if number % 60 == 30:
            deployment.elect()
        entry = deployment.entries[number % 9]
        deployment.send(entry, "f", crashes=True)
        deployment.advance(2.0)
    # Twenty minutes, of which each trial waits for its part.
    assert len(deployment.crashes) - before <= len(TRIAL_WAITS_S)
    assert deployment.late_retries("f") <= ALLOWED_RETRIES


def test_unused_trial_is_given_to_another_entry():
    deployment = Deployment(2)
    a, b = deployment.entries
    for _ in range(2):
        deployment.send(a, "f", crashes=True)
        deployment.advance(1.0)
    assert deployment.beat(a, ("f",)) == ("f",)
    assert deployment.beat(b, ("f",)) == ()
    deployment.advance(11.0)
    assert deployment.beat(b, ("f",)) == ("f",)


REPORTS = [
    EvidenceReport("f", (LostCopy("u0", 0.0, 0.1),)),
    EvidenceReport("f", (LostCopy("u1", 0.2, 0.3),)),
    EvidenceReport("f", (LostCopy("u2", 0.4, 0.5),)),
    EvidenceReport("f", (LostCopy("u1", 0.2, 0.3), LostCopy("u3", 1.0, 1.1))),
]
REPLY = EvidenceReport("f", replied_at=0.2)


@pytest.mark.parametrize("reply", [(), (REPLY,)])
def test_order_and_repetition_of_reports_do_not_matter(reply):
    for reports in itertools.permutations([*REPORTS, *reply]):
        evidence = SharedEvidence(1)
        add_reports(evidence, reports, 10.0)
        add_reports(evidence, reversed(reports), 10.0)
        assert list(evidence.held) == ["f"]


def test_answer_outlasts_losses_that_arrive_later():
    answer = EvidenceReport("f", replied_at=0.45, answered_at=0.45)
    for reports in itertools.permutations([*REPORTS, answer]):
        evidence = SharedEvidence(1)
        add_reports(evidence, reports, 10.0)
        assert not evidence.held


def test_conviction_of_an_earlier_build_is_held_until_a_reply():
    evidence = SharedEvidence(1)
    add_convicted(evidence, ("f",), 5.0)
    assert [held.fingerprint for held in make_holds(evidence, 6.0).held] == [
        "f"
    ]
    add_reports(evidence, [EvidenceReport("f", replied_at=7.0)], 0.0)
    add_convicted(evidence, ("f",), 8.0)
    assert not make_holds(evidence, 8.0).held


def test_full_table_keeps_what_is_held(monkeypatch):
    monkeypatch.setattr(shared_evidence, "MAX_FINGERPRINTS", 400)
    evidence = SharedEvidence(1)
    add_reports(evidence, REPORTS, 0.0)
    for number in range(2000):
        loss = LostCopy("u9", 5.0, 5.0 + number)
        add_reports(evidence, [EvidenceReport(f"g{number}", (loss,))], 0.0)
    assert len(evidence.record_by_fingerprint) <= 400
    assert list(evidence.held) == ["f"]


def test_request_that_is_not_sent_again_is_watched_for_a_while():
    evidence = SharedEvidence(1)
    add_reports(evidence, REPORTS[:2], 0.0)
    expire(evidence, 30.0)
    assert make_holds(evidence, 30.0).watched == ("f",)
    expire(evidence, 90.0)
    assert not make_holds(evidence, 90.0).watched
    add_reports(evidence, REPORTS[2:3], 100.0)
    assert list(evidence.held) == ["f"]


def test_old_evidence_is_forgotten():
    evidence = SharedEvidence(1)
    add_reports(evidence, REPORTS[:2], 0.0)
    expire(evidence, 300.0)
    assert evidence.record_by_fingerprint
    expire(evidence, 700.0)
    assert not evidence.watched and not evidence.record_by_fingerprint
