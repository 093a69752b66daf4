"""Decoding of request bodies in chunks, and the bounds of their framing."""

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from runhatch_server.http._body import BodyBuffer, ChunkedBody
from runhatch_server.refusals import Reason

MAX_FRAMING = 20_000
MAX_CHUNK_LINE = 2_000
MAX_TRAILER = 1_000
NEXT_REQUEST = b"GET / HTTP/1.1\r\n"


def make_body():
    return ChunkedBody(BodyBuffer(), MAX_FRAMING, MAX_CHUNK_LINE, MAX_TRAILER)


def frame(parts):
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


def receive(body, wire, sizes=(8_192,)):
    """Pass ``wire`` in pieces of ``sizes``, in turns; return how much was consumed."""
    position = 0
    turn = 0
    while position < len(wire):
        piece = wire[position : position + sizes[turn % len(sizes)]]
        consumed = body.received(piece)
        position += consumed
        turn += 1
        if body.completed or body.error or body.refusal:
            return position
        assert consumed == len(piece)
    return position


@settings(max_examples=200, deadline=None)
@given(
    parts=st.lists(
        st.one_of(
            st.binary(min_size=1, max_size=3),
            st.binary(min_size=1, max_size=200),
            st.builds(lambda size: b"\r\n" * size, st.integers(1, 20)),
        ),
        max_size=80,
    ),
    repeats=st.integers(1, 30),
    sizes=st.lists(st.integers(1, 700), min_size=1, max_size=4),
    trailer=st.sampled_from([b"\r\n", b"a: b\r\n\r\n", b"a: b\r\nc: d\r\n\r\n"]),
)
def test_body_is_the_content_of_all_chunks(parts, repeats, sizes, trailer):
    """However chunks and reads are cut; what follows is left to the next request."""
    parts = [part for part in parts for _ in range(repeats)]
    wire = frame(parts) + b"0\r\n" + trailer
    body = ChunkedBody(BodyBuffer(), 10_000_000, MAX_CHUNK_LINE, MAX_TRAILER)

    consumed = receive(body, wire + NEXT_REQUEST, sizes)

    assert body.completed
    assert consumed == len(wire)
    assert body.getfile().read() == b"".join(parts)


@pytest.mark.parametrize(
    "wire",
    [
        b"x\r\n",
        b"+1\r\na\r\n",
        b"0x1\r\na\r\n",
        b"1_0\r\n",
        b" 1\r\na\r\n",
        b"-1\r\na\r\n",
        b"\r\n",
        b"1\na\r\n",
        b"1\n\r\na\r\n",
        b"1;a\x00b\r\na\r\n",
        b"1;a\nb\r\na\r\n",
        b"1\r\nabc\r\n",
        b"1\r\na\n\n",
        b"11111111111111111\r\n",
        b"1\r\na\r\n1\r\nbc",
    ],
)
def test_malformed_chunk_is_an_error(wire):
    body = make_body()

    receive(body, wire + b"more", (3,))

    assert body.error is not None
    assert not body.completed


@pytest.mark.parametrize(
    "wire",
    [
        b"1" * (MAX_CHUNK_LINE + 1),
        b"1;" + b"a" * MAX_CHUNK_LINE,
        b"0\r\n" + b"a: b\r\n" * (MAX_TRAILER // 6 + 1),
        (b"1;" + b"a" * 1_000 + b"\r\nx\r\n") * 30,
        b"1\r\nx\r\n" * 5_000,
    ],
)
def test_framing_is_bounded(wire):
    body = make_body()

    receive(body, wire)

    assert body.refusal.reason is Reason.FRAMING_TOO_LARGE
    assert not body.completed


def test_small_chunks_take_few_steps():
    """The time for each read is what other connections wait."""
    body = ChunkedBody(BodyBuffer(), 10_000_000, MAX_CHUNK_LINE, MAX_TRAILER)
    body.received(frame([b"x"] * 1_300))

    assert body.step_count < 10


def test_body_is_held_once():
    """A copy would take as much memory again."""
    buffer = BodyBuffer()
    for _ in range(1_000):
        buffer.append(bytes(1_000))

    first, second = buffer.getfile().read(), buffer.getfile().read()

    assert len(first) == 1_000_000
    assert first is second
