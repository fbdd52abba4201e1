"""Keep a copy of a table of the platform's store, from its feed or from a relay.

The feed returns the changes after a revision, and waits for one if there is none yet.
The complete table is read at first, and again whenever the feed has lost its history.
In between, changes are applied in order. Failures are retried with backoff and jitter.
While a relay delivers all changes, the store is not polled.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from beryltiller.core.budgets import BackoffPolicy, backoff_seconds
from beryltiller.core.ports import (
    Changes,
    HistoryLostError,
    PortError,
    Row,
    TableFeed,
)
from beryltiller.observability import logs, session_events
from beryltiller.sessions.clocks import loop_time
from beryltiller.sessions.tables.relay import TableChange, TableState
from beryltiller.sessions.tables.store_time import StoreTime

# How long a request to the feed waits for a change. An open connection that has fallen
# silent is found only after this time and that of an answer.
FEED_WAIT_SECONDS = 1.5
# How often a proxy with a live feeder checks that it still has one.
RELAY_CHECK_SECONDS = 0.5
# By then a live feeder has announced what it has read.
RELAY_WAIT_SECONDS = 1.0
_BACKOFF = BackoffPolicy(max_seconds=1.0)

Rows = Mapping[str, Row]


class RelayPort(Protocol):
    """A relay that receives changes from feeders and sends changes to others."""

    def has_live_feeder(self, table: str) -> bool:
        """Return True if a live feeder that reaches the store relays the table."""
        ...

    def is_current(self, table: str, revision: int) -> bool:
        """Return True if no live feeder knows of changes after a revision."""
        ...

    def known_until(self, table: str, revision: int) -> int:
        """Return up to which revision a proxy with all changes before one knows all."""
        ...

    def known_ms(self, table: str, revision: int) -> int:
        """Return until when such a proxy knows all, by the store's clock, or 0."""
        ...

    def publish(self, change: TableChange | None) -> None:
        """Send others the state of the tables, with a change if there is one."""
        ...


class NoRelay:
    """The relay of a proxy that always polls the store itself."""

    def has_live_feeder(self, table: str) -> bool:
        """Return False: there are no feeders."""
        return False

    def is_current(self, table: str, revision: int) -> bool:
        """Return True: no feeder can know of a newer change."""
        return True

    def known_until(self, table: str, revision: int) -> int:
        """Return the revision: nobody else reads the store."""
        return revision

    def known_ms(self, table: str, revision: int) -> int:
        """Return 0: nobody else reads the store."""
        return 0

    def publish(self, change: TableChange | None) -> None:
        """Do nothing: there is nobody to send changes to."""


