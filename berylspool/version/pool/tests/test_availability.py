"""Upstreams that say in answers that they leave, or want a pause."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from berylspool.common.event import UpstreamNoticed
from berylspool.request.query import PartRefused, PartRows, Reason
from berylspool.version.configuration import Limits
from berylspool.version.pool.message import (
    AttemptAnswered,
    ConnectionClosed,
    HealthReported,
    Log,
    NotRunReply,
    OpenConnection,
    PartArrived,
    PoolReconfigured,
    RowsReply,
    SendResult,
    Tick,
    UpstreamNotice,
)
from berylspool.version.pool.quarantine import Verdict, record_verdict
from berylspool.version.pool.tests.test_shared_upstreams import (
    FAR,
    NEAR,
    SNAPSHOT,
    TUNING,
    PoolDriver,
    make_part,
)
from berylspool.version.pool.timing import max_wait_s
from berylspool.version.upstream.notices import (
    MAX_SPREAD_SHARE,
    forget_unlisted,
    parse_pause,
)

LEAVING = UpstreamNotice(is_leaving=True)
ROWS = RowsReply(SNAPSHOT, (b"a",), "s.1")
REFUSAL = NotRunReply(Reason.OVERLOAD)
LIMITS = Limits(slots=3, connections=8, cold_slots=3, ramp_s=0.0)
PAUSE_S = 4.0
# No spread moves the end of a pause beyond this factor.
MAX_PAUSE_FACTOR = 1.0 + MAX_SPREAD_SHARE


def pause(seconds):
    return UpstreamNotice(pause_s=seconds)


def answer(driver, send, reply, now, notice=None):
    attempt = driver.pool.attempt_by_id[send.attempt_id]
    driver.feed(
        AttemptAnswered(
            send.connection_id,
            send.attempt_id,
            attempt.upstream_id,
            reply,
            notice=notice,
        ),
        now,
    )


def upstream_of(driver, send):
    return driver.pool.attempt_by_id[send.attempt_id].upstream_id


def request_part(driver, number, now, **changes):
    """Send one part; return the id of its upstream, or None."""
    count = len(driver.sent)
    driver.feed(PartArrived(make_part(number, **changes)), now)
    sends = driver.sent[count:]
    return upstream_of(driver, sends[0]) if sends else None


def results(driver):
    return [
        action.result
        for action in driver.other_actions
        if isinstance(action, SendResult)
    ]


def send_to_near(driver, number=1, now=0.0):
    assert request_part(driver, number, now) == "near"
    return driver.sent[-1]


def start_at_near(count):
    """Return a pool whose first parts are at one of its two upstreams."""
    tuning = replace(TUNING, initial_tokens=5.0)
    driver = PoolDriver(upstreams=(NEAR,), tuning=tuning)
    sends = [send_to_near(driver, number) for number in range(count)]
    driver.feed(PoolReconfigured((NEAR, FAR), LIMITS), 0.0)
    return driver, sends


def test_leaving_upstream_finishes_its_copies_and_gets_no_new_ones():
    driver, (first, second) = start_at_near(2)
    answer(driver, first, ROWS, 0.01, LEAVING)
    assert [request_part(driver, n, 0.02) for n in (3, 4)] == ["far", "far"]
    answer(driver, second, ROWS, 0.03, LEAVING)
    assert [type(result) for result in results(driver)] == [PartRows, PartRows]
    notices = [
        action.event
        for action in driver.other_actions
        if isinstance(action, Log) and isinstance(action.event, UpstreamNoticed)
    ]
    assert notices == [UpstreamNoticed("near", "leaving", "")]


def test_hedge_and_retry_avoid_a_leaving_upstream():
    driver, (_, refused) = start_at_near(2)
    answer(driver, refused, REFUSAL, 0.01, LEAVING)
    driver.feed(Tick(), 0.055)
    copies = [(s.part.id, upstream_of(driver, s)) for s in driver.sent[2:]]
    assert copies == [("p1", "far"), ("p0", "far"), ("p1", "far")]


def test_leaving_holds_while_the_list_says_that_the_upstream_is_ready():
    driver = PoolDriver()
    answer(driver, send_to_near(driver), ROWS, 0.01, LEAVING)
    driver.feed(PoolReconfigured((NEAR, FAR), LIMITS), 0.1)
    assert request_part(driver, 2, 0.2) == "far"
    # The list drops the upstream from use, and names it again when it is old.
    driver.feed(PoolReconfigured((FAR,), LIMITS), 1.0)
    driver.feed(Tick(), 1.1)
    driver.feed(PoolReconfigured((NEAR, FAR), LIMITS), 2.0)
    assert request_part(driver, 3, 2.1) == "far"


def test_new_incarnation_of_a_leaving_upstream_is_used():
    driver = PoolDriver()
    answer(driver, send_to_near(driver), ROWS, 0.01, LEAVING)
    restarted = replace(NEAR, started_at_ms=5)
    driver.feed(PoolReconfigured((restarted, FAR), LIMITS), 1.0)
    assert request_part(driver, 2, 1.1) == "near"


def test_upstream_that_was_gone_from_the_list_is_used_again():
    driver = PoolDriver()
    answer(driver, send_to_near(driver), ROWS, 0.01, LEAVING)
    forget_unlisted(driver.pool.notices, {"far"})
    driver.feed(PoolReconfigured((FAR,), LIMITS), 1.0)
    for connection_id in list(
        driver.pool.view_by_upstream["near"].connection_by_id
    ):
        driver.feed(ConnectionClosed(connection_id, "near"), 1.1)
    driver.feed(Tick(), 1.2)
    driver.feed(PoolReconfigured((NEAR, FAR), LIMITS), 2.0)
    assert request_part(driver, 2, 2.1) == "near"


def test_part_is_refused_at_once_if_all_upstreams_leave():
    driver = PoolDriver(upstreams=(NEAR,))
    answer(driver, send_to_near(driver), ROWS, 0.01, LEAVING)
    assert request_part(driver, 2, 0.02) is None
    assert results(driver)[-1].reason is Reason.NO_UPSTREAM


def test_paused_upstream_gets_no_copy_and_no_connection():
    driver = PoolDriver()
    answer(driver, send_to_near(driver), REFUSAL, 0.01, pause(PAUSE_S))
    before = [a for a in driver.other_actions if isinstance(a, OpenConnection)]
    for number in range(2, 40):
        now = number * 0.1
        assert request_part(driver, number, now, hedge_after_s=0.02) != "near"
        driver.feed(Tick(), now + 0.03)
        for send in list(driver.sent):
            if send.attempt_id in driver.pool.attempt_by_id:
                assert upstream_of(driver, send) != "near"
                answer(driver, send, ROWS, now + 0.04)
    after = [a for a in driver.other_actions if isinstance(a, OpenConnection)]
    assert before == after


def test_load_returns_step_by_step_after_a_pause():
    driver = PoolDriver(upstreams=(NEAR,))
    answer(driver, send_to_near(driver), REFUSAL, 0.0, pause(PAUSE_S))
    now = PAUSE_S * MAX_PAUSE_FACTOR + 0.01
    first = send_to_near(driver, 2, now)
    assert request_part(driver, 3, now) is None
    count = len(driver.sent)
    answer(driver, first, ROWS, now + 0.01)
    assert len(driver.sent) == count + 1
    assert request_part(driver, 4, now + 0.02) == "near"
    assert request_part(driver, 5, now + 0.02) is None


def test_latest_end_of_several_pauses_holds():
    driver = PoolDriver(upstreams=(NEAR,))
    sends = [send_to_near(driver, number) for number in (1, 2, 3)]
    for send, seconds in zip(sends, (1.0, PAUSE_S, 2.0), strict=True):
        answer(driver, send, REFUSAL, 0.0, pause(seconds))
    assert request_part(driver, 4, PAUSE_S - 0.1) is None


def test_part_is_refused_with_the_pause_if_no_upstream_is_left():
    driver, _ = start_at_near(3)
    # Retries of the parts that are turned away are sent, too.
    for send in driver.sent:
        answer(driver, send, REFUSAL, 0.0, pause(PAUSE_S))
    # The parts that were turned away wait for no upstream either.
    assert not driver.pool.job_by_part and not driver.pool.queue
    assert all(
        isinstance(result, PartRefused) and result.reason is Reason.PAUSED
        for result in results(driver)
    )
    for number in range(10, 20):
        assert request_part(driver, number, 1.0) is None
    delays = [result.retry_after_s for result in results(driver)[-10:]]
    assert all(delay >= PAUSE_S - 1.0 for delay in delays)
    assert len(set(delays)) > 1


def test_pool_wakes_at_the_end_of_a_pause_for_a_part_that_waits():
    driver = PoolDriver()
    request_part(driver, 1, 0.0, hedge_after_s=2.0)
    answer(driver, driver.sent[0], REFUSAL, 0.0, pause(0.2))
    for number in range(2, 6):
        request_part(driver, number, 0.1, hedge_after_s=2.0)
    assert driver.pool.queue
    ends_at = driver.pool.view_by_upstream["near"].paused_until
    assert max_wait_s(driver.pool, ends_at - 0.01) <= 0.011


def test_suspect_is_not_sent_into_a_pause_of_its_reserved_upstream():
    tuning = replace(TUNING, isolates_suspects=True)
    driver = PoolDriver(upstreams=(NEAR,), tuning=tuning)
    at_work = send_to_near(driver)
    suspect = make_part(2)
    record_verdict(
        driver.pool.verdicts, suspect.fingerprint, Verdict.SUSPECT, 0.0
    )
    driver.feed(PartArrived(suspect), 0.0)
    assert driver.pool.view_by_upstream["near"].reserved_for == suspect.id
    answer(driver, at_work, REFUSAL, 0.01, pause(PAUSE_S))
    assert driver.sent == [at_work]


def test_another_incarnation_has_no_pause():
    driver = PoolDriver(upstreams=(NEAR,))
    answer(driver, send_to_near(driver), REFUSAL, 0.0, pause(PAUSE_S))
    restarted = replace(NEAR, started_at_ms=5)
    driver.feed(PoolReconfigured((restarted,), LIMITS), 1.0)
    assert request_part(driver, 2, 1.1) == "near"


def test_pause_outlives_the_view_of_its_upstream():
    driver = PoolDriver()
    answer(driver, send_to_near(driver), REFUSAL, 0.0, pause(PAUSE_S))
    driver.feed(PoolReconfigured((FAR,), LIMITS), 0.1)
    driver.feed(Tick(), 0.2)
    driver.feed(PoolReconfigured((NEAR, FAR), LIMITS), 0.3)
    assert request_part(driver, 2, 0.4) == "far"


def test_unusable_pause_is_logged_once_and_has_no_effect():
    driver = PoolDriver()
    notice = UpstreamNotice(unusable_pause="soon" * 100)
    for number in (1, 2):
        answer(driver, send_to_near(driver, number), ROWS, 0.01, notice)
    events = [
        action.event
        for action in driver.other_actions
        if isinstance(action, Log) and isinstance(action.event, UpstreamNoticed)
    ]
    assert [(event.notice, event.value) for event in events] == [
        ("unusable", "soon" * 16)
    ]


@given(st.text(max_size=20) | st.floats().map(repr) | st.integers().map(str))
def test_any_text_is_a_bounded_pause_or_none(text):
    pause_s = parse_pause(text)
    assert pause_s is None or 0.0 <= pause_s <= 3600.0


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["part", "rows", "refuse", "pause", "tick"]),
            st.floats(0.0, 0.3),
            st.floats(0.1, 3.0),
        ),
        max_size=60,
    )
)
def test_no_sequence_of_answers_sends_into_a_pause(steps):
    driver = PoolDriver(extra=20.0)
    paused_until_by_id = {}
    now, number = 0.0, 0
    for kind, delay_s, pause_s in steps:
        now += delay_s
        count = len(driver.sent)
        pending = [
            send
            for send in driver.sent
            if send.attempt_id in driver.pool.attempt_by_id
        ]
        if kind == "part":
            number += 1
            driver.feed(PartArrived(make_part(number)), now)
        elif kind == "tick" or not pending:
            driver.feed(Tick(), now)
        elif kind == "pause":
            id = upstream_of(driver, pending[0])
            ends_at = max(paused_until_by_id.get(id, 0.0), now + pause_s)
            paused_until_by_id[id] = ends_at
            answer(driver, pending[0], REFUSAL, now, pause(pause_s))
        else:
            reply = ROWS if kind == "rows" else REFUSAL
            answer(driver, pending[0], reply, now)
        for send in driver.sent[count:]:
            assert now >= paused_until_by_id.get(upstream_of(driver, send), 0.0)


def test_notices_of_a_restarted_instance_are_forgotten():
    driver = PoolDriver(upstreams=(NEAR,))
    first = send_to_near(driver)
    answer(driver, first, ROWS, 0.01, LEAVING)
    driver.feed(HealthReported("near", "near", False), 0.02)
    assert request_part(driver, 2, 0.03) is None
    driver.feed(HealthReported("near", "another instance", False), 0.04)
    driver.feed(PoolReconfigured((NEAR,), LIMITS), 0.05)
    assert request_part(driver, 3, 0.06) == "near"


def test_refused_part_states_the_copies_that_upstreams_refused():
    """A request with a refused copy would count as one that was never sent."""
    for notice in (None, pause(PAUSE_S)):
        driver = PoolDriver(upstreams=(NEAR,))
        answer(driver, send_to_near(driver), REFUSAL, 0.01, notice)
        for number in range(1, 40):
            for send in list(driver.sent):
                if send.attempt_id in driver.pool.attempt_by_id:
                    answer(driver, send, REFUSAL, 0.1 * number, notice)
            driver.feed(Tick(), 0.1 * number)
        [refused] = driver.results()
        assert isinstance(refused, PartRefused)
        assert refused.sends == len(driver.sent) > 0
    driver.feed(PartArrived(make_part(2)), 4.0)
    assert driver.results()[-1].sends == 0
