"""Stateful fuzzing of a pool whose parts differ in rank and customer."""

from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from berylspool.request.query import Forward, PartRefused
from berylspool.tests.fuzzing import fuzzing_finds_failure
from berylspool.version.overload import waiting
from berylspool.version.pool.message import (
    AttemptAnswered,
    PartArrived,
    ReportedLoad,
)
from berylspool.version.pool.tests.test_admission import (
    PoolMachine,
    make_part,
)


class RankedPoolMachine(PoolMachine):
    """Checks for parts of several ranks what holds for those of one.

    Guards against parts that are lost or sent twice by the order of ranks, and
    against refusals of parts that may have run.
    """

    waiting_there = 0

    def feed(self, event):
        if isinstance(event, AttemptAnswered):
            event.load = ReportedLoad(2, self.waiting_there, 2, 1.0, True)
        super().feed(event)

    @rule(
        rank=st.integers(0, 2),
        customer=st.sampled_from(["", "a", "b"]),
        idempotent=st.booleans(),
        timeout_s=st.sampled_from([0.1, 1.0, 3.0]),
        count=st.sampled_from([1, 1, 6]),
    )
    def part_arrives(self, rank, customer, idempotent, timeout_s, count):
        for _ in range(count):
            number = len(self.part_by_id)
            part = make_part(number, idempotent, f"f{number % 8}", timeout_s)
            part.forward = Forward(
                "GET",
                "/",
                (),
                b"",
                attempts=2,
                hedge_after_s=0.05,
                rank=rank,
                grace_s=timeout_s / 2,
                customer=customer,
            )
            self.part_by_id[part.id] = (part, self.now + timeout_s)
            self.feed(PartArrived(part))

    @rule(waiting_there=st.sampled_from([0, 0, 3, 12]))
    def queues_change(self, waiting_there):
        self.waiting_there = waiting_there

    @invariant()
    def queue_holds_each_waiting_part_once(self):
        waiting_ids = [item[3] for item in self.pool.queue]
        assert len(waiting_ids) == len(set(waiting_ids))
        for part_id, job in self.pool.job_by_part.items():
            assert job.queue_items == waiting_ids.count(part_id)

    @invariant()
    def refusals_say_when_to_return(self):
        for result in self.result_by_part.values():
            if isinstance(result, PartRefused):
                assert 0.0 < result.retry_after_s < 10.0


TestRankedPool = RankedPoolMachine.TestCase


def test_fuzzing_catches_a_part_that_stays_in_the_queue(monkeypatch):
    def keep_in_queue(pool, job, claim, now):
        job.queue_items -= 1

    monkeypatch.setattr(waiting, "_remove_sent", keep_in_queue)
    assert fuzzing_finds_failure(RankedPoolMachine, max_examples=500)


def test_fuzzing_catches_the_refusal_of_a_part_that_may_have_run(monkeypatch):
    make_claim = waiting.make_claim

    def claim_of(pool, job):
        return make_claim(pool, job.part, job.arrived_at, job.deadline)

    monkeypatch.setattr(waiting, "claim_of", claim_of)
    assert fuzzing_finds_failure(RankedPoolMachine, max_examples=500)
