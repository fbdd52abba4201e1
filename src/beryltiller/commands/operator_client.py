"""A client of the operator ports of proxies, for one or several at once."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar

import aiohttp
import msgspec

from beryltiller.commands.command_errors import CommandError, ExitCode
from beryltiller.core.addresses import Address
from beryltiller.core.decoding import DecodingError, decode_json

_Model = TypeVar("_Model")

_NOT_FOUND = 404
_FIRST_ERROR_STATUS = 400
_FIRST_SERVER_ERROR_STATUS = 500
_MAX_SHOWN_CHARACTERS = 200


class ReasonModel(msgspec.Struct):
    """The body of a proxy's error answer."""

    reason: str = ""
    field: str = ""


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """A client of one proxy's operator port; each request opens its own connection.

    Its methods raise CommandError when the proxy does not answer or refuses.
    """

    address: Address
    timeout_seconds: float

    async def get(self, path: str, model: type[_Model]) -> _Model | None:
        """Return the answer to a GET request, or None for status 404."""
        body = await self._send("GET", path, None)
        return None if body is None else self._decode(body, model)

    async def post(
        self,
        path: str,
        model: type[_Model],
        request_model: msgspec.Struct | None = None,
    ) -> _Model | None:
        """Return the answer to a POST request, or None for status 404.

        Raise CommandError with `ExitCode.UNKNOWN` if the answer is lost: the change
        may have been made.
        """
        request_body = (
            b"" if request_model is None else msgspec.json.encode(request_model)
        )
        body = await self._send("POST", path, request_body)
        return None if body is None else self._decode(body, model)

    async def _send(
        self, method: str, path: str, request_body: bytes | None
    ) -> bytes | None:
        timeout = aiohttp.ClientTimeout(total=self.timeout_seconds)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, f"http://{self.address}{path}", data=request_body
                ) as response,
            ):
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            cause = f"no proxy answers at {self.address} ({error.strerror})"
            remedy = "check --operator-address and that the proxy is running"
            raise CommandError(ExitCode.UNREACHABLE, cause, remedy) from error
        except (aiohttp.ClientError, OSError) as error:
            raise self._lost_answer_error(method) from error
        if response.status == _NOT_FOUND:
            return None
        if response.status >= _FIRST_ERROR_STATUS:
            raise self._refusal_error(method, response.status, body)
        return body

    def _lost_answer_error(self, method: str) -> CommandError:
        cause = (
            f"{self.address} gave no complete answer within {self.timeout_seconds} s"
        )
        if method == "GET":
            remedy = "try again, or give a longer --timeout-seconds"
            return CommandError(ExitCode.FAILED, cause, remedy)
        remedy = "the request may have taken effect; check with `beryltiller status`"
        return CommandError(ExitCode.UNKNOWN, cause, remedy)

    def _refusal_error(self, method: str, status: int, body: bytes) -> CommandError:
        try:
            error_answer = decode_json(body, ReasonModel)
            reason = (
                f"{error_answer.field}: {error_answer.reason}"
                if error_answer.field
                else error_answer.reason
            )
        except DecodingError:
            reason = body[:_MAX_SHOWN_CHARACTERS].decode("utf-8", "replace")
        cause = f"{self.address} refused with {status}: {reason or 'no reason given'}"
        if method == "POST" and status >= _FIRST_SERVER_ERROR_STATUS:
            remedy = "the change may have begun; check with `beryltiller status`"
            return CommandError(ExitCode.UNKNOWN, cause, remedy)
        return CommandError(ExitCode.FAILED, cause, "nothing was changed")

    def _decode(self, body: bytes, model: type[_Model]) -> _Model:
        try:
            return decode_json(body, model)
        except DecodingError as error:
            cause = f"{self.address} sent an answer that cannot be decoded ({error})"
            remedy = "check that it is the operator port of a proxy of this release"
            raise CommandError(ExitCode.FAILED, cause, remedy) from error


async def get_from_all(
    clients: Sequence[OperatorClient], path: str, model: type[_Model]
) -> tuple[_Model | CommandError | None, ...]:
    """Send the same GET request to all proxies at once.

    Return for each, in the order of `clients`, its answer, None for status 404, or
    the error.
    """
    return tuple(
        await asyncio.gather(
            *(_get_or_error(client, path, model) for client in clients)
        )
    )


async def _get_or_error(
    client: OperatorClient, path: str, model: type[_Model]
) -> _Model | CommandError | None:
    try:
        return await client.get(path, model)
    except CommandError as error:
        return error
