"""The proxy impairs the connections that it is set to, and no others."""

import asyncio
import contextlib

import pytest

from berylspool.tests.cluster import free_ports
from soak.proxy import Impairment, Proxy

SCENARIO_TIMEOUT_S = 5.0
SILENCE_TIMEOUT_S = 0.3


async def echo(reader, writer):
    with contextlib.closing(writer), contextlib.suppress(OSError):
        while data := await reader.read(100):
            writer.write(data)
            await writer.drain()


def run_scenario(scenario):
    async def run():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        proxy = Proxy(server.sockets[0].getsockname()[:2])
        [port] = free_ports(1)
        await proxy.start(port)
        streams = []

        async def connect():
            streams.append(await asyncio.open_connection("127.0.0.1", port))
            return streams[-1]

        try:
            async with asyncio.timeout(SCENARIO_TIMEOUT_S):
                await scenario(proxy, connect)
        finally:
            for _, writer in streams:
                writer.transport.abort()
            await proxy.stop()
            server.close()
            # Writers that are open when the loop closes fail in a finalizer.
            await asyncio.sleep(0.01)

    asyncio.run(run())


async def request_echo(reader, writer):
    writer.write(b"hello")
    return await reader.read(100)


async def is_silent(reader, writer):
    try:
        async with asyncio.timeout(SILENCE_TIMEOUT_S):
            await request_echo(reader, writer)
    except TimeoutError:
        return True
    return False


def test_bytes_pass_without_an_impairment():
    async def scenario(proxy, connect):
        stream = await connect()
        assert await request_echo(*stream) == b"hello"

    run_scenario(scenario)


def test_reset_closes_open_connections():
    async def scenario(proxy, connect):
        stream = await connect()
        assert await request_echo(*stream) == b"hello"
        proxy.set_impairment(Impairment.RESET)
        with contextlib.suppress(ConnectionError):
            assert await stream[0].read(100) == b""

    run_scenario(scenario)


@pytest.mark.parametrize(
    "impairment", [Impairment.CUT_FORWARD, Impairment.CUT_BACK]
)
def test_one_way_cut_drops_bytes_of_new_connections(impairment):
    async def scenario(proxy, connect):
        proxy.set_impairment(impairment)
        stream = await connect()
        assert await is_silent(*stream)

    run_scenario(scenario)


def test_open_connections_stay_silent_while_new_ones_work():
    async def scenario(proxy, connect):
        old = await connect()
        assert await request_echo(*old) == b"hello"
        proxy.set_impairment(Impairment.SILENCE_OPEN)
        assert await is_silent(*old)
        new = await connect()
        assert await request_echo(*new) == b"hello"

    run_scenario(scenario)
