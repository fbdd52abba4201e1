"""HTTP client of the platform's table service, object store and host list.

The users' platform of `beryltiller.platform` has other protocols.
"""

import base64
from collections.abc import Sequence
from typing import TypeVar

import aiohttp
import msgspec

from beryltiller.adapters import transport
from beryltiller.core.addresses import Address
from beryltiller.core.decoding import Count, DecodingError, decode_items, decode_json
from beryltiller.core.paths import PathError, url_path
from beryltiller.core.ports import (
    Host,
    HostKind,
    LostAnswerError,
    RefusedError,
    Row,
    TableRows,
    Write,
)
from beryltiller.observability import logs, session_events

_T = TypeVar("_T")

NOT_FOUND = 404


class RowModel(msgspec.Struct, frozen=True):
    """A row as the table service sends it; `value` is base64."""

    key: str
    version: Count
    value: str


class ScanModel(msgspec.Struct, frozen=True):
    """The rows of a scan as the table service sends them."""

    revision: Count
    rows: tuple[RowModel, ...]


class VersionsModel(msgspec.Struct, frozen=True):
    """The answer to a commit, with the rows' new versions."""

    versions: tuple[Count, ...]


class HostModel(msgspec.Struct, frozen=True):
    """A host in the platform's list."""

    name: str
    kind: HostKind
    address: str
    availability_zone: str
    is_leaving: bool = False

    def __post_init__(self) -> None:
        """Raise `ValueError` unless the address is that of one process."""
        Address.parse_remote(self.address)


class HostsModel(msgspec.Struct, frozen=True):
    """The platform's host list; hosts are decoded one by one."""

    hosts: tuple[msgspec.Raw, ...]


def _decode(body: bytes, model: type[_T]) -> _T:
    try:
        return decode_json(body, model)
    except DecodingError as error:
        raise LostAnswerError(f"answer has an unreadable body: {error}") from error


def _path(*segments: str) -> str:
    try:
        return url_path(*segments)
    except PathError as error:
        raise RefusedError("name", str(error)) from error


def _to_row(model: RowModel) -> Row:
    try:
        value = base64.b64decode(model.value, validate=True)
    except ValueError:
        # The row's decoder refuses an empty value, and other rows are not affected.
        value = b""
    return Row(model.key, model.version, value)


def _encode_write(write: Write) -> dict[str, object]:
    return {
        "table": write.table,
        "key": write.key,
        "expected": write.expected,
        "value": base64.b64encode(write.value).decode(),
    }


class PlatformClient:
    """An HTTP client of the platform, which implements the ports of its services.

    The ports are `TableService`, `ObjectStore` and `HostList`. `address` is
    `ip:port`. The caller owns the session and sets its timeout.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Send every request through `session`."""
        self._session = session
        self._url = f"http://{address}"
        self._refused_hosts: list[str] = []

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if it does not exist."""
        reply = await self._send("GET", _path("tables", table, "rows", key))
        if reply.status == NOT_FOUND:
            return None
        return _to_row(_decode(reply.body, RowModel))

    async def scan(self, table: str, since: int = 0) -> TableRows:
        """Return the rows whose last write is after revision `since`."""
        path = _path("tables", table, "rows")
        reply = await self._send("GET", f"{path}?since={since}")
        model = _decode(reply.body, ScanModel)
        return TableRows(model.revision, tuple(map(_to_row, model.rows)))

    async def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Commit all writes in one transaction and return the rows' new versions."""
        body = msgspec.json.encode(
            {"writes": [_encode_write(write) for write in writes]}
        )
        reply = await self._send("POST", "/transactions", body)
        versions = _decode(reply.body, VersionsModel).versions
        if len(versions) != len(writes):
            raise LostAnswerError(f"{len(versions)} versions of {len(writes)} writes")
        return versions

    async def get(self, name: str) -> bytes | None:
        """Return the object, or None if it does not exist."""
        reply = await self._send("GET", _path("objects", name))
        return None if reply.status == NOT_FOUND else reply.body

    async def put(self, name: str, data: bytes) -> None:
        """Create or replace the object; raise `RefusedError` if it has no place."""
        reply = await self._send("PUT", _path("objects", name), data)
        if reply.status == NOT_FOUND:
            raise RefusedError("not-found", f"object {name}")

    async def hosts(self) -> tuple[Host, ...]:
        """Return the hosts in the platform's list, which may be some seconds old.

        A host that cannot be decoded, for example one of another kind, is left out.
        """
        reply = await self._send("GET", "/hosts")
        items = _decode(reply.body, HostsModel).hosts
        models, reasons = decode_items(items, HostModel)
        if reasons != self._refused_hosts:
            self._refused_hosts = reasons
            for reason in reasons:
                logs.log(session_events.EntryRefused("hosts", reason))
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
