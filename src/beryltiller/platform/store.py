"""Client of the platform's metadata store.

All requests to the store are made by this client. It raises `RefusedError` if a request
is proved to have had no effect, and `LostAnswerError` if it may have had one.

Each row belongs to a part of its table; the proxy uses only the part whose name is
empty.

The store may come back from an older copy, in a higher era (`core.revisions`). All
revisions and versions of rows that the client returns and takes include the era. An
answer of a lower era than the newest one known arrives late and is not used.
"""

import base64
import math
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import urlencode

import aiohttp
import msgspec

from beryltiller.adapters import transport
from beryltiller.core import revisions
from beryltiller.core.decoding import shorten
from beryltiller.core.ports import (
    Changes,
    HistoryLostError,
    LostAnswerError,
    RefusedError,
    Row,
    TableRows,
    Write,
    ignore_large,
)
from beryltiller.core.revisions import RevisionError
from beryltiller.observability import logs, session_events
from beryltiller.platform import eras
from beryltiller.platform.databases import create_peer_timeout_socket
from beryltiller.platform.store_rows import (
    CommitModel,
    RowModel,
    RowsModel,
    decode_answer,
    decode_row,
    join_revision,
    own_rows,
)

# A call is given up if nothing of its answer arrives for this long. There is no limit
# on its duration: a large answer takes long on a slow link, and would begin anew.
SILENCE_SECONDS = 1.5
CONNECT_TIMEOUT_SECONDS = 0.6
# A connection that is unused for this long is closed, so that a call which is repeated
# after silence does not take another connection that has fallen silent too.
IDLE_CONNECTION_SECONDS = 1.0
PAGE_ROWS = 500
# Relays do not pass on the changes of a larger answer.
LARGE_ANSWER_BYTES = 65_536
# An answer whose body takes longer than this to arrive is logged.
SLOW_BODY_SECONDS = 0.5

_OK = 200
_PRECONDITION_FAILED = 412
_GONE = 410

_T = TypeVar("_T")


@dataclass(frozen=True, slots=True)
class DatedRow:
    """A row, or None, and the time of the read by the store's monotonic clock.

    `era` is the store's, and 0 if it has none. This client has known of it for
    `era_known_seconds`.
    """

    row: Row | None
    now_ms: int
    era: int = 0
    era_known_seconds: float = math.inf


@dataclass(frozen=True, slots=True)
class _Era:
    """An era of the store, and when this client first had an answer of it."""

    number: int
    known_since: float


def create_http_session(source_ip: str) -> aiohttp.ClientSession:
    """Return a session for calls to the platform, from `source_ip`."""
    connector = aiohttp.TCPConnector(
        local_addr=(source_ip, 0),
        limit=0,
        keepalive_timeout=IDLE_CONNECTION_SECONDS,
        use_dns_cache=False,
        socket_factory=create_peer_timeout_socket,
    )
    return aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    )


