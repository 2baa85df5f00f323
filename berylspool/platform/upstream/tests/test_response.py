"""Responses read from streams that hold other bytes, too."""

import contextlib
import gc
import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylspool.exception import ProtocolError, ResponseTooLargeError
from berylspool.platform.upstream.response import (
    MAX_RESPONSE_BYTES,
    MAX_UNNEEDED_BYTES,
    ResponseReader,
)


def make_response(id, status=200, body=b"", chunked=False, extra=()):
    """Return a response with a signature of its own."""
    lines = [
        f"HTTP/1.1 {status} Reason",
        *extra,
        "Content-Type: text/plain",
        f"X-Request-Id: {id}",
        f"X-Response-Stamp: stamp of {id}",
    ]
    body = body or f"body of {id}".encode()
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        middle = len(body) // 2
        framed = b"".join(
            b"%x\r\n%s\r\n" % (len(chunk), chunk)
            for chunk in (body[:middle], body[middle:])
        )
        body = framed + b"0\r\n\r\n"
    else:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def describe(response):
    """Return all that a caller gets of a response."""
    return response.status, response.headers, bytes(response.body)


def read_alone(data):
    """Return the description of a response on a connection of its own."""
    reader = ResponseReader()
    reader.expect("", MAX_RESPONSE_BYTES)
    return describe(reader.feed(data))


def check_stream(answers, pieces, ids=("r0", "r1")):
    """Feed pieces to a reader; check that each answer is whole and its own.

    Args:
        answers: Responses to the requests.
        pieces: Lists of bytes that arrive between two requests, in order.
        ids: Ids of the requests.

    Returns:
        Number of requests that were answered.
    """
    reader = ResponseReader()
    answered = 0
    for number, pieces_of_request in enumerate(pieces):
        if not reader.may_expect(ids[number]):
            return answered
        reader.expect(ids[number], MAX_RESPONSE_BYTES)
        for piece in pieces_of_request:
            try:
                response = reader.feed(piece)
            except ProtocolError:
                return answered
            if response is None:
                continue
            assert describe(response) == read_alone(answers[number])
            answered += 1
            if not reader.is_reusable:
                return answered
        if answered <= number:
            return answered
    return answered


FORMS = [
    pytest.param(
        make_response("r0", first, chunked=is_chunked),
        make_response("r1", second, chunked=is_chunked),
        id=f"{first}-{second}-{'chunked' if is_chunked else 'length'}",
    )
    for first, second in ((200, 500), (500, 200), (200, 200), (503, 200))
    for is_chunked in (False, True)
]


@pytest.mark.parametrize(("first", "second"), FORMS)
def test_copy_in_the_piece_of_its_answer_reaches_no_other_request(
    first, second
):
    """A success was given where the upstream had answered with a failure."""
    for end in range(1, len(first) + 1):
        copy, rest = first[:end], first[end:]
        for last in (second, rest + second, second + rest):
            answered = check_stream([first, second], [[first + copy], [last]])
            assert answered == 1, copy


@pytest.mark.parametrize(("first", "second"), FORMS)
def test_late_copy_that_is_cut_mixes_with_no_other_answer(first, second):
    """A success had no signature, or that of another request, or a failure's
    body: its head began in the copy and ended in the answer."""
    for end in range(1, len(first) + 1):
        copy, rest = first[:end], first[end:]
        orders = itertools.permutations([copy, second, rest])
        for order in orders:
            joined = [b"".join(order)]
            for pieces in (list(order), joined):
                pieces = [piece for piece in pieces if piece]
                check_stream([first, second], [[first], pieces])


@pytest.mark.parametrize(("first", "second"), FORMS)
def test_whole_late_copy_costs_no_answer(first, second):
    answers = [first, second]
    assert check_stream(answers, [[first], [first + second]]) == 2
    assert check_stream(answers, [[first], [first, second]]) == 2


def test_answer_in_any_pieces_is_the_same():
    answer = make_response("r0", chunked=True)
    for first, second in itertools.combinations(range(1, len(answer)), 2):
        pieces = [answer[:first], answer[first:second], answer[second:]]
        assert check_stream([answer], [pieces]) == 1


@given(st.data())
def test_no_order_of_copies_and_pieces_gives_a_wrong_answer(data):
    """Copies of any earlier answer, cut anywhere, in any order and pieces."""
    count = data.draw(st.integers(2, 4))
    # A client that repeats a request may use its id again.
    ids = [f"r{data.draw(st.integers(0, number))}" for number in range(count)]
    answers = [
        make_response(
            id,
            data.draw(st.sampled_from([200, 204, 404, 500, 503])),
            chunked=data.draw(st.booleans()),
            extra=data.draw(
                st.sampled_from([(), ("X-Not-Executed: 1",), ("A: b",)])
            ),
            body=f"body {number}".encode(),
        )
        for number, id in enumerate(ids)
    ]
    pieces = [[answers[0]]]
    unsent = []
    for number in range(1, count):
        if data.draw(st.booleans()):
            earlier = answers[data.draw(st.integers(0, number - 1))]
            end = data.draw(st.integers(0, len(earlier)))
            unsent += [earlier[:end], earlier[end:]]
        sent_count = data.draw(st.integers(0, len(unsent)))
        segments, unsent = unsent[:sent_count], unsent[sent_count:]
        place = data.draw(st.integers(0, len(segments)))
        stream = b"".join([*segments[:place], answers[number]])
        stream += b"".join(segments[place:])
        cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=4))
        bounds = [0, *sorted(cuts), len(stream)]
        pieces.append(
            [
                stream[start:end]
                for start, end in itertools.pairwise(bounds)
                if start < end
            ]
        )
    check_stream(answers, pieces, ids)


