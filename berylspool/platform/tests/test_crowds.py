"""Clients that nobody controls, against the system's own processes.

Each test checks only that the process lives, that its peak memory and its open
descriptors stay within the limits of its (lowered) VM, and that one ordinary
request is answered while the crowd is still there.
"""

import contextlib
import socket
import struct

import pytest

from berylspool.common.frame import Codec
from berylspool.connection.message import Hello
from berylspool.platform.tests.own_processes import (
    FRONT_PORT,
    LINK_PORT,
    MAX_FDS,
    OPERATOR_PORT,
    RESERVED_FDS,
    Site,
)
from berylspool.platform.tests.test_forwarding import HOST

# A process that reads no more, or slowly, ends a client's sending.
SEND_TIMEOUT_S = 0.5
MIB = 1024 * 1024
LEGAL_BODY_BYTES = 262_144
BLOCK = b"a" * 65_536


@pytest.fixture
def site(tmp_path, request):
    site = Site(tmp_path, **getattr(request, "param", {}))
    try:
        site.start()
        yield site
    finally:
        site.stop()


def make_head(*lines, method="POST", path="/s/1"):
    text = "\r\n".join([f"{method} {path} HTTP/1.1", f"Host: {HOST}", *lines])
    return (text + "\r\n").encode()


def send_blocks(client, byte_count, encode=bytes):
    """Send a number of bytes in blocks; stop once they are not taken."""
    while byte_count > 0:
        block = BLOCK[:byte_count]
        client.sendall(encode(block))
        byte_count -= len(block)


def encode_chunk(block):
    return b"%x\r\n%s\r\n" % (len(block), block)


def check_crowd(site, role, port, count, send, receive_bytes=None):
    """Let clients send one after the other, stay open, and check the bounds.

    Args:
        site: The processes.
        role: Role of the process to check.
        port: Its port.
        count: Number of clients.
        send: Sends what a client has to send.
        receive_bytes: Size of a client's receive buffer; None for the usual.
    """
    host = site.entry_host if role == "entry" else site.control_host
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            client = stack.enter_context(socket.socket())
            client.settimeout(SEND_TIMEOUT_S)
            if receive_bytes is not None:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
                )
            # A refusal, a close and a pause of reading are all allowed.
            with contextlib.suppress(OSError):
                client.connect((host, port))
                send(client)
        ask = site.ask_entry if role == "entry" else site.ask_control
        try:
            status = ask()
        except OSError as error:
            status = repr(error)
        peak_bytes, descriptors = site.measure(role)
        print(f"peak {peak_bytes / 1e6:.0f} MB, {descriptors} fds, {status}")
        assert peak_bytes <= site.memory_mb * 1_000_000
        assert descriptors <= MAX_FDS - RESERVED_FDS
        assert status == 200, site.logs()


def test_legal_bodies_cut_short(site):
    """300 bodies that lack one byte were all kept in memory."""

    def send(client):
        length = f"Content-Length: {LEGAL_BODY_BYTES}\r\n"
        client.sendall(make_head(length))
        send_blocks(client, LEGAL_BODY_BYTES - 1)

    check_crowd(site, "entry", FRONT_PORT, 300, send)


def test_bodies_over_the_limit_announced(site):
    """24 bodies of 8 MiB were read although their heads announced them."""

    def send(client):
        client.sendall(make_head(f"Content-Length: {8 * MIB}\r\n"))
        send_blocks(client, 4 * MIB)

    check_crowd(site, "entry", FRONT_PORT, 24, send)


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_bodies_over_the_limit_sent(site, form):
    """12 bodies of 8 MiB were kept until their last byte."""

    def send(client):
        if form == "length":
            client.sendall(make_head(f"Content-Length: {8 * MIB}\r\n"))
            send_blocks(client, 8 * MIB - 1)
        else:
            client.sendall(make_head("Transfer-Encoding: chunked\r\n"))
            send_blocks(client, 8 * MIB - 1, encode_chunk)

    check_crowd(site, "entry", FRONT_PORT, 12, send)


def test_heads_that_never_end(site):
    """300 heads of 250 KB were all kept in memory."""

    def send(client):
        client.sendall(make_head())
        for _ in range(50):
            client.sendall(b"X-A: " + b"a" * 4993 + b"\r\n")

    check_crowd(site, "entry", FRONT_PORT, 300, send)


def test_slow_readers(site):
    """150 unread responses of 1 MiB were all kept in memory."""

    def send(client):
        client.sendall(make_head("\r\n", method="GET", path="/s/long")[:-2])

    check_crowd(site, "entry", FRONT_PORT, 150, send, receive_bytes=4096)


@pytest.mark.parametrize("site", [{"memory_mb": 200}], indirect=True)
def test_slow_readers_of_the_longest_responses(site):
    """60 responses of 7 MiB, of which the kernel takes 4, took 511 MB.

    The memory is that of the real VM, as one such response has 7 % of it.
    """

    def send(client):
        client.sendall(make_head("\r\n", method="GET", path="/s/longest")[:-2])

    check_crowd(site, "entry", FRONT_PORT, 60, send, receive_bytes=4096)


def test_many_idle_connections(site):
    """600 idle connections took more descriptors than the VM has."""
    check_crowd(site, "entry", FRONT_PORT, 600, lambda client: None)


def test_half_open_pipelined_requests(site):
    """Each of 12 connections kept a body of 8 MiB behind whole requests."""

    def send(client):
        whole = make_head("\r\n", method="GET")[:-2]
        client.sendall(whole * 20)
        client.sendall(make_head(f"Content-Length: {8 * MIB}\r\n"))
        send_blocks(client, 8 * MIB - 1)

    check_crowd(site, "entry", FRONT_PORT, 12, send)


def test_operators_port(site):
    """12 bodies of 8 MiB that lack one byte were all kept by control."""

    def send(client):
        length = f"Content-Length: {8 * MIB}\r\n"
        client.sendall(make_head(length, path="/-/Config.Replace"))
        send_blocks(client, 8 * MIB - 1)

    check_crowd(site, "control", OPERATOR_PORT, 12, send)


@pytest.mark.parametrize("role", ["entry", "control"])
def test_link_port(site, role):
    """12 frames of 16 MiB from strangers were kept until their time-out."""

    def send(client):
        client.sendall(struct.pack(">I", 16 * MIB))
        send_blocks(client, 8 * MIB)

    check_crowd(site, role, LINK_PORT, 12, send)


@pytest.mark.parametrize("role", ["entry", "control"])
def test_link_port_after_hello(site, role):
    """The same frames behind a `Hello`, which anybody can send."""

    def send(client):
        client.sendall(Codec([Hello]).encode([Hello("stranger")]))
        client.sendall(struct.pack(">I", 16 * MIB))
        send_blocks(client, 8 * MIB)

    check_crowd(site, role, LINK_PORT, 12, send)
