"""Customers of a plan, indexed by keyed hashes of their API keys.

The hash of a key is compared, not the key, so the time of a look-up does not
tell how much of a guessed key is right: without the secret, nobody can choose
keys by their hashes.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from berylspool.exception import ConfigurationError

__all__ = [
    "Customer",
    "CustomerTable",
    "count_api_keys",
    "count_customers",
    "find_customer",
    "make_customer_table",
]

# Two different keys have the same hash with a probability of 2**-128.
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer, whose requests carry one of its API keys.

    Attributes:
        name: Name, unique in the plan.
        rank: Priority of its requests in place of that of their routes; 0 is
            the most urgent. None leaves the route's.
    """

    name: str
    rank: int | None = None


@dataclass(frozen=True, slots=True)
class CustomerTable:
    """All customers of a plan.

    Attributes:
        customer_by_digest: Customers by the keyed hash of each of their keys.
        customer_count: Number of customers, including those without a key.
        secret: Secret of the hash, at most 64 bytes.
    """

    customer_by_digest: dict[bytes, Customer] = field(repr=False)
    customer_count: int
    secret: bytes = field(repr=False)


def make_customer_table(
    customers_with_keys: Iterable[tuple[Customer, Iterable[str]]], secret: bytes
) -> CustomerTable:
    """Create the table of a plan's customers.

    An empty key is ignored, as an empty header counts as no key.

    Args:
        customers_with_keys: Each customer with its API keys.
        secret: Secret of the hash, at most 64 bytes.

    Returns:
        The table, which holds hashes only.

    Raises:
        ConfigurationError: A customer has no name, or two share a name or a
            key. The message states positions in the list, as the operator
            may have mistaken a key for a name.

    Examples:
        >>> pairs = [(Customer("acme", rank=0), ["k1", "k2"])]
        >>> table = make_customer_table(pairs, b"secret")
        >>> find_customer(table, ("k2",)), find_customer(table, ("k3",))
        (Customer(name='acme', rank=0), None)
    """
    customer_by_digest: dict[bytes, Customer] = {}
    position_by_name: dict[str, int] = {}
    for position, (customer, api_keys) in enumerate(customers_with_keys):
        if not customer.name.strip():
            raise ConfigurationError(f"customer {position} has no name")
        first = position_by_name.setdefault(customer.name, position)
        if first != position:
            raise ConfigurationError(
                f"customers {first} and {position} have the same name"
            )
        for api_key in api_keys:
            if not api_key:
                continue
            digest = _hash_key(api_key, secret)
            owner = customer_by_digest.setdefault(digest, customer)
            if owner is not customer:
                raise ConfigurationError(
                    f"customers {position_by_name[owner.name]} and {position}"
                    " share an API key"
                )
    return CustomerTable(customer_by_digest, len(position_by_name), secret)


def find_customer(
    table: CustomerTable, api_keys: tuple[str, ...]
) -> Customer | None:
    """Return the customer of a request.

    Args:
        table: Customers in force.
        api_keys: API keys that the request states.

    Returns:
        The customer; None if the request does not state exactly one key, or
        one that no customer has.
    """
    match api_keys:
        case (str(api_key),) if api_key:
            digest = _hash_key(api_key, table.secret)
            return table.customer_by_digest.get(digest)
    return None


def count_customers(table: CustomerTable | None) -> int:
    """Return the number of customers; 0 without a table."""
    return table.customer_count if table is not None else 0


def count_api_keys(table: CustomerTable | None) -> int:
    """Return the number of API keys of all customers; 0 without a table."""
    return len(table.customer_by_digest) if table is not None else 0


def _hash_key(api_key: str, secret: bytes) -> bytes:
    # Headers may hold any bytes, which a front end decodes with surrogates.
    text = api_key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES, key=secret).digest()