@pytest.mark.parametrize(
    "name", ["X-Request-Id", "X-Response-Stamp", "X-Not-Executed"]
)
def test_two_identities_in_one_response_are_an_error(name):
    lines = (f"{name}: one", f"{name}: other")
    reader = ResponseReader()
    reader.expect("r0", MAX_RESPONSE_BYTES)
    with pytest.raises(ProtocolError):
        reader.feed(make_response("r0", extra=lines))


def test_response_without_an_id_is_the_last_on_its_connection():
    """Its copy would pass for the response to the next request."""
    answer = b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"
    reader = ResponseReader()
    reader.expect("r0", MAX_RESPONSE_BYTES)
    assert reader.feed(answer).status == 421
    assert not reader.is_reusable


def test_trailers_are_no_headers():
    answer = make_response("r0", chunked=True)
    with_trailer = answer[:-2] + b"X-Response-Stamp: other\r\n\r\n"
    assert check_stream([answer], [[with_trailer]]) == 1


def test_status_line_in_a_header_is_passed_on_by_a_new_connection():
    answer = make_response("r0", extra=("X-Seen: HTTP/1.1 200 OK",))
    assert check_stream([answer], [[answer]]) == 1


def test_bytes_without_a_request_are_an_error():
    reader = ResponseReader()
    with pytest.raises(ProtocolError):
        reader.feed(b"\r\n")


def test_end_of_stream_completes_no_head():
    head = b"HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\n\r\n"
    for end in range(len(head) + 1):
        reader = ResponseReader()
        reader.expect("r0", MAX_RESPONSE_BYTES)
        with contextlib.suppress(ProtocolError):
            reader.feed(head[:end])
        assert (reader.end() is not None) == (end == len(head))


@pytest.mark.parametrize("blank", ["", " ", "\t", " \t  "])
def test_blanks_around_a_header_are_no_part_of_it(blank):
    """A blank at the end of a value kept an answer from its caller."""
    head, _, body = make_response("r0").partition(b"\r\n\r\n")
    status_line, *lines = head.split(b"\r\n")
    space = blank.encode()
    spaced_lines = [
        name + b":" + space + value + space
        for name, _, value in (line.partition(b": ") for line in lines)
    ]
    answer = b"\r\n".join([status_line, *spaced_lines, b"", body])
    reader = ResponseReader()
    reader.expect("r0", MAX_RESPONSE_BYTES)
    response = reader.feed(answer)
    assert describe(response) == read_alone(make_response("r0"))
    assert reader.is_reusable


@pytest.mark.parametrize("chunked", [False, True])
def test_response_to_head_ends_with_its_head(chunked):
    """It was waited for until the time-out, and the request ran twice."""
    head, end, _ = make_response("r0", chunked=chunked).partition(b"\r\n\r\n")
    reader = ResponseReader()
    reader.expect("r0", MAX_RESPONSE_BYTES, has_body=False)
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    assert reader.feed(interim) is None
    response = reader.feed(head + end)
    assert response.status == 200 and not response.body
    assert not reader.is_reusable


def test_same_id_is_not_expected_again_after_a_body():
    """A copy cut in its body went on with the answer to the repetition."""
    reader = ResponseReader()
    for number in range(3):
        reader.expect(f"r{number}", MAX_RESPONSE_BYTES)
        reader.feed(make_response(f"r{number}", 500))
    assert not reader.may_expect("r0") and reader.may_expect("r3")


def test_same_id_is_expected_again_after_an_empty_refusal():
    """A cut copy of it is an error, and a new connection costs a slot."""
    reader = ResponseReader()
    reader.expect("r0", MAX_RESPONSE_BYTES)
    refusal = b"HTTP/1.1 503 X\r\nX-Request-Id: r0\r\nContent-Length: 0\r\n\r\n"
    assert reader.feed(refusal).status == 503
    assert reader.may_expect("r0")


@pytest.mark.parametrize("has_head", [False, True])
def test_long_answer_that_was_outrun_is_no_overrun(has_head):
    """Its upstream would have been paused for a sound answer."""
    answer = make_response("r0", body=bytes(4 * MAX_UNNEEDED_BYTES))
    head, end, body = answer.partition(b"\r\n\r\n")
    reader = ResponseReader()
    reader.expect("r0", MAX_RESPONSE_BYTES)
    if has_head:
        reader.feed(head + end)
    reader.expect_little()
    with pytest.raises(ProtocolError) as raised:
        reader.feed(body[:-1] if has_head else answer[:-1])
    assert raised.type is ProtocolError


