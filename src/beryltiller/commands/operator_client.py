"""Requests to the operators' ports of proxies, one or many at once."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar

import aiohttp
import msgspec

from beryltiller.commands.command_errors import CommandError, ExitCode
from beryltiller.core.addresses import Address

_Model = TypeVar("_Model")

_NOT_FOUND = 404
_FIRST_ERROR_STATUS = 400
_FIRST_SERVER_ERROR_STATUS = 500
_MAX_SHOWN_CHARACTERS = 200


class ReasonModel(msgspec.Struct):
    """Hold what a proxy's error body says."""

    reason: str = ""
    field: str = ""


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """Speak to one proxy's operators' port."""

    address: Address
    timeout_seconds: float

    async def get(self, path: str, model: type[_Model]) -> _Model | None:
        """Return what is at the path, or None when the proxy has no such thing."""
        body = await self._send("GET", path, None)
        return None if body is None else self._decoded(body, model)

    async def post(
        self, path: str, model: type[_Model], asked: msgspec.Struct | None = None
    ) -> _Model | None:
        """Ask for a change; an answer that is lost leaves its outcome unknown."""
        sent = b"" if asked is None else msgspec.json.encode(asked)
        body = await self._send("POST", path, sent)
        return None if body is None else self._decoded(body, model)

    async def _send(self, method: str, path: str, sent: bytes | None) -> bytes | None:
        timeout = aiohttp.ClientTimeout(total=self.timeout_seconds)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, f"http://{self.address}{path}", data=sent
                ) as response,
            ):
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            cause = f"no proxy answers at {self.address} ({error.strerror})"
            mend = "check --operator-address and that the proxy runs"
            raise CommandError(ExitCode.UNREACHABLE, cause, mend) from error
        except (aiohttp.ClientError, OSError) as error:
            raise self._lost(method) from error
        if response.status == _NOT_FOUND:
            return None
        if response.status >= _FIRST_ERROR_STATUS:
            raise self._refused(method, response.status, body)
        return body

    def _lost(self, method: str) -> CommandError:
        cause = f"{self.address} gave no answer within {self.timeout_seconds} s"
        if method == "GET":
            mend = "try again, or give a longer --timeout-seconds"
            return CommandError(ExitCode.FAILED, cause, mend)
        mend = "it may have taken effect; look with `beryltiller status`"
        return CommandError(ExitCode.UNKNOWN, cause, mend)

    def _refused(self, method: str, status: int, body: bytes) -> CommandError:
        try:
            said = msgspec.json.decode(body, type=ReasonModel)
            reason = f"{said.field}: {said.reason}" if said.field else said.reason
        except msgspec.MsgspecError:
            reason = body[:_MAX_SHOWN_CHARACTERS].decode("utf-8", "replace")
        cause = f"{self.address} refused with {status}: {reason or 'no reason given'}"
        if method == "POST" and status >= _FIRST_SERVER_ERROR_STATUS:
            mend = "it may have begun; look with `beryltiller status`"
            return CommandError(ExitCode.UNKNOWN, cause, mend)
        return CommandError(ExitCode.FAILED, cause, "nothing was changed")

    def _decoded(self, body: bytes, model: type[_Model]) -> _Model:
        try:
            return msgspec.json.decode(body, type=model)
        except msgspec.MsgspecError as error:
            cause = f"{self.address} gave an unreadable answer ({error})"
            mend = "check that it is an operators' port of this release"
            raise CommandError(ExitCode.FAILED, cause, mend) from error


async def get_from_all(
    clients: Sequence[OperatorClient], path: str, model: type[_Model]
) -> tuple[_Model | CommandError | None, ...]:
    """Ask all proxies at once; return an answer or an error for each."""
    return tuple(
        await asyncio.gather(*(_answer_or_error(each, path, model) for each in clients))
    )


async def _answer_or_error(
    client: OperatorClient, path: str, model: type[_Model]
) -> _Model | CommandError | None:
    try:
        return await client.get(path, model)
    except CommandError as error:
        return error
