"""Announcements of changes of primary, through rows that all proxies follow.

A promoter writes one row for its service. Each proxy that reads it applies it to its
group, and objects by writing the row again if it has reported a commit that the
promotion would drop, or knows of a later term than the promoter, or of a database that
the promoter has not asked. The promoter reads the row once more before it confirms.
"""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import replace

from beryltiller.core.ports import PortError
from beryltiller.core.position import ORIGIN
from beryltiller.observability import logs, session_events
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.in_sync import InSyncChange
from beryltiller.sessions.databases.in_sync_set import InSyncProcess, InSyncSet
from beryltiller.sessions.databases.primary_change import (
    PendingPromotion,
    PrimaryChange,
)
from beryltiller.sessions.succession.announcement import (
    MAX_NAMES,
    Announcement,
    AnnouncementPort,
    begun_before,
    bounded_names,
    is_same_change,
    nothing_announced,
)
from beryltiller.sessions.succession.announcement_rows import (
    WRITE_SECONDS,
    AnnouncementRows,
)
from beryltiller.sessions.succession.objections import (
    known_databases,
    with_objection,
)
from beryltiller.sessions.succession.report_lines import Noticed, log_reports


class Announcer:
    """One proxy's part in announced changes; use it on a single event loop."""

    def __init__(
        self, fleet: Fleet, port: AnnouncementPort, clock: Callable[[], float]
    ) -> None:
        """Apply announcements to the fleet's groups."""
        self._fleet = fleet
        self._rows = AnnouncementRows(port, clock)
        self._clock = clock
        self._applied: dict[str, Announcement] = {}
        self._newest: dict[str, Announcement] = {}
        self._announced: dict[str, Announcement] = {}
        self._written: dict[str, Announcement] = {}
        self._in_sync_version: dict[str, int] = {}

    async def announce(
        self,
        service: str,
        change: PrimaryChange,
        token: int,
        asked: tuple[str, ...] = (),
        successor: str = "",
    ) -> Announcement | None:
        """Announce a change; return what was written, or None if that failed.

        It is written only over the row that it takes `begun_term` from, so it knows of
        every promotion that was announced before, and of the databases named since.
        """
        announced = Announcement(
            service, change, token, asked=asked, successor=successor
        )
        changes = self._fleet.group(service).changes

        def following(present: Announcement | None) -> Announcement:
            latest = self._latest(service, present)
            begun_term = max(begun_before(latest, token), changes.later_term)
            version = present.version if present else 0
            if present is not None:
                self._record_lacking(present)
                self._record_pending(present, token)
                if present.objection is not None:
                    changes.record_objection(present.objection)
            return replace(
                announced,
                begun_term=begun_term,
                version=version,
                lacking=bounded_names(changes.named(self._clock())),
                in_sync=present.in_sync if present else self._known_in_sync(service),
                reported=max(
                    changes.reported_anywhere, present.reported if present else ORIGIN
                ),
                pending=changes.pending(self._clock(), token),
            )

        first = following(self._applied.get(service))
        changes.announce(first.covering, self._clock(), token, successor)
        self._announced[service] = first
        written = await self._rows.write(first, following)
        if written is not None:
            self._written[service] = written
            self._record_in_sync(written)
        return written

    async def is_unopposed(self, service: str, version: int) -> bool:
        """Return True if no proxy has objected to the announcement of that version."""
        present = await self._rows.read(service)
        if present is None:
            return False
        group = self._fleet.group(service)
        group.changes.record_later_term(present.later_term)
        self._record_lacking(present)
        self._record_in_sync(present)
        written = self._written.get(service)
        if written is None or written.version != version:
            return False
        if not is_same_change(written, present) or len(present.lacking) >= MAX_NAMES:
            # A row that is full may leave out names.
            return False
        return not group.changes.objects_to(present.covering, group.term)

    async def withdraw(
        self,
        service: str,
        token: int,
        is_over: bool = False,
        successor_term: int = 0,
        is_repeated: bool = False,
    ) -> None:
        """Withdraw the announcement of a claim or of an earlier one.

        With `is_over` the change has happened, and its successor leads in
        `successor_term`, or 0 if that is not known: proxies that know of it go on
        applying it, and others need not begin to. What this proxy announced is
        withdrawn also while its writes have no answer, as they may still be done. With
        `is_repeated` the promotion may take effect once more.
        """

        def ended(present: Announcement) -> Announcement:
            if is_over and present.token == token:
                repeated = present.requested if is_repeated else ()
                return replace(
                    present,
                    is_over=True,
                    successor_term=successor_term,
                    pending=_merged(present.pending, repeated),
                )
            # Only the promoter of an announced change knows that it did not happen.
            is_own = present.token == token
            begun_term = present.begun_term if is_own else present.may_have_begun
            is_settled = is_own or present.is_ended
            requested = () if is_settled else present.requested
            return replace(
                present,
                is_withdrawn=True,
                begun_term=begun_term,
                pending=_merged(present.pending, requested),
            )

        if not is_over:
            self._fleet.group(service).changes.withdraw(token)
        announced = self._announced.get(service)
        is_own = announced is not None and announced.token == token
        present = await self._rows.read(service) or announced
        if present is None or present.token > token:
            return
        if ended(present) != present or is_own:
            await self._rows.write(
                ended(present),
                lambda each: ended(each) if each and each.token <= token else None,
            )

    async def change_in_sync(self, service: str, change: InSyncChange) -> bool:
        """Change the processes in sync, unless the row has changed meanwhile.

        Return False if that failed, or if the change is already there.
        """
        present = self._applied.get(service)
        is_stored = present is not None
        if present is None:
            known = self._known_in_sync(service)
            present = replace(nothing_announced(service), in_sync=known)
        in_sync = change.apply(InSyncSet(present.in_sync)).processes
        if is_stored and in_sync == present.in_sync:
            return False
        reported = self._fleet.group(service).changes.reported_anywhere
        changed = replace(
            present, in_sync=in_sync, reported=max(present.reported, reported)
        )
        try:
            async with asyncio.timeout(WRITE_SECONDS):
                written = await self._rows.write_once(changed)
        except TimeoutError as error:
            self._rows.log_failure(service, error)
            return False
        if written is None:
            await self._learn_row(service)
            return False
        self.apply(written)
        return True

    def is_stored(self, service: str) -> bool:
        """Return True if the store has a row of a service, as far as is known."""
        return service in self._applied

    def record_rows(self, services: Collection[str]) -> None:
        """Record which services have rows now: a restored store may lack some."""
        for service in self._applied.keys() - set(services):
            self._forget_row(service)

    def _forget_row(self, service: str) -> None:
        self._applied.pop(service, None)
        self._in_sync_version.pop(service, None)

    async def _learn_row(self, service: str) -> None:
        """Learn which row the store has, after it was found to have another one."""
        try:
            present = await self._rows.read_row(service)
        except (PortError, TimeoutError) as error:
            self._rows.log_failure(service, error)
            return
        if present is None:
            self._forget_row(service)
        elif self.apply(present):
            await self.object_to(present)

    def _known_in_sync(self, service: str) -> tuple[InSyncProcess, ...]:
        in_sync = self._fleet.group(service).in_sync
        return in_sync.processes if in_sync else ()

    def _record_in_sync(self, row: Announcement) -> None:
        """Record what a row keeps, unless a later one is known."""
        if row.version < self._in_sync_version.get(row.service, 0):
            return
        self._in_sync_version[row.service] = row.version
        group = self._fleet.group(row.service)
        if group.in_sync is not None:
            group.record_in_sync(InSyncSet(row.in_sync))
        group.changes.record_objection(row.reported)

    def is_new(self, service: str, version: int) -> bool:
        """Return True if no announcement of that version has been applied yet."""
        applied = self._applied.get(service)
        return version > (applied.version if applied else 0)

    def apply(self, announcement: Announcement) -> bool:
        """Apply an announcement that was read; return True to object to it.

        One that was applied before has no effect. Neither has an earlier one whose row
        has come back with an older copy of the store, but for the objection in it.
        """
        service = announcement.service
        group = self._fleet.group(service)
        if not self.is_new(service, announcement.version):
            return False
        applied = self._applied.get(service)
        self._applied[service] = announcement
        self._record_in_sync(announcement)
        if applied is not None and is_same_change(applied, announcement):
            return False
        changes = group.changes
        changes.record_later_term(announcement.later_term)
        self._record_lacking(announcement)
        if announcement.objection is not None:
            changes.record_objection(announcement.objection)
        newest = self._newest.get(service)
        if newest is not None and newest.follows(announcement):
            return False
        self._newest[service] = announcement
        if announcement.is_withdrawn:
            changes.withdraw(announcement.token)
        if announcement.is_over:
            changes.record_over(announcement.happened, announcement.token)
        changes.record_pending(announcement.pending, self._clock())
        if announcement.is_ended:
            return False
        log_reports(self._fleet, service, Noticed.ANNOUNCED, self._clock())
        changes.announce(
            announcement.covering,
            self._clock(),
            announcement.token,
            announcement.successor,
        )
        return self._with_objection(announcement) is not None

    def _with_objection(self, announcement: Announcement) -> Announcement | None:
        own = self._announced.get(announcement.service)
        is_own = own is not None and own.token == announcement.token
        return with_objection(self._fleet, announcement, is_own, self._clock())

    async def object_to(self, announcement: Announcement) -> None:
        """Object to a change that drops a commit which this proxy has reported.

        Object also if this proxy knows of a later term than those replaced. That may be
        the successor's if the announcement comes late: nothing else changes then. And
        object if it knows of databases that the promoter has not asked.
        """
        opposed = self._with_objection(announcement)
        if opposed is None:
            return
        service, now = announcement.service, self._clock()
        log_reports(self._fleet, service, Noticed.OBJECTED, now)
        logs.log(
            session_events.PrimaryChangeOpposed(
                announcement.service,
                str(announcement.change.log_end),
                str(opposed.objection or ""),
                opposed.later_term,
                " ".join(opposed.lacking),
            )
        )
        await self._amend(announcement, lambda each: self._with_objection(each) or each)

    def _record_lacking(self, announcement: Announcement) -> None:
        """Record the databases that an announcement names, unless it has happened."""
        if not announcement.is_over:
            service = announcement.service
            known = known_databases(self._fleet, service)
            changes = self._fleet.group(service).changes
            changes.record_lacking(announcement.lacking, known, self._clock())

    def _record_pending(self, present: Announcement, token: int) -> None:
        """Record what earlier claims than that of `token` may have requested."""
        changes, now = self._fleet.group(present.service).changes, self._clock()
        changes.record_pending(present.pending, now)
        if present.token != token and not present.is_ended:
            changes.record_pending(present.requested, now)

    async def clear_names(self) -> None:
        """Remove names from rows once they do not count, unless a change is under way.

        A proxy that starts later cannot tell how old they are.
        """
        now = self._clock()
        for service, row in tuple(self._applied.items()):
            group = self._fleet.group(service)
            is_counting = group.changes.named(now).intersection(row.lacking)
            is_pending = set(group.changes.pending(now)).intersection(row.pending)
            if is_counting or is_pending or group.changes.under_way(group.term, now):
                continue
            if row.pending or (row.lacking and not row.is_over):
                await self._clear_row(row)

    async def _clear_row(self, row: Announcement) -> None:
        """Remove the names from a row that has not changed since."""
        await self._rows.write(replace(row, lacking=(), pending=()), lambda _: None)

    def _latest(self, service: str, row: Announcement | None) -> Announcement | None:
        """Return the newest announcement known; the row may be of an older copy."""
        newest = self._newest.get(service)
        if newest is not None and (row is None or newest.follows(row)):
            return newest
        return row

    async def _amend(
        self, read: Announcement, change: Callable[[Announcement], Announcement]
    ) -> None:
        """Change an announcement, unless it has happened or another has followed it."""

        def amended(present: Announcement | None) -> Announcement | None:
            if present is None:
                return None
            is_same = (present.token, present.change) == (read.token, read.change)
            return change(present) if is_same and not present.is_over else None

        await self._rows.write(change(read), amended)


def _merged(
    pending: tuple[PendingPromotion, ...], requested: tuple[PendingPromotion, ...]
) -> tuple[PendingPromotion, ...]:
    return tuple(sorted({*pending, *requested}))
