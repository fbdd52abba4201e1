"""Keeper of the groups' in-sync sets: it carries out their changes in the store.

Any proxy that follows the store may write a change, under the condition that the row is
the one from which it was decided. Proxies of the availability zone of a process write
first; the others find it done, or do it later.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from beryltiller.core.budgets import BackoffPolicy, backoff_seconds
from beryltiller.core.position import Position
from beryltiller.observability import logs, session_events
from beryltiller.sessions.databases import in_sync
from beryltiller.sessions.databases.evidence import NO_PROOF_SECONDS
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.in_sync import InSyncChange
from beryltiller.sessions.databases.in_sync_set import InSyncProcess
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.errors import (
    NotRunningError,
    ReplacedError,
    SessionError,
)
from beryltiller.sessions.statements import AskStatus
from beryltiller.sessions.succession.announcer import Announcer
from beryltiller.sessions.succession.commands import COMMAND_TIMEOUT_SECONDS

# A proxy waits for up to this long before it writes a change, so that not all do.
MAX_DELAY_SECONDS = 0.3
# One of another availability zone than the databases concerned waits longer.
REMOTE_DELAY_SECONDS = 1.0
# The time between two questions to a replica whether it has caught up, between two
# attempts to remove a process that leaves, and after a write that failed. It grows, as
# databases and the store may be silent for long.
ASKING = BackoffPolicy(first_seconds=0.3, max_seconds=30.0)
# The same for the removal of a process of this proxy's availability zone.
LOCAL_REMOVAL = BackoffPolicy(first_seconds=0.3, max_seconds=2.0)
WRITING = BackoffPolicy(first_seconds=0.5, max_seconds=10.0)
# How long the proof that the primary still leads is waited for.
PROOF_SECONDS = 0.3


class _Attempts:
    """When each of some things is tried next, more seldom with each attempt."""

    def __init__(self, rng: random.Random) -> None:
        """Draw the times between attempts with `rng`."""
        self._rng = rng
        self._made: dict[object, int] = {}
        self._next_at: dict[object, float] = {}

    def is_due(
        self,
        key: object,
        now: float,
        first_delay: float = 0.0,
        policy: BackoffPolicy = ASKING,
    ) -> bool:
        """Return True if an attempt is due, and count it."""
        if now < self._next_at.setdefault(key, now + first_delay):
            return False
        made = self._made[key] = self._made.get(key, 0) + 1
        self._next_at[key] = now + backoff_seconds(policy, made, self._rng)
        return True

    def keep_only(self, keys: set[object]) -> None:
        """Forget all others."""
        for key in self._next_at.keys() - keys:
            del self._next_at[key]
            self._made.pop(key, None)


@dataclass(frozen=True, slots=True)
class _Pending:
    """A change that is written at `due_at` if it is still needed then."""

    change: InSyncChange
    due_at: float


class InSyncKeeper:
    """Keeps the in-sync sets of all groups; use it on a single event loop."""

    def __init__(
        self,
        fleet: Fleet,
        announcer: Announcer,
        is_store_reachable: Callable[[], bool],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Keep the sets of the fleet's groups; `rng` draws delays."""
        self._fleet = fleet
        self._announcer = announcer
        self._is_store_reachable = is_store_reachable
        self._rng = rng
        self._clock = clock
        self._pending: dict[str, _Pending] = {}
        self._leaving_since: dict[tuple[str, InSyncProcess], float] = {}
        self._questions = _Attempts(rng)
        self._removals = _Attempts(rng)
        self._failures: dict[str, int] = {}
        self._write_not_before: dict[str, float] = {}

    async def check(self) -> None:
        """Write the changes that are due, one for each group."""
        if not self._is_store_reachable():
            self._pending.clear()
            return
        lapsed = self._fleet.directory.lapsed
        groups = [
            each
            for each in self._fleet.watched_groups()
            if not self._announcer.is_stored(each.service)
            or not in_sync.is_settled(each, lapsed)
        ]
        groups = [each for each in groups if self._is_kept(each)]
        lagging = {group: in_sync.lagging_candidates(group) for group in groups}
        self._questions.keep_only(
            {each for found in lagging.values() for each in found}
        )
        await asyncio.gather(
            *(self._check_group(group, found) for group, found in lagging.items())
        )

    def _is_kept(self, group: Group) -> bool:
        """Return True if a group's set may change now."""
        configuration = self._fleet.configuration
        services = configuration.services if configuration else {}
        service = services.get(group.service)
        if service is None or not service.sync_replicas or group.in_sync is None:
            return False
        return group.change_under_way(self._clock()) is None

    async def _check_group(self, group: Group, lagging: tuple[Member, ...]) -> None:
        now = self._clock()
        due = [each for each in lagging if self._questions.is_due(each, now)]
        await asyncio.gather(*(self._ask(group, each) for each in due))
        change = in_sync.due_change(group, self._fleet.directory.lapsed)
        if change.is_empty and self._lacks_row(group):
            change = _restored(group)
        if now < self._write_not_before.get(group.service, now):
            return
        if change.is_empty:
            self._pending.pop(group.service, None)
            change = await self._due_removal(group)
        elif not self._is_due(group, change):
            return
        if not change.is_empty:
            await self._write(group, change)

    def _lacks_row(self, group: Group) -> bool:
        """Return True if the store has lost the row of a group's set."""
        is_known = group.in_sync is not None and bool(group.in_sync.processes)
        return is_known and not self._announcer.is_stored(group.service)

    def _is_due(self, group: Group, change: InSyncChange) -> bool:
        """Return True if a change has been needed for long enough to be written."""
        pending = self._pending.get(group.service)
        now = self._clock()
        if pending is None or pending.change != change:
            pending = _Pending(change, now + self._draw_delay(change.zones))
            self._pending[group.service] = pending
        return now >= pending.due_at

    def _draw_delay(self, availability_zones: set[str]) -> float:
        """Return for how long to leave a change to other proxies, in seconds."""
        delay = self._rng.uniform(0.0, MAX_DELAY_SECONDS)
        if not any(map(self._fleet.is_in_zone, availability_zones)):
            delay += self._rng.uniform(0.5, 1.0) * REMOTE_DELAY_SECONDS
        return delay

    async def _write(self, group: Group, change: InSyncChange) -> None:
        service = group.service
        self._pending.pop(service, None)
        if not await self._announcer.change_in_sync(service, change):
            failures = self._failures[service] = self._failures.get(service, 0) + 1
            delay = backoff_seconds(WRITING, failures, self._rng)
            self._write_not_before[service] = self._clock() + delay
            return
        self._failures.pop(service, None)
        logs.log(
            session_events.InSyncChanged(
                service,
                _text(change.joining),
                _text(change.leaving),
                _text(change.removed),
            )
        )

    async def _due_removal(self, group: Group) -> InSyncChange:
        """Return the removal of processes that have ended and are not needed any more.

        They must have been marked as leaving before they are found to have ended, and
        the primary be asked for its log after that.
        """
        now = self._clock()
        leaving = [
            each
            for each in self._leaving(group, now)
            if self._is_removal_due(group, each, now)
        ]
        if not leaving:
            return InSyncChange()
        ended = [each for each in leaving if await self._has_ended(group, each)]
        if not ended:
            return InSyncChange()
        log_end = await self._leaders_log_end(group)
        if log_end is None:
            return InSyncChange()
        await asyncio.gather(*(self._ask(group, each) for each in group.replicas))
        if not in_sync.is_held_by_others(group, ended, log_end):
            return InSyncChange()
        return InSyncChange(removed=tuple(ended))

    def _is_removal_due(self, group: Group, process: InSyncProcess, now: float) -> bool:
        """Return True if the removal of a process is to be tried now.

        Once its entry has gone it is tried again soon.
        """
        is_local = self._fleet.is_in_zone(process.availability_zone)
        directory = self._fleet.directory
        name = process.identifier
        is_registered = name in directory.databases and name not in directory.lapsed
        return self._removals.is_due(
            (group.service, process, is_registered),
            now,
            self._draw_delay({process.availability_zone}),
            LOCAL_REMOVAL if is_local else ASKING,
        )

    def _leaving(self, group: Group, now: float) -> list[InSyncProcess]:
        """Return the processes that were marked as leaving before now."""
        present = group.in_sync.processes if group.in_sync else ()
        leaving = [each for each in present if each.is_leaving]
        known = {(group.service, each) for each in leaving}
        for key in self._leaving_since.keys() - known:
            if key[0] == group.service:
                del self._leaving_since[key]
        for key in known:
            self._leaving_since.setdefault(key, now)
        self._removals.keep_only(
            {(*key, is_there) for key in self._leaving_since for is_there in (0, 1)}
        )
        return [
            each for each in leaving if self._leaving_since[(group.service, each)] < now
        ]

    async def _has_ended(self, group: Group, process: InSyncProcess) -> bool:
        """Return True if it is shown that a process does not run any more.

        One that started under the same identifier must be in sync itself: a proxy that
        does not know of it may count its answers as those of the process before.
        """
        member = group.members.get(process.identifier)
        if member is not None and not process.is_of(member.database):
            in_sync_now = group.in_sync is not None and group.in_sync.counts(
                member.database
            )
            return in_sync_now
        is_lapsed = process.identifier in self._fleet.directory.lapsed
        if process.has_drained and (member is None or is_lapsed):
            return True
        database = process.database(group.service)
        try:
            await self._fleet.command(database, AskStatus(), COMMAND_TIMEOUT_SECONDS)
        except (NotRunningError, ReplacedError):
            return True
        except (SessionError, TimeoutError):
            # It may be cut off from here, and run on.
            return False
        return False

    async def _leaders_log_end(self, group: Group) -> Position | None:
        """Return where the log of the primary ends that is in force now, or None."""
        leader, asked_at = group.leader, self._clock()
        if leader is None:
            return None
        try:
            status = await self._fleet.ask_status(leader)
        except (SessionError, TimeoutError):
            return None
        group.record_status(leader, status, asked_at, NO_PROOF_SECONDS)
        if not status.is_primary or leader is not group.leader:
            return None
        is_proved = await self._fleet.prove_term(group, asked_at, PROOF_SECONDS)
        return status.received if is_proved and leader is group.leader else None

    async def _ask(self, group: Group, replica: Member) -> None:
        """Ask a replica how far its log reaches, if it is available."""
        asked_at = self._clock()
        if not replica.is_available(asked_at):
            return
        try:
            status = await self._fleet.ask_status(replica)
        except (SessionError, TimeoutError):
            # It is asked again later.
            return
        group.record_status(replica, status, asked_at, NO_PROOF_SECONDS)


def _restored(group: Group) -> InSyncChange:
    """Return the change that writes a group's set once more."""
    return InSyncChange(joining=group.in_sync.processes if group.in_sync else ())


def _text(processes: tuple[InSyncProcess, ...]) -> str:
    return " ".join(f"{each.identifier}/{each.incarnation}" for each in processes)
