"""Hashes that identify equal requests and distribute keys uniformly."""

import xxhash

__all__ = ["fingerprint", "hash64"]


def fingerprint(route: str, body: str) -> str:
    """Return the fingerprint of a request.

    Requests with the same route and body have the same fingerprint,
    regardless of their ids, so every entry recognises a resent request.

    Args:
        route: Name of the route.
        body: Body of the request, as JSON text.

    Returns:
        Hash of 128 bits, as 32 hexadecimal digits.

    Examples:
        >>> fingerprint("fees", "{}") == fingerprint("fees", "{}")
        True
        >>> fingerprint("fees", "{}") == fingerprint("fee", "s{}")
        False
    """
    return xxhash.xxh3_128_hexdigest(f"{len(route)}:{route}{body}".encode())


def hash64(text: str) -> int:
    """Return a 64-bit hash that is distributed uniformly over texts.

    Args:
        text: Text to hash.

    Returns:
        Unsigned 64-bit integer; equal texts give equal values.

    Examples:
        >>> hash64("a") == hash64("a")
        True
    """
    return xxhash.xxh3_64_intdigest(text.encode())
