"""Decide which proxies poll the store's tables and which get changes from a relay.

In each availability zone a few proxies are feeders: they follow the store themselves
and send each change to the others. The others poll the store only while no feeder
that reaches the store sends them announcements, or when they have missed a change. A
feeder holds a lease, which is a row in the store. A proxy that receives nothing from
the holder takes over its lease. Two proxies that both believe they hold it only poll
the store more often, so correctness does not depend on agreement.

This module does no I/O. Times are seconds on a clock that also runs while the host is
suspended.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from beryltiller.core import revisions
from beryltiller.core.decoding import Count, Name
from beryltiller.core.ports import Row

FEEDERS_PER_ZONE = 2
# A feeder whose last announcement is older is not relied on.
MAX_ANNOUNCEMENT_AGE_SECONDS = 1.3
# The lease of a feeder whose last announcement is older may be taken over.
FEEDER_TIMEOUT_SECONDS = 12.0


@dataclass(frozen=True, slots=True)
class Feeder:
    """A proxy that relays changes of the store; others subscribe at `address`."""

    name: Name
    address: Name


@dataclass(frozen=True, slots=True)
class FeederLease:
    """A feeder lease: its key, its row's version and the proxy that holds it.

    `version` is 0 without a row; `holder` is None while the lease is free.
    """

    key: str
    version: int = 0
    holder: Feeder | None = None


@dataclass(frozen=True, slots=True)
class TableChange:
    """The changes in a table after revision `since`, up to revision `until`.

    With `is_whole` the rows are all rows of the table. A change that is too large is
    left out of the message that announces it.
    """

    table: str
    since: Count
    until: Count
    rows: tuple[Row, ...] = ()
    removed: tuple[str, ...] = ()
    is_whole: bool = False


@dataclass(frozen=True, slots=True)
class TableState:
    """The revision of the last change that a feeder knows of in one table.

    `is_reachable` is True while the feeder reaches the store, and `is_changing` while
    it receives a change that is too large to be passed on. Up to the revision
    `read_until` it has read all changes, and until `known_ms` by the store's clock;
    both are 0 in messages of releases without them.
    """

    changed_at: Count
    is_reachable: bool
    is_changing: bool = False
    read_until: Count = 0
    known_ms: Count = 0


@dataclass(frozen=True, slots=True)
class FeederAnnouncement:
    """A feeder's announcement of the tables that it follows, by name."""

    feeder: Feeder
    tables: Mapping[str, TableState]


@dataclass(slots=True)
class _LastAnnouncement:
    """The tables in a feeder's last announcement, and the time of its arrival."""

    received_at: float
    tables: Mapping[str, TableState] = field(default_factory=dict)


def feeder_lease_keys(availability_zone: str) -> tuple[str, ...]:
    """Return the keys of an availability zone's feeder leases.

    >>> feeder_lease_keys("north")
    ('north/1', 'north/2')
    """
    numbers = range(1, FEEDERS_PER_ZONE + 1)
    return tuple(f"{availability_zone}/{number}" for number in numbers)


class Relay:
    """The feeders of this proxy's availability zone and their announcements.

    >>> relay = Relay(Feeder("b", "127.0.0.2:1"))
    >>> holder = Feeder("a", "127.0.0.1:1")
    >>> leases = (FeederLease("z/1", 7, holder), FeederLease("z/2"))
    >>> relay.update_leases(leases, now=0.0)
    >>> relay.lease_to_take(now=1.0)
    FeederLease(key='z/2', version=0, holder=None)
    """

    def __init__(self, own: Feeder) -> None:
        """Create a relay without feeders; `own` is this proxy as a feeder."""
        self._own = own
        self._leases: tuple[FeederLease, ...] = ()
        self._announcements: dict[Feeder, _LastAnnouncement] = {}

    @property
    def is_feeder(self) -> bool:
        """Return True if this proxy holds a feeder lease."""
        return any(lease.holder == self._own for lease in self._leases)

    @property
    def other_feeders(self) -> frozenset[Feeder]:
        """Return the other proxies that hold feeder leases."""
        return frozenset(self._announcements)

    def update_leases(self, leases: Iterable[FeederLease], now: float) -> None:
        """Replace the leases with those read from the store.

        A new holder counts as having announced itself at `now`, so that it has time
        to do so.
        """
        self._leases = tuple(leases)
        holders = {lease.holder for lease in self._leases if lease.holder is not None}
        self._announcements = {
            holder: self._announcements.get(holder, _LastAnnouncement(now))
            for holder in holders - {self._own}
        }

    def lease_to_take(self, now: float) -> FeederLease | None:
        """Return a free or expired lease that this proxy should take, or None."""
        if self.is_feeder:
            return None
        free = (lease for lease in self._leases if self._is_available(lease, now))
        return next(free, None)

    def record_announcement(self, announcement: FeederAnnouncement, now: float) -> None:
        """Record an announcement; one by a proxy without a lease is ignored."""
        last = self._announcements.get(announcement.feeder)
        if last is not None:
            last.received_at = now
            last.tables = announcement.tables

    def has_live_feeder(self, table: str, now: float) -> bool:
        """Return True if a live feeder that reaches the store relays the table.

        It is False on a feeder, which polls the store itself.
        """
        return not self.is_feeder and bool(self._live_states(table, now))

    def is_current(self, table: str, revision: int, now: float) -> bool:
        """Return True if no live feeder knows of changes after a revision.

        A feeder that is receiving a large change knows of one. Feeders that are all in
        an earlier era, or of a release without eras, know nothing of this one.
        """
        states = self._live_states(table, now)
        if any(each.is_changing for each in states):
            return False
        newest = max((each.changed_at for each in states), default=revision)
        is_of_era = revisions.era_of(newest) == revisions.era_of(revision)
        return is_of_era and newest <= revision

    def known_until(self, table: str, revision: int, now: float) -> int:
        """Return up to which revision a proxy with all changes before one knows all.

        A live feeder that has read until a later one, and found none, tells of that.
        """
        if not self.is_current(table, revision, now):
            return revision
        read = (
            state.read_until
            for state in self._live_states(table, now)
            if state.changed_at <= revision
        )
        return max(revision, max(read, default=0))

    def known_ms(self, table: str, revision: int, now: float) -> int:
        """Return until when a proxy with all changes before a revision knows all.

        That is by the store's clock, or 0 if no live feeder tells.
        """
        if not self.is_current(table, revision, now):
            return 0
        known = (
            state.known_ms
            for state in self._live_states(table, now)
            if state.changed_at <= revision
        )
        return max(known, default=0)

    def _is_available(self, lease: FeederLease, now: float) -> bool:
        if lease.holder is None:
            return True
        last = self._announcements.get(lease.holder)
        return last is not None and now > last.received_at + FEEDER_TIMEOUT_SECONDS

    def _live_states(self, table: str, now: float) -> tuple[TableState, ...]:
        """Return a table's states at the live feeders that reach the store."""
        states = (
            last.tables.get(table)
            for last in self._announcements.values()
            if now <= last.received_at + MAX_ANNOUNCEMENT_AGE_SECONDS
        )
        return tuple(each for each in states if each and each.is_reachable)
