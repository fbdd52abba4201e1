"""Client of the platform's metadata store.

Every call goes through here. A refusal that proves that nothing was done is a
`RefusedError`; a call without an answer is a `LostAnswerError`.
"""

import base64
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import urlencode

import aiohttp
import msgspec

from beryltiller.adapters import transport
from beryltiller.core.ports import (
    Changes,
    HistoryLostError,
    LostAnswerError,
    RefusedError,
    Row,
    Scan,
    Write,
)

CALL_TIMEOUT_SECONDS = 1.5
CONNECT_TIMEOUT_SECONDS = 0.6
PAGE_ROWS = 500

_OK = 200
_CONFLICT = 412
_GONE = 410

_T = TypeVar("_T")


class RowModel(msgspec.Struct, frozen=True):
    """A row as the store sends it; `value` is base64, `deleted` marks dropped rows."""

    key: str
    row_version: int = 0
    value: str = ""
    part: str = ""
    deleted: bool = False


class RowsModel(msgspec.Struct, frozen=True):
    """Rows of a table; `row_version` is the newest version of the whole store."""

    rows: tuple[RowModel, ...]
    row_version: int
    current_time_ms: int = 0
    has_more: bool = False


class CommitModel(msgspec.Struct, frozen=True):
    """The answer to a transaction; `current_time_ms` is the store's steady clock."""

    row_version: int
    current_time_ms: int = 0


@dataclass(frozen=True, slots=True)
class DatedRow:
    """A row, or None, as of `now_ms` on the store's steady clock."""

    row: Row | None
    now_ms: int


class Store:
    """Speak to the store at `ip:port`; rows of the empty part only."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Use `session`, whose owner closes it."""
        self._session = session
        self.address = address

    async def whole(self, table: str) -> Scan:
        """Return every row of the table as of the scan's revision, or later.

        What changes between two pages is told again by the feed from that revision on.
        """
        rows: list[Row] = []
        start = ""
        revision: int | None = None
        while True:
            query = {"table_name": table, "part": "", "result_limit": str(PAGE_ROWS)}
            if start:
                query["start_key"] = start
            model = await self._get("rows-get", query, RowsModel)
            rows.extend(map(_row, model.rows))
            revision = model.row_version if revision is None else revision
            if not model.has_more or not model.rows:
                return Scan(revision, tuple(rows))
            start = model.rows[-1].key + "\0"

    async def read(self, table: str, key: str) -> DatedRow:
        """Return one row as of now."""
        query = {
            "table_name": table,
            "part": "",
            "start_key": key,
            "target": key + "\0",
            "result_limit": "1",
        }
        model = await self._get("rows-get", query, RowsModel)
        rows = [_row(row) for row in model.rows if row.key == key]
        return DatedRow(rows[0] if rows else None, model.current_time_ms)

    async def changes(self, table: str, after: int, wait_seconds: float) -> Changes:
        """Return the changes after a revision, waiting for the first one."""
        query = {
            "table_name": table,
            "after": str(after),
            "wait_ms": str(round(wait_seconds * 1000)),
        }
        model = await self._get("rows-feed", query, RowsModel, wait_seconds)
        newest: dict[str, RowModel] = {row.key: row for row in model.rows}
        kept = (row for row in newest.values() if not row.deleted)
        removed = (row.key for row in newest.values() if row.deleted)
        return Changes(model.row_version, tuple(map(_row, kept)), tuple(removed))

    async def commit(self, writes: Sequence[Write]) -> int:
        """Write all rows if each has its expected version; return the new version.

        Raise `RefusedError` with code `conflict` when a version differs.
        """
        body = {
            "expect": [
                {
                    "table_name": write.table,
                    "part": "",
                    "key": write.key,
                    "row_version": write.expected,
                }
                for write in writes
            ],
            "writes": [
                {
                    "table_name": write.table,
                    "part": "",
                    "key": write.key,
                    "value": base64.b64encode(write.value).decode(),
                }
                for write in writes
            ],
            "remove": [],
        }
        url = f"http://{self.address}/beryltiller/rows-tx"
        reply = await transport.exchange(
            self._session,
            "POST",
            url,
            msgspec.json.encode(body),
            {"Content-Type": "application/json"},
            _timeout(0.0),
        )
        check(reply)
        return _decoded(reply.body, CommitModel).row_version

    async def _get(
        self, call: str, query: dict[str, str], model: type[_T], wait: float = 0.0
    ) -> _T:
        url = f"http://{self.address}/beryltiller/{call}?{urlencode(query)}"
        reply = await transport.exchange(
            self._session, "GET", url, timeout=_timeout(wait)
        )
        check(reply)
        return _decoded(reply.body, model)


def _timeout(wait_seconds: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=wait_seconds + CALL_TIMEOUT_SECONDS,
        sock_connect=CONNECT_TIMEOUT_SECONDS,
    )


def check(reply: transport.Reply) -> None:
    """Raise the error that an answer's status stands for, if any."""
    if reply.status == _OK:
        return
    if reply.status == _CONFLICT:
        raise RefusedError("conflict")
    if reply.status == _GONE:
        raise HistoryLostError("the history is no longer kept")
    if reply.status in (429, 503, 403, 409, 404, 400):
        raise RefusedError(f"status {reply.status}")
    raise LostAnswerError(f"status {reply.status}")


def _decoded(body: bytes, model: type[_T]) -> _T:
    try:
        return msgspec.json.decode(body, type=model)
    except msgspec.MsgspecError as error:
        raise LostAnswerError(f"unreadable answer: {error}") from error


def _row(model: RowModel) -> Row:
    try:
        value = base64.b64decode(model.value, validate=True)
    except ValueError:
        value = b""
    return Row(model.key, model.row_version, value)
