"""Who sent a request, by the customers of a plan."""

from dataclasses import dataclass

from berylspool.version.customer.table import (
    Customer,
    CustomerTable,
    find_customer,
)

__all__ = [
    "UNCHECKED",
    "Anonymous",
    "Identified",
    "Identity",
    "Unchecked",
    "Unidentified",
    "identify",
]


@dataclass(frozen=True, slots=True)
class Unchecked:
    """The plan has no customers, so requests are passed on as they are."""


UNCHECKED = Unchecked()


@dataclass(frozen=True, slots=True)
class Anonymous:
    """The request states no valid key, and its route needs none."""


@dataclass(frozen=True, slots=True)
class Identified:
    """The request states the key of a customer."""

    customer: Customer


@dataclass(frozen=True, slots=True)
class Unidentified:
    """The request states no valid key, but its route needs one."""


Identity = Unchecked | Anonymous | Identified | Unidentified


def identify(
    customers: CustomerTable | None, is_public: bool, api_keys: tuple[str, ...]
) -> Identity:
    """Return who sent a request.

    Args:
        customers: Customers in force; None if requests need no key.
        is_public: Whether the route of the request needs no key.
        api_keys: API keys that the request states.

    Examples:
        >>> table = CustomerTable({}, 0, b"secret")
        >>> identify(table, False, ("k",)), identify(table, True, ("k",))
        (Unidentified(), Anonymous())
        >>> identify(None, False, ())
        Unchecked()
    """
    if customers is None:
        return UNCHECKED
    customer = find_customer(customers, api_keys)
    if customer is not None:
        return Identified(customer)
    return Anonymous() if is_public else Unidentified()
