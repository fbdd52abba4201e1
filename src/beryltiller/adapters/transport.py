"""Turn HTTP failures into the two errors that the ports know.

A failure before the request left is a refusal; any failure after is a lost
answer. `aiohttp` never repeats a POST by itself, so one call is one request.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp
import msgspec

from beryltiller.core.ports import LostAnswerError, RefusedError

MAX_ANSWER_BYTES = 16 * 1024 * 1024

_NO_HEADERS: Mapping[str, str] = {}


class RefusalModel(msgspec.Struct, frozen=True):
    """Hold the body of a refusal."""

    code: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold a whole HTTP answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def raise_refusal(reply: Reply) -> None:
    """Raise the refusal that the body states, or a lost answer if it states none."""
    try:
        model = msgspec.json.decode(reply.body, type=RefusalModel)
    except msgspec.MsgspecError as error:
        raise LostAnswerError(f"status {reply.status} without a code") from error
    raise RefusedError(model.code, model.reason)


async def _whole(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body, or close the connection when it is too long."""
    length = response.content_length
    if length is not None and length <= max_bytes:
        return await response.read()
    data = bytearray()
    async for chunk in response.content.iter_any():
        data += chunk
        if len(data) > max_bytes:
            response.close()
            raise LostAnswerError(f"an answer of more than {max_bytes} bytes")
    return bytes(data)


async def exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes | None = None,
    headers: Mapping[str, str] = _NO_HEADERS,
    timeout: aiohttp.ClientTimeout | None = None,
    max_bytes: int = MAX_ANSWER_BYTES,
) -> Reply:
    """Send one request and return its whole answer, whatever its status.

    Raise `RefusedError` when it could not be sent, and `LostAnswerError` when it may
    have been carried out all the same.
    """
    try:
        async with session.request(
            method,
            url,
            data=body,
            headers=headers,
            timeout=timeout or session.timeout,
        ) as response:
            data = await _whole(response, max_bytes)
            return Reply(response.status, response.headers, data)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise RefusedError("unreachable", str(error)) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise LostAnswerError(f"{method} {url}: {error!r}") from error


async def send(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes | None = None,
    headers: Mapping[str, str] = _NO_HEADERS,
    timeout: aiohttp.ClientTimeout | None = None,
    max_bytes: int = MAX_ANSWER_BYTES,
) -> Reply:
    """Send one request and return its whole answer.

    Raise `RefusedError` when it could not be sent or was refused, and
    `LostAnswerError` when it may have been carried out all the same. A 404 is
    returned, not raised.
    """
    reply = await exchange(session, method, url, body, headers, timeout, max_bytes)
    if reply.status >= 400 and reply.status != 404:
        raise_refusal(reply)
    return reply
