"""The HTTP endpoint that tells load balancers whether to send callers to a proxy."""

from collections.abc import Callable
from contextlib import AsyncExitStack

from aiohttp import web

from beryltiller.core.addresses import Address

READINESS_PATH = "/beryltiller/readiness"


async def serve_readiness(
    stack: AsyncExitStack, address: Address, is_ready: Callable[[], bool]
) -> None:
    """Answer with status 200 if `is_ready`, else 503, until `stack` closes."""

    async def handle(request: web.Request) -> web.Response:
        return web.Response(status=200 if is_ready() else 503)

    app = web.Application()
    app.router.add_get(READINESS_PATH, handle)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, address.ip, address.port).start()
