"""Follow a table of the platform's store through its feed.

The table is read whole at first and whenever the feed has lost its history. Between,
each change is delivered in order. Failures are retried with backoff and jitter.
"""

import asyncio
import random
from collections.abc import Callable, Mapping

from beryltiller.core.budgets import BackoffPolicy, backoff_seconds
from beryltiller.core.ports import HistoryLostError, PortError, Row, TableFeed
from beryltiller.observability import logs

FEED_WAIT_SECONDS = 4.0
_BACKOFF = BackoffPolicy(max_seconds=1.0)

Rows = Mapping[str, Row]


class TableFollower:
    """Keep a copy of one table and tell of each change; on one event loop."""

    def __init__(
        self,
        feed: TableFeed,
        table: str,
        on_rows: Callable[[Rows], None],
        source: random.Random,
        wait_seconds: float = FEED_WAIT_SECONDS,
    ) -> None:
        """Call `on_rows` with the whole table after each change."""
        self._feed = feed
        self._table = table
        self._on_rows = on_rows
        self._source = source
        self._wait_seconds = wait_seconds
        self._rows: dict[str, Row] = {}
        self._revision: int | None = None
        self._failures = 0

    @property
    def is_reachable(self) -> bool:
        """Tell whether the last call succeeded."""
        return self._revision is not None and self._failures == 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
                self._succeeded()
            except HistoryLostError:
                self._revision = None
            except PortError as error:
                await self._failed(error)

    async def _step(self) -> None:
        if self._revision is None:
            scan = await self._feed.whole(self._table)
            self._rows = {row.key: row for row in scan.rows}
            self._revision = scan.revision
            self._on_rows(self._rows)
            return
        # What waits while the store is away is lost: ask briefly until it answers.
        wait_seconds = 0.0 if self._failures else self._wait_seconds
        changes = await self._feed.changes(self._table, self._revision, wait_seconds)
        self._revision = changes.revision
        if not changes.rows and not changes.removed:
            return
        for row in changes.rows:
            self._rows[row.key] = row
        for key in changes.removed:
            self._rows.pop(key, None)
        self._on_rows(self._rows)

    def _succeeded(self) -> None:
        if self._failures:
            logs.log(logs.FeedRegained(self._table, self._failures))
        self._failures = 0

    async def _failed(self, error: PortError) -> None:
        self._failures += 1
        if self._failures == 1:
            logs.log(logs.FeedLost(self._table, str(error)))
        delay = backoff_seconds(_BACKOFF, self._failures, self._source)
        await asyncio.sleep(delay)
