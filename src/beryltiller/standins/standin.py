"""What both stand-ins share: fault switches, refusals, and running a server."""

import argparse
import asyncio
import json
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec
from aiohttp import web

from beryltiller.core.ports import RefusedError

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

REFUSAL_STATUS = 409
UNSPOILED_PATHS = frozenset({"/connections", "/log"})


class Faults(msgspec.Struct, omit_defaults=True):
    """Switch faults on; `POST /faults` merges the fields it names.

    `refuse` answers 409 with nothing run. `hang` never answers and runs nothing.
    `lose_answers` runs that many requests and closes without answering, and
    `halve_answers` sends half of that many answers; both count POST requests, but
    for opening connections and replication. `cut_from` hangs requests from these
    source addresses. Delays and lags are in milliseconds.
    """

    refuse: bool = False
    hang: bool = False
    lose_answers: int = 0
    halve_answers: int = 0
    delay_ms: float = 0.0
    lag_ms: float = 0.0
    cut_from: list[str] = []
    leaving: bool = False


def refusal(error: RefusedError) -> web.Response:
    """Return the answer that proves that nothing ran."""
    body = {"code": error.code, "reason": error.reason}
    return web.json_response(body, status=REFUSAL_STATUS)


def is_cut(faults: Faults, request: web.Request) -> bool:
    """Tell whether the request comes from an address that is cut off."""
    return (request.remote or "") in faults.cut_from


async def never(request: web.Request) -> web.StreamResponse:
    """Hold a request until its caller gives up, then close the connection."""
    try:
        await asyncio.Event().wait()
    finally:
        close(request)
    raise web.HTTPServiceUnavailable


def close(request: web.Request) -> None:
    """Close the request's TCP connection without an answer."""
    if request.transport is not None:
        request.transport.abort()


async def half(request: web.Request, whole: web.Response) -> web.StreamResponse:
    """Send the first half of an answer and close the connection."""
    response = web.StreamResponse(status=whole.status, headers=whole.headers)
    body = bytes(whole.body) if isinstance(whole.body, bytes) else b""
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    close(request)
    return response


async def _spoil(
    faults: Faults, request: web.Request, response: web.StreamResponse
) -> web.StreamResponse:
    if faults.hang or is_cut(faults, request):
        return await never(request)
    if request.method != "POST" or request.path in UNSPOILED_PATHS:
        return response
    if faults.lose_answers > 0:
        faults.lose_answers -= 1
        close(request)
    elif faults.halve_answers > 0 and isinstance(response, web.Response):
        faults.halve_answers -= 1
        return await half(request, response)
    return response


async def _answer(
    faults: Faults, request: web.Request, handler: Handler
) -> web.StreamResponse:
    if faults.hang or is_cut(faults, request):
        return await never(request)
    if faults.refuse:
        return refusal(RefusedError("fault", "out of service"))
    if faults.delay_ms:
        await asyncio.sleep(faults.delay_ms / 1000)
    try:
        response = await handler(request)
    except RefusedError as error:
        return refusal(error)
    return await _spoil(faults, request, response)


def with_faults(faults: Faults, exempt: str = "/faults") -> Any:
    """Return a middleware that applies the switched faults to every request."""

    @web.middleware
    async def apply(request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path == exempt:
            return await handler(request)
        return await _answer(faults, request, handler)

    return apply


def faults_handler(faults: Faults) -> Handler:
    """Return the handler of `POST /faults`, which merges the named fields."""

    async def handle(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        changed = msgspec.json.decode(body, type=dict[str, Any])
        merged = {**msgspec.structs.asdict(faults), **changed}
        checked = msgspec.convert(merged, type=Faults)
        for name in Faults.__struct_fields__:
            setattr(faults, name, getattr(checked, name))
        return web.json_response(msgspec.to_builtins(faults))

    return handle


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of `ip:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def serve(
    app: web.Application,
    listen: str,
    work: Callable[[], Coroutine[Any, Any, None]] | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT; print the bound address as one JSON line."""
    host, port = split_address(listen)
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=0.2, keepalive_timeout=3600
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    bound = runner.addresses[0]
    print(json.dumps({"listening": f"{bound[0]}:{bound[1]}"}), flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    task = loop.create_task(work()) if work else None
    await stopped.wait()
    if task:
        task.cancel()
    await runner.cleanup()


def parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the flags that both stand-ins take."""
    made = argparse.ArgumentParser(description=description)
    made.add_argument("--listen", default="127.0.0.1:0", metavar="IP:PORT")
    return made
