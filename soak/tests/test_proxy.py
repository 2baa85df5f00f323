"""The proxy impairs the connections that it is set to, and no others."""

import asyncio
import contextlib

import pytest

from berylspool.tests.cluster import free_ports
from soak.proxy import Harm, Proxy

PATIENCE_S = 5.0
SILENCE_S = 0.3


async def echo(reader, writer):
    with contextlib.suppress(OSError):
        while data := await reader.read(100):
            writer.write(data)
            await writer.drain()
    writer.close()


def play(script):
    async def run():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        proxy = Proxy(server.sockets[0].getsockname()[:2])
        [port] = free_ports(1)
        await proxy.start(port)
        try:
            async with asyncio.timeout(PATIENCE_S):
                await script(proxy, port)
        finally:
            await proxy.stop()
            server.close()

    asyncio.run(run())


async def ask(reader, writer):
    writer.write(b"hello")
    return await reader.read(100)


async def is_silent(reader, writer):
    try:
        async with asyncio.timeout(SILENCE_S):
            await ask(reader, writer)
    except TimeoutError:
        return True
    return False


def test_bytes_pass_unharmed():
    async def script(proxy, port):
        stream = await asyncio.open_connection("127.0.0.1", port)
        assert await ask(*stream) == b"hello"

    play(script)


def test_a_reset_closes_open_connections():
    async def script(proxy, port):
        stream = await asyncio.open_connection("127.0.0.1", port)
        assert await ask(*stream) == b"hello"
        proxy.set_harm(Harm.RESET)
        with contextlib.suppress(ConnectionError):
            assert await stream[0].read(100) == b""

    play(script)


@pytest.mark.parametrize("harm", [Harm.CUT_FORWARD, Harm.CUT_BACK])
def test_a_cut_drops_bytes_of_new_connections_too(harm):
    async def script(proxy, port):
        proxy.set_harm(harm)
        stream = await asyncio.open_connection("127.0.0.1", port)
        assert await is_silent(*stream)

    play(script)


def test_open_connections_stay_silent_while_new_ones_work():
    async def script(proxy, port):
        old = await asyncio.open_connection("127.0.0.1", port)
        assert await ask(*old) == b"hello"
        proxy.set_harm(Harm.SILENCE_OPEN)
        assert await is_silent(*old)
        new = await asyncio.open_connection("127.0.0.1", port)
        assert await ask(*new) == b"hello"

    play(script)
