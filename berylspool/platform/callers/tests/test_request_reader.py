"""Requests of clients, cut into pieces anywhere."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylspool.exception import RequestRejectedError
from berylspool.platform.callers import request_reader
from berylspool.platform.callers.request_reader import RequestReader
from berylspool.version.forwarding import CallerLimits

LIMITS = CallerLimits(max_head_bytes=400, max_body_bytes=100)


def make_request(body, form, extra=()):
    lines = ["POST /a?b=c HTTP/1.1", "host: h", "X-A:  v \t", *extra]
    if form == "chunks":
        lines.append("Transfer-Encoding: chunked")
        middle = len(body) // 2
        chunks = [c for c in (body[:middle], body[middle:]) if c]
        body = b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks)
        body += b"0\r\n\r\n"
    elif body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def read_all(pieces, limits=LIMITS):
    """Return all requests of a stream; the last item may be a status."""
    reader, found = RequestReader(), []
    try:
        for piece in pieces:
            request = reader.feed(piece, limits)
            while request is not None:
                found.append(request)
                request = reader.feed(reader.rest, limits)
    except RequestRejectedError as error:
        found.append(error.status)
    return found


def cut(data, positions):
    marks = sorted({0, len(data), *(p % (len(data) + 1) for p in positions)})
    return [data[a:b] for a, b in zip(marks, marks[1:], strict=False)]


BODIES = st.sampled_from([b"", b"x", b"\r\n\r\n", b"0\r\n\r\nGET / HTTP/1.1"])


@given(
    st.lists(st.tuples(BODIES, st.sampled_from(["length", "chunks"]))),
    st.lists(st.integers(0, 2000)),
)
def test_requests_are_read_however_the_stream_is_cut(items, positions):
    """An end across two pieces would join two requests, or lose one."""
    stream = b"".join(make_request(body, form) for body, form in items)
    requests = read_all(cut(stream, positions))
    assert [request.body for request in requests] == [b for b, _ in items]
    for request in requests:
        assert (request.method, request.target) == ("POST", "/a?b=c")
        assert request.headers[:2] == [("Host", "h"), ("X-A", "v")]
        assert request.keeps_alive


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (make_request(bytes(101), "length"), 413),
        (make_request(bytes(101), "chunks"), 413),
        (make_request(b"", "length", ["X-B: " + "b" * 400]), 431),
        (b"GET / HTTP/1.1\r\nX-B: " + b"b" * 400, 431),
        (b"GET / HTTP/2.0\r\nHost: h\r\n\r\n", 400),
        (b"GET /\r\nHost: h\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (make_request(b"x", "length", ["Transfer-Encoding: chunked"]), 400),
        (make_request(b"", "chunks", ["Transfer-Encoding: gzip"]), 400),
        (make_request(b"", "length", ["Content-Length: -1"]), 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\n\n", 400),
    ],
)
def test_invalid_request_is_refused_however_it_is_cut(data, status):
    for step in (1, 7, len(data)):
        pieces = [data[i : i + step] for i in range(0, len(data), step)]
        assert read_all(pieces) == [status]


def test_body_over_the_limit_is_refused_at_the_byte_that_exceeds_it():
    reader = RequestReader()
    head = make_request(b"", "chunks")[: -len(b"0\r\n\r\n")]
    assert reader.feed(head + b"ff\r\n" + bytes(100), LIMITS) is None
    with pytest.raises(RequestRejectedError):
        reader.feed(b"x", LIMITS)


def test_announced_body_over_the_limit_is_refused_with_its_head():
    head, _, _ = make_request(bytes(101), "length").partition(b"\0")
    assert read_all([head]) == [413]


def test_chunks_of_one_byte_within_the_limit_are_read():
    """The bound on framing must not refuse a legal body."""
    head = make_request(b"", "chunks")[: -len(b"0\r\n\r\n")]
    [request] = read_all([head + b"1\r\nx\r\n" * 100 + b"0\r\n\r\n"])
    assert request.body == b"x" * 100


def test_framing_without_end_is_refused():
    """Extensions of chunks and trailers have no limit of their own."""
    head = make_request(b"", "chunks")[: -len(b"0\r\n\r\n")]
    assert read_all([head, b"1;", *[b"x" * 50] * 100])[-1] in (400, 413)
    assert read_all([head, b"0\r\n", *[b"a: b\r\n"] * 400])[-1] in (400, 413)


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_body_of_a_request_for_an_upgrade_is_no_request(form):
    """It was read as the next request of the client."""
    inner = b"GET /other HTTP/1.1\r\nHost: o\r\n\r\n"
    extra = ["Connection: Upgrade, HTTP2-Settings", "UPGRADE: h2c"]
    [request] = read_all([make_request(inner, form, extra)])
    assert request.body == inner


def test_tunnel_is_refused():
    [status] = read_all([b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n"])
    assert status == 400


def test_long_names_are_not_cached():
    """The cache is in no budget of memory."""
    before = request_reader._make_cached_title_case.cache_info().currsize
    read_all([make_request(b"", "length", ["X-" + "a" * 200 + ": v"])])
    after = request_reader._make_cached_title_case.cache_info().currsize
    assert after <= before + 3


def test_request_for_an_upgrade_is_served_without_it():
    data = make_request(b"", "length", ["Upgrade: h2c", "Connection: upgrade"])
    first, second = read_all([data + make_request(b"x", "length")])
    assert (first.target, second.body) == ("/a?b=c", b"x")
