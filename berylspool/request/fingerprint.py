"""Hashes that identify equal requests and spread them evenly."""

import xxhash

__all__ = ["fingerprint", "ticket"]


def fingerprint(route: str, body: str) -> str:
    """Return the fingerprint of a request.

    Two requests with the same route and body have the same fingerprint,
    whatever their request ids, so a resend is recognised at every entry.

    Args:
        route: Name of the route.
        body: Body of the request, as JSON text.

    Returns:
        Thirty-two hexadecimal digits.

    Examples:
        >>> fingerprint("fees", "{}") == fingerprint("fees", "{}")
        True
        >>> fingerprint("fees", "{}") == fingerprint("fee", "s{}")
        False
    """
    return xxhash.xxh3_128_hexdigest(f"{len(route)}:{route}{body}".encode())


def ticket(text: str) -> int:
    """Return a 64-bit integer that is uniform over texts.

    Examples:
        >>> ticket("a") == ticket("a")
        True
    """
    return xxhash.xxh3_64_intdigest(text.encode())