class TableFollower:
    """A copy of one table of the store that is kept up to date.

    Use it on a single event loop.
    """

    def __init__(
        self,
        feed: TableFeed,
        table: str,
        on_rows: Callable[[Rows], None],
        rng: random.Random,
        relay: RelayPort | None = None,
        wait_seconds: float = FEED_WAIT_SECONDS,
        clock: Callable[[], float] = loop_time,
        store_time: StoreTime | None = None,
    ) -> None:
        """Call `on_rows` with all rows of the table after each change.

        `rng` supplies the jitter of retries. Without `relay` the store is always
        polled. A poll waits for a change for up to `wait_seconds`. `clock` dates what
        is known, and `store_time` places the store's clock on it.
        """
        self._feed = feed
        self._table = table
        self._on_rows = on_rows
        self._rng = rng
        self._relay = relay or NoRelay()
        self._wait_seconds = wait_seconds
        self._clock = clock
        self._store_time = store_time or StoreTime()
        self._known_ms = 0
        self._rows: dict[str, Row] = {}
        self._revision: int | None = None
        self._changed_at = 0
        self._known_at = float("-inf")
        self._failures = 0
        self._is_receiving_large = False
        self._catching_up_to = 0
        self._woken = asyncio.Event()

    @property
    def table(self) -> str:
        """Return the name of the table that is followed."""
        return self._table

    @property
    def is_reachable(self) -> bool:
        """Return True if the last poll succeeded or a feeder reaches the store.

        It is False until the table has been read for the first time.
        """
        if self._revision is None:
            return False
        return not self._failures or self._relay.has_live_feeder(self._table)

    @property
    def state(self) -> TableState:
        """Return the state of the table that this proxy announces as a feeder.

        It reaches the store if its own last poll did.
        """
        is_reachable = self._revision is not None and not self._failures
        return TableState(
            self._changed_at,
            is_reachable,
            self._is_receiving_large,
            self._revision or 0,
            self._known_ms,
        )

    @property
    def known_until(self) -> int:
        """Return the revision of the store up to which all changes are known."""
        if self._revision is None:
            return 0
        return self._relay.known_until(self._table, self._revision)

    @property
    def known_at(self) -> float:
        """Return the moment until which all changes are known.

        This is when the store gave its last answer, to this proxy or to a feeder, or
        earlier.
        """
        return self._known_at

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        while True:
            try:
                if self._is_kept_current_by_relay():
                    await self._wait_for_relay()
                else:
                    await self._poll_store()
                    self._record_success()
            except HistoryLostError:
                self._revision = None
            except PortError as error:
                await self._back_off(error)

    def apply_relayed(self, change: TableChange) -> None:
        """Apply a change sent by a feeder, unless an earlier one was missed."""
        if self._revision is None or change.until <= self._revision:
            return
        if change.is_whole:
            self._replace(change.rows, change.until)
        elif change.since <= self._revision:
            self._apply(change.rows, change.removed, change.until)

    def wake(self) -> None:
        """Take what feeders say, and check at once whether the store must be polled."""
        if self._revision is not None:
            known_ms = self._relay.known_ms(self._table, self._revision)
            known_at = self._store_time.earliest(known_ms, self._clock())
            if known_ms and known_at is not None:
                self._known_at = max(self._known_at, known_at)
        self._woken.set()

    def _is_kept_current_by_relay(self) -> bool:
        if self._revision is None or not self._relay.has_live_feeder(self._table):
            return False
        return self._relay.is_current(self._table, self._revision)

    async def _wait_for_relay(self) -> None:
        self._woken.clear()
        try:
            async with asyncio.timeout(RELAY_CHECK_SECONDS):
                await self._woken.wait()
        except TimeoutError:
            return

    async def catch_up(self, revision: int) -> None:
        """Learn of the changes up to a revision soon, from a feeder or from the store.

        While that is under way, a further call only raises its revision, and returns.
        A feeder of a release that does not tell until when it has read is no help.
        """
        if self._catching_up_to:
            self._catching_up_to = max(self._catching_up_to, revision)
            return
        self._catching_up_to = revision
        try:
            await self._catch_up()
        finally:
            self._catching_up_to = 0

    async def _catch_up(self) -> None:
        """Ask the store once, and again only if the revision was raised meanwhile."""
        tried = 0
        while max(tried, self.known_until) < self._catching_up_to:
            if self._relay.has_live_feeder(self._table):
                await asyncio.sleep(RELAY_WAIT_SECONDS)
            tried = self._catching_up_to
            if self.known_until < tried:
                await self.refresh()

    async def refresh(self) -> bool:
        """Read at once what has changed, and tell others; return False if that fails.

        What the store had when this was called is known afterwards.
        """
        if self._revision is None:
            return False
        try:
            is_read = await self._read_present(self.known_until)
        except PortError:
            # The poll that goes on meanwhile reports and retries it.
            return False
        self._relay.publish(None)
        return is_read

    async def _read_present(self, since: int) -> bool:
        """Read what the store has now; return False if that is no later state."""
        asked_at = self._clock()
        try:
            changes = await self._feed.read_changes(self._table, since, 0.0)
        except HistoryLostError:
            scan = await self._feed.read_all(self._table)
            is_later = self._revision is None or scan.revision >= self._revision
            if is_later:
                self._replace(scan.rows, scan.revision)
                self._record_known(asked_at, scan.now_ms)
            return is_later
        if changes.revision < since:
            return False
        self._take_changes(since, changes)
        self._record_known(asked_at, changes.now_ms)
        return True

    def _record_known(self, asked_at: float, now_ms: int | None) -> None:
        """Record that what the store had at its time `now_ms` is known.

        An answer without a time shows what it had when it was asked.
        """
        known_at, now = asked_at, self._clock()
        if now_ms is not None:
            self._store_time.record(asked_at, now_ms, now)
            known_at = self._store_time.earliest(now_ms, now) or asked_at
            self._known_ms = now_ms
        self._known_at = max(self._known_at, asked_at, known_at)

    async def _poll_store(self) -> None:
        since = self._revision
        asked_at = self._clock()
        if since is None:
            scan = await self._feed.read_all(self._table)
            self._replace(scan.rows, scan.revision)
            self._record_known(asked_at, scan.now_ms)
            self._relay.publish(
                TableChange(self._table, 0, scan.revision, scan.rows, (), True)
            )
            return
        changes = await self._read_changes(since)
        if changes.revision < since == self._revision:
            # The revision is not one of the store's, so its changes would not be found.
            await asyncio.sleep(RELAY_CHECK_SECONDS)
            raise HistoryLostError("the store is at an earlier revision")
        if changes.revision <= since and self._relay.has_live_feeder(self._table):
            # A feeder knows of a change that the store's reply does not include yet.
            await asyncio.sleep(RELAY_CHECK_SECONDS)
        self._take_changes(since, changes)
        self._record_known(asked_at, changes.now_ms)

    def _take_changes(self, since: int, changes: Changes) -> None:
        """Apply the changes after `since`, and pass them on to others."""
        if self._revision is None or changes.revision < self._revision:
            # A feeder sent newer changes in the meantime.
            return
        if not changes.rows and not changes.removed:
            self._revision = changes.revision
            return
        until = changes.revision
        self._apply(changes.rows, changes.removed, until)
        change = TableChange(self._table, since, until, changes.rows, changes.removed)
        self._relay.publish(change)

    async def _read_changes(self, since: int) -> Changes:
        """Read the changes after a revision; announce at once that a large one comes.

        Others then ask the store themselves, before this proxy has received it.
        """
        try:
            return await self._feed.read_changes(
                self._table, since, self._poll_wait_seconds(), self._announce_large
            )
        finally:
            self._is_receiving_large = False

    def _announce_large(self) -> None:
        self._is_receiving_large = True
        self._relay.publish(None)

    def _poll_wait_seconds(self) -> float:
        """Return for how many seconds the store may wait for a change to reply with.

        A request that waits during an outage is lost. So the store is polled without
        waiting after a failure, and also when a change known to a feeder was missed.
        """
        if self._failures or self._relay.has_live_feeder(self._table):
            return 0.0
        return self._wait_seconds

    def _replace(self, rows: tuple[Row, ...], revision: int) -> None:
        self._rows = {row.key: row for row in rows}
        self._record_change(revision)

    def _apply(
        self, rows: tuple[Row, ...], removed: tuple[str, ...], revision: int
    ) -> None:
        for row in rows:
            self._rows[row.key] = row
        for key in removed:
            self._rows.pop(key, None)
        self._record_change(revision)

    def _record_change(self, revision: int) -> None:
        self._revision = revision
        self._changed_at = revision
        self._on_rows(self._rows)

    def _record_success(self) -> None:
        if self._failures:
            logs.log(session_events.FeedRegained(self._table, self._failures))
            self._failures = 0
            self._relay.publish(None)

    async def _back_off(self, error: PortError) -> None:
        self._failures += 1
        if self._failures == 1:
            logs.log(session_events.FeedLost(self._table, str(error)))
            self._relay.publish(None)
        delay = backoff_seconds(_BACKOFF, self._failures, self._rng)
        await asyncio.sleep(delay)
