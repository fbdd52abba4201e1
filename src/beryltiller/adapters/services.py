"""Adapters to the platform's table service, object store and host list."""

import base64
from collections.abc import Sequence
from typing import TypeVar

import aiohttp
import msgspec

from beryltiller.adapters import transport
from beryltiller.core.ports import Host, HostKind, LostAnswerError, Row, Scan, Write

_T = TypeVar("_T")

NOT_FOUND = 404


class RowModel(msgspec.Struct, frozen=True):
    """Hold a row as the table service sends it; `value` is base64."""

    key: str
    version: int
    value: str


class ScanModel(msgspec.Struct, frozen=True):
    """Hold a scan as the table service sends it."""

    revision: int
    rows: tuple[RowModel, ...]


class VersionsModel(msgspec.Struct, frozen=True):
    """Hold the answer to a committed transaction."""

    versions: tuple[int, ...]


class HostModel(msgspec.Struct, frozen=True):
    """Hold a host as the platform lists it."""

    name: str
    kind: HostKind
    address: str
    availability_zone: str
    is_leaving: bool = False


class HostsModel(msgspec.Struct, frozen=True):
    """Hold the platform's host list."""

    hosts: tuple[HostModel, ...]


def _decoded(body: bytes, model: type[_T]) -> _T:
    try:
        return msgspec.json.decode(body, type=model)
    except msgspec.MsgspecError as error:
        raise LostAnswerError(f"unreadable answer: {error}") from error


def _row(model: RowModel) -> Row:
    return Row(model.key, model.version, base64.b64decode(model.value))


def _write(write: Write) -> dict[str, object]:
    return {
        "table": write.table,
        "key": write.key,
        "expected": write.expected,
        "value": base64.b64encode(write.value).decode(),
    }


class Platform:
    """Speak to the platform over HTTP; implements its three ports.

    `address` is `ip:port`. The session, with its timeout, belongs to the caller.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Use `session` for every request."""
        self._session = session
        self._url = f"http://{address}"

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None when there is none."""
        reply = await self._send("GET", f"/tables/{table}/rows/{key}")
        if reply.status == NOT_FOUND:
            return None
        return _row(_decoded(reply.body, RowModel))

    async def scan(self, table: str, since: int = 0) -> Scan:
        """Return the rows whose last write is after revision `since`."""
        reply = await self._send("GET", f"/tables/{table}/rows?since={since}")
        model = _decoded(reply.body, ScanModel)
        return Scan(model.revision, tuple(map(_row, model.rows)))

    async def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Commit all writes and return their new versions."""
        body = msgspec.json.encode({"writes": [_write(write) for write in writes]})
        reply = await self._send("POST", "/transactions", body)
        return _decoded(reply.body, VersionsModel).versions

    async def get(self, name: str) -> bytes | None:
        """Return the object, or None when there is none."""
        reply = await self._send("GET", f"/objects/{name}")
        return None if reply.status == NOT_FOUND else reply.body

    async def put(self, name: str, data: bytes) -> None:
        """Replace the object."""
        await self._send("PUT", f"/objects/{name}", data)

    async def hosts(self) -> tuple[Host, ...]:
        """Return the hosts in the platform's list, which lags."""
        reply = await self._send("GET", "/hosts")
        models = _decoded(reply.body, HostsModel).hosts
        return tuple(
            Host(
                each.name,
                each.kind,
                each.address,
                each.availability_zone,
                each.is_leaving,
            )
            for each in models
        )

    async def _send(
        self, method: str, path: str, body: bytes | None = None
    ) -> transport.Reply:
        return await transport.send(self._session, method, self._url + path, body)
