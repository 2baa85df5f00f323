"""Customers are found by their keys, and no key can be read back."""

import pytest

from berylspool.exception import ConfigurationError
from berylspool.version.customer.identity import (
    Anonymous,
    Identified,
    Unidentified,
    identify,
)
from berylspool.version.customer.table import (
    Customer,
    count_api_keys,
    count_customers,
    find_customer,
    make_customer_table,
)

SECRET = b"secret"
ACME, BETA = Customer("acme"), Customer("beta", 2)


def make_table(*customers_with_keys):
    return make_customer_table(customers_with_keys, SECRET)


def test_each_key_identifies_its_customer_only():
    table = make_table((ACME, ["k1", "k2", "k1"]), (BETA, ["k3"]))
    found = [find_customer(table, (k,)) for k in ("k1", "k2", "k3", "K1", "k")]
    assert found == [ACME, ACME, BETA, None, None]
    assert (count_customers(table), count_api_keys(table)) == (2, 3)
    assert (count_customers(None), count_api_keys(None)) == (0, 0)


def test_anything_but_one_key_is_no_key():
    """An empty header, or two of which one is right, would be let in."""
    table = make_table((ACME, ["k1", ""]))
    assert find_customer(table, ()) is None
    assert find_customer(table, ("",)) is None
    assert find_customer(table, ("k1", "k1")) is None


def test_key_with_any_bytes_is_looked_up():
    table = make_table((ACME, ["kéy"]))
    assert find_customer(table, ("kéy",)) == ACME
    assert find_customer(table, ("\udcff",)) is None


@pytest.mark.parametrize("is_public", [True, False])
def test_only_a_public_route_admits_a_request_without_a_valid_key(is_public):
    table = make_table((ACME, ["k1"]))
    expected = Anonymous() if is_public else Unidentified()
    assert identify(table, is_public, ("k1",)) == Identified(ACME)
    assert identify(table, is_public, ("other",)) == expected
    assert identify(make_table(), is_public, ("k1",)) == expected


@pytest.mark.parametrize(
    "customers_with_keys",
    [
        [(ACME, ["hush-1"]), (BETA, ["hush-2", "hush-1"])],
        [(ACME, ["hush-1"]), (Customer("acme", 1), ["hush-2"])],
        [(Customer(""), ["hush-1"])],
        [(Customer("  "), ["hush-1"])],
        [(ACME, []), (Customer("hush-1"), []), (Customer("hush-1"), [])],
    ],
    ids=["shared_key", "same_name", "no_name", "blank_name", "key_as_name"],
)
def test_invalid_customers_raise_an_error_without_their_keys(
    customers_with_keys,
):
    with pytest.raises(ConfigurationError) as caught:
        make_table(*customers_with_keys)
    assert "hush" not in str(caught.value)


def test_table_holds_neither_a_key_nor_a_hash_without_the_secret():
    """A dump of the process, or a repr in a log line, would give keys away."""
    table = make_table((ACME, ["hush-1"]))
    other = make_customer_table([(ACME, ["hush-1"])], b"another")
    assert "hush" not in repr(table.customer_by_digest)
    assert not table.customer_by_digest.keys() & other.customer_by_digest.keys()
    [digest] = table.customer_by_digest
    assert repr(digest) not in repr(table) and repr(SECRET) not in repr(table)
