"""Helpers that run the stand-in servers inside a test, on loopback ports."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import aiohttp
from aiohttp import web

from beryltiller.adapters.endpoints import HttpEndpoint
from beryltiller.adapters.platform_client import PlatformClient
from beryltiller.standins.database_connections import DatabaseCapacity
from beryltiller.standins.database_standin import DatabaseStandin
from beryltiller.standins.platform_standin import PlatformStandin

LOOPBACK = "127.0.0.1"
UNTIL_TIMEOUT_SECONDS = 5.0
CAPACITY_WITHOUT_DELAYS = DatabaseCapacity(
    slots=2, connection_cap=3, connect_seconds=0.0, service_seconds=0.0
)


async def start(stack: AsyncExitStack, app: web.Application) -> str:
    """Serve `app` until `stack` closes; return its `ip:port`."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, LOOPBACK, 0).start()
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


async def client(
    stack: AsyncExitStack, timeout_seconds: float = 5.0
) -> aiohttp.ClientSession:
    """Return an HTTP session that `stack` closes."""
    timeout = aiohttp.ClientTimeout(total=timeout_seconds)
    return await stack.enter_async_context(aiohttp.ClientSession(timeout=timeout))


async def platform(
    stack: AsyncExitStack, timeout_seconds: float = 5.0
) -> tuple[PlatformStandin, PlatformClient]:
    """Start a platform stand-in; return it and a client of it."""
    standin = PlatformStandin()
    address = await start(stack, standin.app)
    return standin, PlatformClient(await client(stack, timeout_seconds), address)


async def database(
    stack: AsyncExitStack,
    name: str = "d1",
    capacity: DatabaseCapacity = CAPACITY_WITHOUT_DELAYS,
) -> tuple[DatabaseStandin, HttpEndpoint, str]:
    """Start a database stand-in that replicates; return it, a client, its address."""
    standin = DatabaseStandin(name, capacity)
    address = await start(stack, standin.app)
    replication = asyncio.get_running_loop().create_task(standin.replicate())
    stack.callback(replication.cancel)
    return standin, HttpEndpoint(await client(stack), address, LOOPBACK), address


async def until(check: Callable[[], Awaitable[bool]]) -> None:
    """Wait until `check()` returns True; raise `TimeoutError` if it takes too long."""
    async with asyncio.timeout(UNTIL_TIMEOUT_SECONDS):
        while not await check():
            # Waiting for a thread lets the event loop serve its sockets, without a
            # fixed delay between two checks.
            await asyncio.to_thread(lambda: None)
