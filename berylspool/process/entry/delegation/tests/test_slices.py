"""Decisions on slices: results, copies and helpers under random faults."""

from dataclasses import replace

import pytest

from berylspool.connection.message import (
    RunSlice,
    SliceAccepted,
    SliceDropped,
    SliceProbe,
    SliceRefused,
    SliceResults,
)
from berylspool.process.entry.delegation import slices as slices_module
from berylspool.process.entry.delegation.slice_message import (
    Deliver,
    HelperAnswered,
    HelperLinked,
    HelperLost,
    PartDropped,
    PartsAssigned,
    RunHere,
    SendToHelper,
    SlicesDue,
)
from berylspool.process.entry.delegation.slice_state import (
    Slices,
    next_due_at,
)
from berylspool.process.entry.delegation.slices import (
    ACCEPT_TIMEOUT_S,
    ASK_SHARE,
    HEARD_SHARE,
    PROBE_TIMEOUT_S,
    step,
)
from berylspool.process.entry.delegation.tests.slice_machine import (
    FORWARD,
    MAX_ATTEMPTS,
    TARGET_S,
    SliceMachine,
    make_parts,
)

SEEDS = range(1500)


def run_machine(seed, faults=True):
    machine = SliceMachine(seed, faults)
    machine.run()
    return machine


def find_violations(machine):
    violations = []
    for part in machine.parts:
        results = len(machine.results_by_part[part.id])
        if results > 1 or (results == 0 and not machine.is_dropped):
            violations.append(f"{part.id}: {results} results")
        copies = machine.copies_by_service[part.service]
        if copies > machine.max_copies(part):
            violations.append(f"{part.id}: {copies} copies")
    return violations


def test_each_part_has_one_result_and_no_more_copies_than_allowed():
    violations = {
        seed: found
        for seed in SEEDS
        if (found := find_violations(run_machine(seed)))
    }
    assert not violations


def test_nothing_is_left_of_a_request():
    for seed in SEEDS[:300]:
        machine = run_machine(seed)
        assert not machine.slices.slice_by_id
        assert not machine.slices.place_by_part
        assert not machine.slices.ids_by_request


def test_the_simulation_finds_copies_beyond_the_limit(monkeypatch):
    monkeypatch.setattr(slices_module, "ATTEMPTS_LEFT", MAX_ATTEMPTS)
    assert any(find_violations(run_machine(seed)) for seed in SEEDS)


class Conversation:
    """Events of one entry with one helper, `h`, and what came of them."""

    def __init__(self, parts=3):
        self.slices = Slices()
        self.parts = make_parts(parts)
        self.now = 10.0
        self.step(HelperLinked("h"))

    def step(self, event):
        return step(self.slices, event, self.now)

    def assign(self):
        return self.step(PartsAssigned("h", self.parts))

    def hear(self, message):
        return self.step(HelperAnswered("h", message))

    def wait(self):
        """Let time pass until an answer is overdue."""
        self.now = next_due_at(self.slices)
        return self.step(SlicesDue())


def sent_messages(actions):
    return [a.message for a in actions if isinstance(a, SendToHelper)]


def runs_here(actions):
    return [action for action in actions if isinstance(action, RunHere)]


def test_late_helper_is_told_to_drop_the_slice_and_gets_no_more():
    conversation = Conversation()
    [message] = sent_messages(conversation.assign())
    assert isinstance(message, RunSlice) and len(message.parts) == 3
    actions = conversation.wait()
    assert conversation.now == pytest.approx(10.0 + ACCEPT_TIMEOUT_S)
    assert sent_messages(actions) == [SliceDropped(1)]
    [run] = runs_here(actions)
    assert [part.id for part in run.parts] == ["r/0", "r/1", "r/2"]
    assert run.may_have_run
    # The helper may have sent one copy, so one attempt is left.
    assert {part.forward.attempts for part in run.parts} == {1}
    assert not any(part.is_extra for part in run.parts)
    [run] = conversation.assign()
    assert isinstance(run, RunHere) and not run.may_have_run


def test_slice_is_dropped_before_its_first_hedge():
    """The report of a hedge may be lost like the acceptance."""
    conversation = Conversation()
    forward = replace(FORWARD, hedge_after_s=0.018, target_latency_s=0.05)
    conversation.parts = [replace(p, forward=forward) for p in make_parts(3)]
    conversation.assign()
    conversation.wait()
    assert conversation.now - 10.0 < 0.018


def test_late_helper_is_used_after_a_pause_once_it_has_answered():
    conversation = Conversation()
    conversation.assign()
    conversation.wait()
    conversation.now += 0.6
    assert runs_here(conversation.assign())
    conversation.hear(SliceAccepted(1))
    assert sent_messages(conversation.assign())


def test_pause_of_a_late_helper_doubles_up_to_a_limit():
    conversation, pauses = Conversation(), []
    for _ in range(5):
        conversation.assign()
        conversation.wait()
        conversation.hear(SliceAccepted(conversation.slices.last_id))
        failed_at = conversation.now
        while runs_here(conversation.assign()):
            conversation.now += 0.05
        pauses.append(conversation.now - failed_at)
        # Its slice counts only when it is late.
        conversation.hear(SliceRefused(conversation.slices.last_id))
        conversation.now += 10.0
        health = conversation.slices.health_by_helper["h"]
    assert pauses[0] == pytest.approx(0.5, abs=0.06)
    assert health.next_suspension_s == 4.0


