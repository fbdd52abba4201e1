"""HTTP requests whose failures are raised as the errors of the ports.

A failure before the request was sent raises `RefusedError`; any later failure raises
`LostAnswerError`. `aiohttp` never repeats a POST by itself, so one call sends one
request; it may repeat a GET or PUT once, which is harmless.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import aiohttp
import msgspec

from beryltiller.core.decoding import DecodingError, decode_json
from beryltiller.core.ports import LostAnswerError, RefusedError

MAX_ANSWER_BYTES = 16 * 1024 * 1024

_NO_HEADERS: Mapping[str, str] = {}


class RefusalModel(msgspec.Struct, frozen=True):
    """The body of an HTTP answer that refuses the request."""

    code: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP answer; its body arrived within `body_seconds`."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    body_seconds: float = 0.0


def raise_refusal(reply: Reply) -> None:
    """Raise the `RefusedError` in the body of an answer with an error status.

    Raise `LostAnswerError` if the body holds no refusal.
    """
    try:
        model = decode_json(reply.body, RefusalModel)
    except DecodingError as error:
        raise LostAnswerError(
            f"answer with status {reply.status} has no refusal code"
        ) from error
    raise RefusedError(model.code, model.reason)


async def _read_body(
    response: aiohttp.ClientResponse,
    body: bytearray,
    max_bytes: int,
    silence_seconds: float | None,
) -> None:
    """Append the body to `body` as it arrives.

    If it is longer than `max_bytes`, close the connection and raise
    `LostAnswerError`. Raise `TimeoutError` if nothing arrives for `silence_seconds`.
    """
    while True:
        async with asyncio.timeout(silence_seconds):
            chunk = await response.content.readany()
        if not chunk:
            return
        body += chunk
        if len(body) > max_bytes:
            response.close()
            raise LostAnswerError(f"answer is longer than {max_bytes} bytes")


async def exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes | None = None,
    headers: Mapping[str, str] = _NO_HEADERS,
    timeout: aiohttp.ClientTimeout | None = None,
    max_bytes: int = MAX_ANSWER_BYTES,
    silence_seconds: float | None = None,
    on_body: Callable[[int], None] | None = None,
) -> Reply:
    """Send one request and return its complete answer, whatever its status.

    Besides `timeout`, a body is given up if nothing of it arrives for
    `silence_seconds`. A `timeout` without a total thus leaves a large answer the time
    that it needs on a slow link. `on_body` is called when the body begins, with its
    size in bytes, or 0 if that is not known.

    Raise `RefusedError` if it could not be sent, and `LostAnswerError` if it may have
    been carried out but no complete answer arrived; that error tells how much did.
    """
    loop = asyncio.get_running_loop()
    answer = bytearray()
    try:
        async with session.request(
            method,
            url,
            data=body,
            headers=headers,
            timeout=timeout or session.timeout,
        ) as response:
            began_at = loop.time()
            if on_body is not None:
                on_body(response.content_length or 0)
            await _read_body(response, answer, max_bytes, silence_seconds)
            seconds = loop.time() - began_at
            return Reply(response.status, response.headers, bytes(answer), seconds)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise RefusedError("unreachable", str(error)) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = f"{error!r} after {len(answer)} bytes of the answer"
        raise LostAnswerError(f"{method} {url}: {reason}") from error


async def send(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes | None = None,
    headers: Mapping[str, str] = _NO_HEADERS,
    timeout: aiohttp.ClientTimeout | None = None,
    max_bytes: int = MAX_ANSWER_BYTES,
) -> Reply:
    """Send one request and return its complete answer, unless it is a refusal.

    Raise `RefusedError` if it could not be sent or was refused, and `LostAnswerError`
    if it may have been carried out but no complete answer arrived. An answer with
    status 404 is returned, since its meaning depends on what was requested.
    """
    reply = await exchange(session, method, url, body, headers, timeout, max_bytes)
    if reply.status >= 400 and reply.status != 404:
        raise_refusal(reply)
    return reply
