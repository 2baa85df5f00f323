"""Parts that an upstream may have run already: paid from the budget."""

from dataclasses import replace

import pytest

from berylspool.request.query import Reason
from berylspool.version.pool.extra_copies import BORROW_TIMEOUT_S
from berylspool.version.pool.message import (
    BorrowCopies,
    CopiesLent,
    ErrorReply,
    PartArrived,
    Tick,
)
from berylspool.version.pool.tests.test_shared_upstreams import (
    BORROWING_TUNING,
    TUNING,
    PoolDriver,
    make_part,
)


def arrive(driver, number, now):
    part = make_part(number, attempts=1)
    driver.feed(PartArrived(replace(part, is_extra=True)), now)


def result_names(driver):
    return [type(result).__name__ for result in driver.results()]


def test_each_costs_a_token_and_earns_none():
    """Else helpers that fail would multiply the copies of all entries."""
    driver = PoolDriver(extra=2.0, tuning=replace(TUNING, initial_tokens=2.0))
    for number in range(4):
        arrive(driver, number, 0.001 * number)
    assert len(driver.sent) == 2 and driver.pool.budget.tokens == 0.0
    assert result_names(driver) == ["PartRefused", "PartRefused"]


@pytest.mark.parametrize("lent", [1, 0])
def test_control_lends_the_copy_if_the_budget_is_spent(lent):
    driver = PoolDriver(extra=0.0, tuning=BORROWING_TUNING)
    arrive(driver, 1, 0.0)
    assert BorrowCopies(1) in driver.other_actions and not driver.sent
    driver.feed(CopiesLent(lent), 0.002)
    assert len(driver.sent) == lent
    assert result_names(driver) == [] if lent else ["PartRefused"]


def test_it_ends_soon_if_control_does_not_answer():
    driver = PoolDriver(extra=0.0, tuning=BORROWING_TUNING)
    arrive(driver, 1, 0.0)
    driver.feed(Tick(), BORROW_TIMEOUT_S)
    assert result_names(driver) == ["PartRefused"]


def test_it_is_neither_hedged_nor_sent_again():
    driver = PoolDriver(extra=5.0, tuning=replace(TUNING, initial_tokens=5.0))
    arrive(driver, 1, 0.0)
    driver.feed(Tick(), 0.3)
    driver.answer(driver.sent[0], ErrorReply(Reason.UPSTREAM_ERROR), 0.4)
    assert len(driver.sent) == 1 and result_names(driver) == ["PartFailed"]