def test_refused_slice_runs_here_with_all_attempts():
    conversation = Conversation()
    conversation.assign()
    [run] = runs_here(conversation.hear(SliceRefused(1)))
    assert not run.may_have_run
    assert {part.forward.attempts for part in run.parts} == {MAX_ATTEMPTS}


def test_helper_that_answers_the_probe_keeps_its_parts():
    conversation = Conversation()
    conversation.assign()
    conversation.hear(SliceAccepted(1))
    assert sent_messages(conversation.wait()) == [SliceProbe(1)]
    conversation.hear(SliceAccepted(1))
    assert not runs_here(conversation.wait())


def test_helper_that_freezes_after_an_answer_is_asked_again():
    """Its parts waited until the deadline of the request."""
    conversation = Conversation()
    conversation.assign()
    conversation.hear(SliceAccepted(1))
    conversation.wait()
    conversation.hear(SliceAccepted(1))
    assert sent_messages(conversation.wait()) == [SliceProbe(1)]
    [run] = runs_here(conversation.wait())
    assert len(run.parts) == 3


def test_helper_that_sent_results_lately_is_not_asked():
    conversation = Conversation()
    conversation.assign()
    conversation.hear(SliceAccepted(1))
    conversation.now += (HEARD_SHARE + 0.02) * TARGET_S
    heard_at = conversation.now
    conversation.hear(SliceResults(1, rows=((0, 1, "s", b"a" * 32),)))
    assert next_due_at(conversation.slices) == heard_at + PROBE_TIMEOUT_S


def test_silent_helper_is_given_up_soon_after_half_of_the_target():
    conversation = Conversation()
    conversation.assign()
    conversation.hear(SliceAccepted(1))
    conversation.hear(SliceResults(1, rows=((0, 1, "s", b"a" * 32),)))
    conversation.wait()
    actions = conversation.wait()
    given_up_after_s = ASK_SHARE * TARGET_S + PROBE_TIMEOUT_S
    assert conversation.now == pytest.approx(10.0 + given_up_after_s)
    [run] = runs_here(actions)
    assert [part.id for part in run.parts] == ["r/1", "r/2"]
    assert all(part.is_extra for part in run.parts)
    assert all(part.forward.attempts == 1 for part in run.parts)
    assert sent_messages(actions) == [SliceDropped(1)]


def test_lost_link_takes_back_the_parts_without_a_result():
    conversation = Conversation()
    conversation.assign()
    conversation.hear(SliceAccepted(1))
    conversation.hear(SliceResults(1, rows=((0, 1, "s", b"a" * 32),)))
    [run] = runs_here(conversation.step(HelperLost("h")))
    assert len(run.parts) == 2 and run.may_have_run
    assert all(part.is_extra for part in run.parts)


def test_hedged_parts_of_a_lost_helper_meet_no_third_upstream():
    """Helpers that are alive but late had hedged parts that ran once more."""
    conversation = Conversation()
    conversation.assign()
    conversation.hear(SliceAccepted(1))
    conversation.hear(SliceResults(1, hedged=(1,)))
    actions = conversation.step(HelperLost("h"))
    [run] = runs_here(actions)
    assert [part.id for part in run.parts] == ["r/0", "r/2"]
    [delivered] = [a for a in actions if isinstance(a, Deliver)]
    [failure] = delivered.results
    assert (failure.part_id, failure.attempts) == ("r/1", MAX_ATTEMPTS)


def test_records_are_split_and_the_stamp_is_kept():
    conversation = Conversation()
    conversation.assign()
    row = (2, 1, "s.9", b"a" * 16 + b"b" * 16 + b"cut")
    [action] = conversation.hear(SliceResults(1, rows=(row,)))
    assert isinstance(action, Deliver)
    [result] = action.results
    assert result.part_id == "r/2" and result.stamp == "s.9"
    assert result.rows == (b"a" * 16, b"b" * 16)


@pytest.mark.parametrize("reason", ["no_owner", "no_upstream"])
def test_part_that_the_helper_does_not_know_runs_here(reason):
    conversation = Conversation()
    conversation.assign()
    actions = conversation.hear(SliceResults(1, refused=((1, reason, 0.0),)))
    [run] = runs_here(actions)
    assert [part.id for part in run.parts] == ["r/1"]
    assert run.parts[0].forward.attempts == MAX_ATTEMPTS


def test_reason_of_a_newer_build_is_passed_on_as_internal():
    conversation = Conversation()
    conversation.assign()
    failed = ((0, "a reason of the future", 1),)
    [action] = conversation.hear(SliceResults(1, failed=failed))
    assert action.results[0].reason == "internal"


@pytest.mark.parametrize("is_gone", [False, True])
def test_dropping_the_last_part_drops_the_slice(is_gone):
    conversation = Conversation()
    conversation.assign()
    actions = [
        conversation.step(PartDropped(part.id, is_gone))
        for part in conversation.parts
    ]
    assert actions[:2] == [[], []]
    assert sent_messages(actions[2]) == [SliceDropped(1, is_gone)]
