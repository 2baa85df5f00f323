"""Names of the platform's headers, and selection of end-to-end headers."""

from collections.abc import Iterable

__all__ = [
    "API_KEY",
    "EXPECT_INSTANCE",
    "FENCING_TOKEN",
    "LEASE_HOLDER",
    "MISSING_PARTS",
    "NOT_EXECUTED",
    "PART_STAMPS",
    "REQUEST_DEADLINE",
    "REQUEST_ID",
    "RESPONSE_STAMP",
    "RETRY_AFTER",
    "SERVER_LEAVING",
    "SERVER_LOAD",
    "TENANT",
    "parse_whole_number",
    "select_anonymous",
    "select_end_to_end",
    "states_identity",
]

REQUEST_ID = "X-Request-Id"
# Time left for the request in milliseconds, not a point in time.
REQUEST_DEADLINE = "X-Request-Deadline"
# Id of the instance that must serve the request; any other instance that
# listens on the same address refuses it.
EXPECT_INSTANCE = "X-Expect-Instance"
# Signature of the upstream on its answer.
RESPONSE_STAMP = "X-Response-Stamp"
# Running requests, waiting requests and slots of the upstream.
SERVER_LOAD = "X-Server-Load"
# Set if the upstream refused the request and ran no part of it.
NOT_EXECUTED = "X-Not-Executed"
# `1` if the upstream is about to leave and wants no new requests.
SERVER_LEAVING = "Server-Leaving"
# Seconds in which this VM must not send requests to the upstream that refused.
RETRY_AFTER = "Retry-After"
# Signatures of all parts of a merged answer.
PART_STAMPS = "X-Part-Stamps"
# Number of shards that a merged answer does not cover.
MISSING_PARTS = "X-Missing-Parts"
# Node that makes a call of a duty, and the token that fences off others.
LEASE_HOLDER = "X-Lease-Holder"
FENCING_TOKEN = "X-Fencing-Token"

# Key of the customer that sends a request; no upstream may get it.
API_KEY = "X-Api-Key"
# Name of that customer, by which upstreams know it.
TENANT = "X-Tenant"

IDENTITY_NAMES = frozenset({API_KEY.lower(), TENANT.lower()})

# Hop-by-hop headers (RFC 9110, section 7.6.1), and the content length, which
# each hop states itself.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)


# Larger than any time in milliseconds, count or number of slots that matters.
MAX_NUMBER = 10**9
MAX_DIGITS = 20


def parse_whole_number(text: str) -> int | None:
    """Return the number that a header states, or None if it states none.

    Larger numbers than `MAX_NUMBER` count as that one.

    Examples:
        >>> [parse_whole_number(t) for t in ("250", "-1", "", "1e3", "\u00b2")]
        [250, None, None, None, None]
    """
    if not (text.isascii() and text.isdigit()):
        return None
    if len(text) > MAX_DIGITS:
        return MAX_NUMBER
    return min(int(text), MAX_NUMBER)


def select_end_to_end(
    headers: Iterable[tuple[str, str]], excluded: Iterable[str] = ()
) -> tuple[tuple[str, str], ...]:
    """Return the headers that a proxy passes on.

    Args:
        headers: Headers as received.
        excluded: Further names to leave out, in lower case.

    Returns:
        The headers in the order received, without hop-by-hop headers, those
        that `Connection` names, and those in `excluded`.

    Examples:
        >>> headers = [("Connection", "close, X-A"), ("X-A", "1"), ("B", "2")]
        >>> select_end_to_end(headers)
        (('B', '2'),)
    """
    pairs = list(headers)
    excluded_names = {*HOP_BY_HOP, *excluded}
    for name, value in pairs:
        if name.lower() == "connection":
            excluded_names.update(
                option.strip().lower() for option in value.split(",")
            )
    return tuple(
        pair for pair in pairs if pair[0].lower() not in excluded_names
    )


def states_identity(name: str) -> bool:
    """Return whether a header states a key or names a customer.

    Upstreams that read headers as environment variables do not tell `-` from
    `_`, so names with `_` count, too.

    Examples:
        >>> [states_identity(n) for n in ("X_TENANT", "x-api-key", "X-Tenants")]
        [True, True, False]
    """
    return name.lower().replace("_", "-") in IDENTITY_NAMES


def select_anonymous(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...] | None:
    """Return the headers that neither state a key nor name a customer.

    Args:
        headers: Headers as received.

    Returns:
        The other headers, in the order received; None if these are all.

    Examples:
        >>> select_anonymous((("X_TENANT", "a"), ("B", "2")))
        (('B', '2'),)
        >>> select_anonymous((("B", "2"),)) is None
        True
    """
    selected = tuple(pair for pair in headers if not states_identity(pair[0]))
    return selected if len(selected) < len(headers) else None