class CountingReader(ResponseReader):
    """Counts what the parser calls."""

    calls = 0

    def on_message_begin(self):
        self.calls += 1
        super().on_message_begin()

    def on_header(self, name, value):
        self.calls += 1
        super().on_header(name, value)


@pytest.mark.parametrize(
    ("start", "unit"),
    [
        pytest.param(b"", b"HTTP/1.1 100 C\r\n\r\n", id="interim"),
        pytest.param(b"", make_response("other"), id="copies"),
        pytest.param(b"HTTP/1.1 200 OK\r\n", b"a:b\r\n", id="headers"),
        pytest.param(
            make_response("r0", chunked=True)[:-2], b"a:b\r\n", id="trailers"
        ),
    ],
)
def test_one_piece_takes_little_time_however_much_it_holds(start, unit):
    """Other requests waited for 0.2 s while one piece was read, and failed."""
    reader = CountingReader()
    reader.expect("r0", MAX_RESPONSE_BYTES)
    with pytest.raises(ResponseTooLargeError):
        reader.feed(start + unit * (256 * 1024 // len(unit)))
    assert reader.calls < 2_000


def test_body_that_was_returned_is_not_kept():
    """Each closed connection kept its last body until garbage was collected."""
    reader = ResponseReader()
    reader.expect("r0", MAX_RESPONSE_BYTES)
    response = reader.feed(make_response("r0", body=bytes(1000)))
    holders = [o for o in gc.get_referrers(response) if o is not globals()]
    assert reader not in holders and reader.buffered_bytes < 1000


VALID_CODES = {f"{code:03}" for code in range(100, 600)} - {"101"}
STATUS_CODES = st.one_of(
    st.integers(0, 999).map(lambda code: f"{code:03}"),
    st.sampled_from(["000", "099", "100", "101", "199", "599", "600", "999"]),
    st.sampled_from(
        ["", "0", "20", "1000", "0200", "-01", "+20", "2 0", "2x0"]
    ),
)
STATUS_LINES = st.builds(
    lambda version, code, reason: (f"HTTP/{version} {code}{reason}", code),
    st.sampled_from(["1.0", "1.1"]),
    STATUS_CODES,
    st.sampled_from(["", " ", " OK", " Internal Server Error", " 200 OK"]),
)


def read_until_failure(pieces):
    """Return the responses to one request, and whether reading has failed."""
    reader, responses = ResponseReader(), []
    reader.expect("r0", MAX_RESPONSE_BYTES)
    try:
        for piece in pieces:
            response = reader.feed(piece)
            if response is not None:
                return [response], False
        if (response := reader.end()) is not None:
            responses.append(response)
    except ProtocolError:
        return responses, True
    return responses, False


@given(
    STATUS_LINES,
    st.sampled_from(["length", "chunked", "none"]),
    st.integers(0, 200),
    st.booleans(),
)
def test_response_with_an_invalid_status_is_none(item, framing, cut, is_whole):
    """000 counted as interim, and 600 reached callers (RFC 9110, 15).

    The stream is cut at any byte: there it goes on in the next piece, or ends.
    """
    line, code = item
    is_interim = code in VALID_CODES and code < "200"
    fields = {"length": "Content-Length: 0\r\n", "none": ""}
    fields["chunked"] = "Transfer-Encoding: chunked\r\n"
    ends = "0\r\n\r\n" if framing == "chunked" else ""
    head = f"{line}\r\nX-Request-Id: r0\r\n{fields[framing]}\r\n"
    if is_interim:
        head, ends = f"{line}\r\n\r\n", ""
    data = (head + ends).encode()
    cut = min(cut, len(data))
    if not is_whole:
        responses, _ = read_until_failure([data[:cut]])
        assert not responses or code in VALID_CODES and not is_interim
        return
    pieces = [piece for piece in (data[:cut], data[cut:]) if piece]
    final = make_response("r0")
    responses, has_failed = read_until_failure([*pieces, final])
    if is_interim:
        # HTTP/1.0 has no interim responses, and nothing follows a response.
        is_old = line.startswith("HTTP/1.0")
        assert [r.status for r in responses] == [200] or is_old and has_failed
    elif code in VALID_CODES:
        assert [r.status for r in responses] == [int(code)] or has_failed
    else:
        assert has_failed and not responses


@pytest.mark.parametrize("code", ["000", "099", "101", "600", "999"])
def test_invalid_status_fails_before_its_head_is_complete(code):
    """A copy would wait for the rest of the head until its deadline."""
    start = f"HTTP/1.1 {code} X\r\nServer: s\r\n".encode()
    for cut in range(len(start)):
        assert read_until_failure([start[:cut], start[cut:]]) == ([], True)
