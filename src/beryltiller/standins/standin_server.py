"""Faults, refusals and the server loop, which both stand-ins share."""

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
ANSWER_FAULT_EXEMPT_PATHS = frozenset({"/connections", "/log"})


class Faults(msgspec.Struct, omit_defaults=True):
    """The faults of a stand-in; `POST /faults` replaces the fields that it names.

    `refuse` answers every request with 409 and runs nothing. `hang` runs no further
    request and answers none, not even those that already run. The next `lose_answers`
    requests run, but their connections are closed without an answer; of the next
    `halve_answers` answers, only half is sent. Both count POST requests, without those
    that open connections or replicate. `cut_from` hangs requests from these source
    addresses. `delay_ms` delays each request before it runs. `lag_ms` is the lag of a
    database's replication, or of the platform's host list. A database that is
    `leaving` reports that it will be removed from service, and refuses new
    connections.
    """

    refuse: bool = False
    hang: bool = False
    lose_answers: int = 0
    halve_answers: int = 0
    delay_ms: float = 0.0
    lag_ms: float = 0.0
    cut_from: list[str] = []
    leaving: bool = False


def refusal_response(error: RefusedError) -> web.Response:
    """Return the answer for a request of which nothing ran: 409, code and reason."""
    body = {"code": error.code, "reason": error.reason}
    return web.json_response(body, status=REFUSAL_STATUS)


def is_cut_off(faults: Faults, request: web.Request) -> bool:
    """Return True if the request comes from an address that is cut off."""
    return (request.remote or "") in faults.cut_from


async def hang_request(request: web.Request) -> web.StreamResponse:
    """Leave a request unanswered until its caller gives up; close its connection."""
    try:
        await asyncio.Event().wait()
    finally:
        abort_connection(request)
    raise web.HTTPServiceUnavailable


def abort_connection(request: web.Request) -> None:
    """Abort the request's TCP connection without an answer."""
    if request.transport is not None:
        request.transport.abort()


async def send_half(
    request: web.Request, full_response: web.Response
) -> web.StreamResponse:
    """Send an answer with the first half of its body, and abort the connection."""
    response = web.StreamResponse(
        status=full_response.status, headers=full_response.headers
    )
    body = bytes(full_response.body) if isinstance(full_response.body, bytes) else b""
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    abort_connection(request)
    return response


async def _apply_answer_faults(
    faults: Faults, request: web.Request, response: web.StreamResponse
) -> web.StreamResponse:
    if faults.hang or is_cut_off(faults, request):
        return await hang_request(request)
    if request.method != "POST" or request.path in ANSWER_FAULT_EXEMPT_PATHS:
        return response
    if faults.lose_answers > 0:
        faults.lose_answers -= 1
        abort_connection(request)
    elif faults.halve_answers > 0 and isinstance(response, web.Response):
        faults.halve_answers -= 1
        return await send_half(request, response)
    return response


async def _handle_with_faults(
    faults: Faults, request: web.Request, handler: Handler
) -> web.StreamResponse:
    if faults.hang or is_cut_off(faults, request):
        return await hang_request(request)
    if faults.refuse:
        return refusal_response(
            RefusedError("fault", "the fault `refuse` is switched on")
        )
    if faults.delay_ms:
        await asyncio.sleep(faults.delay_ms / 1000)
    try:
        response = await handler(request)
    except RefusedError as error:
        return refusal_response(error)
    return await _apply_answer_faults(faults, request, response)


def faults_middleware(faults: Faults, exempt: str = "/faults") -> Any:
    """Return a middleware that applies the faults to requests.

    Requests to the path `exempt` are not affected, so that faults can be switched off.
    """

    @web.middleware
    async def apply(request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path == exempt:
            return await handler(request)
        return await _handle_with_faults(faults, request, handler)

    return apply


def faults_handler(faults: Faults) -> Handler:
    """Return the handler of `POST /faults`, which changes the named fields.

    It answers with all fields.
    """

    async def handle(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        changed_fields = msgspec.json.decode(body, type=dict[str, Any])
        merged = {**msgspec.structs.asdict(faults), **changed_fields}
        validated = msgspec.convert(merged, type=Faults)
        for name in Faults.__struct_fields__:
            setattr(faults, name, getattr(validated, name))
        return web.json_response(msgspec.to_builtins(faults))

    return handle


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of `ip:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def serve(
    app: web.Application,
    listen: str,
    background_work: Callable[[], Coroutine[Any, Any, None]] | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT, and print the bound address as a JSON line.

    `background_work` runs as a task beside the server and is cancelled at the end.
    """
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
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    task = loop.create_task(background_work()) if background_work else None
    await stopped.wait()
    if task:
        task.cancel()
    await runner.cleanup()


def make_flag_parser(description: str) -> argparse.ArgumentParser:
    """Return an argument parser with `--listen`, which both stand-ins take."""
    flag_parser = argparse.ArgumentParser(description=description)
    flag_parser.add_argument("--listen", default="127.0.0.1:0", metavar="IP:PORT")
    return flag_parser
