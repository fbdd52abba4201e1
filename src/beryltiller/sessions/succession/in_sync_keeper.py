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
from beryltiller.observability import logs, session_events
from beryltiller.sessions.databases import in_sync
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.in_sync import InSyncChange
from beryltiller.sessions.databases.in_sync_set import InSyncProcess
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.succession.announcer import Announcer
from beryltiller.sessions.succession.attempts import Attempts
from beryltiller.sessions.succession.ended_processes import (
    EndedProcesses,
    ShownEnd,
    ask_replica,
    draw_delay,
)

# The time between two writes after one that failed. It grows, as the store may be
# away for long.
WRITING = BackoffPolicy(first_seconds=0.5, max_seconds=10.0)


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
        self._ended = EndedProcesses(fleet, rng, clock)
        self._questions: Attempts[Member] = Attempts(rng)
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
        asked = {each for found in lagging.values() for each in found}
        self._questions.keep_if(asked.__contains__)
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
        await asyncio.gather(
            *(ask_replica(self._fleet, group, each, self._clock) for each in due)
        )
        change = in_sync.due_change(group, self._fleet.directory.lapsed)
        if change.is_empty and self._lacks_row(group):
            change = _restored(group)
        if now < self._write_not_before.get(group.service, now):
            return
        if change.is_empty:
            self._pending.pop(group.service, None)
            ended = await self._ended.due(group)
            if ended:
                change = InSyncChange(removed=tuple(ended))
                await self._write(group, change, tuple(ended.values()))
        elif self._is_due(group, change):
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
            pending = _Pending(
                change, now + draw_delay(self._fleet, self._rng, change.zones)
            )
            self._pending[group.service] = pending
        return now >= pending.due_at

    async def _write(
        self, group: Group, change: InSyncChange, ends: tuple[ShownEnd, ...] = ()
    ) -> None:
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
                "; ".join(each.value for each in ends),
            )
        )


def _restored(group: Group) -> InSyncChange:
    """Return the change that writes a group's set once more."""
    return InSyncChange(joining=group.in_sync.processes if group.in_sync else ())


def _text(processes: tuple[InSyncProcess, ...]) -> str:
    return " ".join(f"{each.identifier}/{each.incarnation}" for each in processes)
