"""Follow a table of the platform's store, through its feed or through a relay.

The table is read whole at first and whenever the feed has lost its history. Between,
each change is delivered in order. Failures are retried with backoff and jitter. While
a relay tells of all changes, the store is not asked.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from beryltiller.core.budgets import BackoffPolicy, backoff_seconds
from beryltiller.core.ports import HistoryLostError, PortError, Row, TableFeed
from beryltiller.observability import logs
from beryltiller.sessions.relay import TableChange, TableState

FEED_WAIT_SECONDS = 4.0
# A proxy that is fed looks this often whether it still is.
FED_LOOK_SECONDS = 0.5
_BACKOFF = BackoffPolicy(max_seconds=1.0)

Rows = Mapping[str, Row]


class RelayPort(Protocol):
    """What feeders tell of tables, and who is told of changes."""

    def is_fed(self, table: str) -> bool:
        """Tell whether a feeder that reaches the store tells of the table's changes."""
        ...

    def is_current(self, table: str, revision: int) -> bool:
        """Tell whether no feeder knows of changes after a revision."""
        ...

    def publish(self, change: TableChange | None) -> None:
        """Tell others of a change, or of how the tables stand."""
        ...


class NoRelay:
    """The relay of a proxy that asks the store itself."""

    def is_fed(self, table: str) -> bool:
        """Return False."""
        return False

    def is_current(self, table: str, revision: int) -> bool:
        """Return True."""
        return True

    def publish(self, change: TableChange | None) -> None:
        """Tell nobody."""


class TableFollower:
    """Keep a copy of one table and tell of each change; on one event loop."""

    def __init__(
        self,
        feed: TableFeed,
        table: str,
        on_rows: Callable[[Rows], None],
        source: random.Random,
        relay: RelayPort | None = None,
        wait_seconds: float = FEED_WAIT_SECONDS,
    ) -> None:
        """Call `on_rows` with the whole table after each change."""
        self._feed = feed
        self._table = table
        self._on_rows = on_rows
        self._source = source
        self._relay = relay or NoRelay()
        self._wait_seconds = wait_seconds
        self._rows: dict[str, Row] = {}
        self._revision: int | None = None
        self._changed_at = 0
        self._failures = 0
        self._told = asyncio.Event()

    @property
    def table(self) -> str:
        """Return the table's name."""
        return self._table

    @property
    def is_reachable(self) -> bool:
        """Tell whether the last call succeeded, or a feeder reaches the store."""
        if self._revision is None:
            return False
        return not self._failures or self._relay.is_fed(self._table)

    @property
    def state(self) -> TableState:
        """Return how far this follower's own questions have told of changes."""
        is_reachable = self._revision is not None and not self._failures
        return TableState(self._changed_at, is_reachable)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                if self._is_told_all():
                    await self._wait_for_word()
                else:
                    await self._ask()
                    self._succeeded()
            except HistoryLostError:
                self._revision = None
            except PortError as error:
                await self._failed(error)

    def take(self, change: TableChange) -> None:
        """Take in a change that a feeder tells of, unless one before it was missed."""
        if self._revision is None or change.until <= self._revision:
            return
        if change.is_whole:
            self._replace(change.rows, change.until)
        elif change.since <= self._revision:
            self._apply(change.rows, change.removed, change.until)

    def wake(self) -> None:
        """Look again whether the store must be asked."""
        self._told.set()

    def _is_told_all(self) -> bool:
        if self._revision is None or not self._relay.is_fed(self._table):
            return False
        return self._relay.is_current(self._table, self._revision)

    async def _wait_for_word(self) -> None:
        self._told.clear()
        try:
            async with asyncio.timeout(FED_LOOK_SECONDS):
                await self._told.wait()
        except TimeoutError:
            return

    async def _ask(self) -> None:
        since = self._revision
        if since is None:
            scan = await self._feed.whole(self._table)
            self._replace(scan.rows, scan.revision)
            self._publish(
                TableChange(self._table, 0, scan.revision, scan.rows, (), True)
            )
            return
        changes = await self._feed.changes(self._table, since, self._question_seconds())
        if changes.revision <= since and self._relay.is_fed(self._table):
            # A feeder knows of a change that the store's answer does not have yet.
            await asyncio.sleep(FED_LOOK_SECONDS)
        if self._revision is None or changes.revision < self._revision:
            # A feeder told of more meanwhile.
            return
        if not changes.rows and not changes.removed:
            self._revision = changes.revision
            return
        until = changes.revision
        self._apply(changes.rows, changes.removed, until)
        change = TableChange(self._table, since, until, changes.rows, changes.removed)
        self._publish(change)

    def _question_seconds(self) -> float:
        """Return how long the store may wait for a change before it answers.

        What waits while the store is away is lost: it is asked briefly until it
        answers, and when a change that a feeder knows of was missed.
        """
        if self._failures or self._relay.is_fed(self._table):
            return 0.0
        return self._wait_seconds

    def _replace(self, rows: tuple[Row, ...], revision: int) -> None:
        self._rows = {row.key: row for row in rows}
        self._revision = revision
        self._on_rows(self._rows)

    def _apply(
        self, rows: tuple[Row, ...], removed: tuple[str, ...], revision: int
    ) -> None:
        for row in rows:
            self._rows[row.key] = row
        for key in removed:
            self._rows.pop(key, None)
        self._revision = revision
        self._on_rows(self._rows)

    def _publish(self, change: TableChange) -> None:
        self._changed_at = change.until
        self._relay.publish(change)

    def _succeeded(self) -> None:
        if self._failures:
            logs.log(logs.FeedRegained(self._table, self._failures))
            self._failures = 0
            self._relay.publish(None)

    async def _failed(self, error: PortError) -> None:
        self._failures += 1
        if self._failures == 1:
            logs.log(logs.FeedLost(self._table, str(error)))
            self._relay.publish(None)
        delay = backoff_seconds(_BACKOFF, self._failures, self._source)
        await asyncio.sleep(delay)