class StoreClient:
    """A client of the store at `address`, for the rows of the part without a name."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Use `session`, whose owner closes it; `address` is `ip:port`."""
        self._session = session
        self._clock = clock
        self._era = _Era(0, -math.inf)
        self.address = address

    async def read_all(self, table: str) -> TableRows:
        """Return all rows of the table, each as of the result's revision or later.

        The revision is that of the first page. A change between two pages is returned
        again by `read_changes` after that revision. Raise `LostAnswerError` if a page
        does not go on after the previous one.
        """
        rows: list[Row] = []
        start = ""
        revision: int | None = None
        now_ms: int | None = None
        while True:
            query = {"table_name": table, "part": "", "result_limit": str(PAGE_ROWS)}
            if start:
                query["start_key"] = start
            model, era = await self._get("rows-get", query, RowsModel)
            page = tuple(decode_row(row, era) for row in own_rows(model))
            rows.extend(page)
            if revision is None:
                revision = join_revision(era, model.row_version)
                now_ms = model.current_time_ms
            if revisions.era_of(revision) != era:
                raise LostAnswerError("the store was restored between two pages")
            if not model.has_more or not model.rows:
                return TableRows(revision, tuple(rows), now_ms)
            last = max((row.key for row in page), default="")
            if last < start or not page:
                raise LostAnswerError(
                    f"the page from {shorten(start)!r} has no later key"
                )
            start = last + "\0"

    async def read(self, table: str, key: str) -> DatedRow:
        """Return one row with the store's time of the read.

        Raise `LostAnswerError` if the answer lacks the time.
        """
        query = {
            "table_name": table,
            "part": "",
            "start_key": key,
            "target": key + "\0",
            "result_limit": "1",
        }
        model, era = await self._get("rows-get", query, RowsModel)
        if model.current_time_ms is None:
            raise LostAnswerError("the answer lacks the store's time")
        rows = [decode_row(row, era) for row in own_rows(model) if row.key == key]
        known_seconds = self._clock() - self._era.known_since
        return DatedRow(
            rows[0] if rows else None, model.current_time_ms, era, known_seconds
        )

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_seconds: float,
        on_large: Callable[[], None] = ignore_large,
    ) -> Changes:
        """Return the changes after a revision, waiting for the first one if needed.

        Call `on_large` when an answer of over `LARGE_ANSWER_BYTES` begins. Raise
        `HistoryLostError` also if the store has been restored since that revision.
        """
        era, version = revisions.split(after)
        if era < self._era.number:
            raise HistoryLostError("the store was restored")

        def on_body(size_bytes: int) -> None:
            if size_bytes > LARGE_ANSWER_BYTES:
                on_large()

        query = {
            "table_name": table,
            "after": str(version),
            "wait_ms": str(round(wait_seconds * 1000)),
        }
        model, answered_in = await self._get(
            "rows-feed", query, RowsModel, wait_seconds, on_body
        )
        if answered_in != era:
            raise HistoryLostError("the store was restored")
        newest: dict[str, RowModel] = {row.key: row for row in own_rows(model)}
        kept = (row for row in newest.values() if not row.deleted)
        removed = (row.key for row in newest.values() if row.deleted)
        return Changes(
            join_revision(era, model.row_version),
            tuple(decode_row(row, era) for row in kept),
            tuple(removed),
            model.current_time_ms,
        )

    async def commit(self, writes: Sequence[Write]) -> int:
        """Write all rows if each has its expected version; return their new version.

        Raise `RefusedError` with code `conflict` if a row has another version, or is
        expected to have one of before the store was restored. Raise `LostAnswerError`
        if it was restored meanwhile, since a row may have its version again.
        """
        eras = {revisions.era_of(write.expected) for write in writes if write.expected}
        if any(era < self._era.number for era in eras):
            raise RefusedError("conflict", "the store was restored")
        body = {
            "expect": [
                {
                    "table_name": write.table,
                    "part": "",
                    "key": write.key,
                    "row_version": revisions.split(write.expected)[1],
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
            silence_seconds=SILENCE_SECONDS,
        )
        answered_in = self._record_era(reply)
        raise_for_status(reply)
        if any(era != answered_in for era in eras):
            raise LostAnswerError("the store was restored meanwhile")
        return join_revision(
            answered_in, decode_answer(reply.body, CommitModel).row_version
        )

    async def _get(
        self,
        call: str,
        query: dict[str, str],
        model: type[_T],
        wait_seconds: float = 0.0,
        on_body: Callable[[int], None] | None = None,
    ) -> tuple[_T, int]:
        """Return the answer to a read, with the era that it was given in."""
        url = f"http://{self.address}/beryltiller/{call}?{urlencode(query)}"
        reply = await transport.exchange(
            self._session,
            "GET",
            url,
            timeout=_timeout(wait_seconds),
            silence_seconds=SILENCE_SECONDS,
            on_body=on_body,
        )
        era = self._record_era(reply)
        raise_for_status(reply)
        if reply.body_seconds > SLOW_BODY_SECONDS:
            table = query.get("table_name", "")
            logs.log(
                session_events.SlowRead(table, len(reply.body), reply.body_seconds)
            )
        return decode_answer(reply.body, model), era

    def _record_era(self, reply: transport.Reply) -> int:
        """Return the era of an answer; one without the header is of the newest known.

        Raise `LostAnswerError` if the era is lower, or cannot be read.
        """
        try:
            era = eras.read_era(reply.headers)
        except RevisionError as error:
            raise LostAnswerError(str(error)) from error
        known = self._era.number
        if era is None or era == known:
            return known
        if era < known:
            raise LostAnswerError(f"the answer is of era {era}, before {known}")
        self._era = _Era(era, self._clock())
        if known:
            logs.log(session_events.StoreRestored(known, era))
        return era


def _timeout(wait_seconds: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=None,
        sock_connect=CONNECT_TIMEOUT_SECONDS,
        sock_read=wait_seconds + SILENCE_SECONDS,
    )


def raise_for_status(reply: transport.Reply) -> None:
    """Raise the error for the reply's HTTP status unless it is 200."""
    if reply.status == _OK:
        return
    if reply.status == _PRECONDITION_FAILED:
        raise RefusedError("conflict")
    if reply.status == _GONE:
        raise HistoryLostError("the store no longer keeps the requested changes")
    # The store and the platform answer with these only if nothing was done.
    if reply.status in (429, 503, 403, 409, 404, 400):
        raise RefusedError(f"status {reply.status}")
    raise LostAnswerError(f"status {reply.status}")
