"""Which processes of an in-sync set have ended, and are not needed any more.

A process is removed once it is shown to have ended, the primary in force was asked for
the end of its log after that, and enough others hold that log. Silence, a lapsed entry
and a refused connection show no end: they may come from a cut. So a process without an
entry is removed once no proxy counts it any more, whether or not it runs.
"""

import asyncio
import random
from collections.abc import Callable
from enum import Enum, unique

from beryltiller.core.budgets import BackoffPolicy
from beryltiller.core.position import Position
from beryltiller.sessions.databases import in_sync
from beryltiller.sessions.databases.evidence import NO_PROOF_SECONDS
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.in_sync_set import InSyncProcess
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.errors import ReplacedError, SessionError
from beryltiller.sessions.statements import AskStatus
from beryltiller.sessions.succession.attempts import ASKING, Attempts
from beryltiller.sessions.succession.commands import COMMAND_TIMEOUT_SECONDS

# A proxy waits for up to this long before it writes a change, so that not all do.
MAX_DELAY_SECONDS = 0.3
# One of another availability zone than the databases concerned waits longer.
REMOTE_DELAY_SECONDS = 1.0
# The time between two attempts to remove a process of this proxy's availability zone.
LOCAL_REMOVAL = BackoffPolicy(first_seconds=0.3, max_seconds=2.0)
# How long the proof that the primary still leads is waited for.
PROOF_SECONDS = 0.3


@unique
class ShownEnd(Enum):
    """How it was shown that a process does not run any more."""

    STARTED_AGAIN = "another start of it is in sync"
    REPLACED = "another database answers at its address"
    DRAINED = "it had drained, has no entry, and no proxy counts it alone"
    LAPSED = "it has no entry, and no proxy counts it"


# An attempt to remove a process of a service: whether it has an entry, and whether no
# proxy counts it alone any more.
_Removal = tuple[str, InSyncProcess, bool, bool]


class EndedProcesses:
    """Finds the ended processes of all groups; use it on a single event loop."""

    def __init__(
        self, fleet: Fleet, rng: random.Random, clock: Callable[[], float]
    ) -> None:
        """Ask the fleet's databases; `rng` draws delays."""
        self._fleet = fleet
        self._rng = rng
        self._clock = clock
        self._removals: Attempts[_Removal] = Attempts(rng)

    async def due(self, group: Group) -> dict[InSyncProcess, ShownEnd]:
        """Return the processes to be removed now, and how the end of each was shown.

        They must have been marked as leaving before they are found to have ended, and
        the primary be asked for its log after that. None is due if the set changes
        meanwhile: how many may leave depends on who has left.
        """
        now, in_sync_set = self._clock(), group.in_sync
        leaving = [
            each
            for each in self._leaving(group, now)
            if self._is_removal_due(group, each, now)
        ]
        if not leaving:
            return {}
        ended = await self._shown_ends(group, leaving)
        if not ended:
            return {}
        log_end = await self._leaders_log_end(group)
        if log_end is None:
            return {}
        await asyncio.gather(
            *(
                ask_replica(self._fleet, group, each, self._clock)
                for each in group.replicas
            )
        )
        is_same = group.in_sync == in_sync_set
        is_held = in_sync.is_held_by_others(group, ended, log_end)
        return ended if is_same and is_held else {}

    def _is_removal_due(self, group: Group, process: InSyncProcess, now: float) -> bool:
        """Return True if the removal of a process is to be tried now.

        It is tried soon once its entry has gone, and once no proxy counts it alone.
        """
        is_local = self._fleet.is_in_zone(process.availability_zone)
        return self._removals.is_due(
            (
                group.service,
                process,
                self._is_registered(process),
                group.leaving.is_uncounted_alone(process, now),
            ),
            now,
            draw_delay(self._fleet, self._rng, {process.availability_zone}),
            LOCAL_REMOVAL if is_local else ASKING,
        )

    def _leaving(self, group: Group, now: float) -> list[InSyncProcess]:
        """Return the processes that were marked as leaving before now."""
        present = group.in_sync.processes if group.in_sync else ()
        leaving = [each for each in present if each.is_leaving]
        self._removals.keep_if(lambda key: key[0] != group.service or key[1] in leaving)
        return [
            each
            for each in leaving
            if (since := group.leaving.since(each)) is not None and since < now
        ]

    async def _shown_ends(
        self, group: Group, leaving: list[InSyncProcess]
    ) -> dict[InSyncProcess, ShownEnd]:
        """Return how the ends of processes are shown, `DRAINED` for one at most."""
        ends: dict[InSyncProcess, ShownEnd] = {}
        for each in leaving:
            end = await self._shown_end(group, each)
            if end is ShownEnd.DRAINED and end in ends.values():
                continue
            if end is not None:
                ends[each] = end
        return ends

    async def _shown_end(self, group: Group, process: InSyncProcess) -> ShownEnd | None:
        """Return how it is shown that a process does not run any more, or None.

        One that started under the same identifier must be in sync itself: a proxy that
        does not know of it may count its answers as those of the process before.
        """
        member = group.members.get(process.identifier)
        if member is not None and not process.is_of(member.database):
            in_sync_now = group.in_sync is not None and group.in_sync.counts(
                member.database
            )
            return ShownEnd.STARTED_AGAIN if in_sync_now else None
        if not self._is_registered(process):
            now = self._clock()
            if group.leaving.is_uncounted(process, now):
                return ShownEnd.LAPSED
            if group.leaving.is_uncounted_alone(process, now):
                return ShownEnd.DRAINED
        database = process.database(group.service)
        try:
            await self._fleet.command(database, AskStatus(), COMMAND_TIMEOUT_SECONDS)
        except ReplacedError:
            return ShownEnd.REPLACED
        except (SessionError, TimeoutError):
            # It may be cut off from here, and run on.
            return None
        return None

    def _is_registered(self, process: InSyncProcess) -> bool:
        """Return True if a database with the process's identifier has an entry now."""
        directory, name = self._fleet.directory, process.identifier
        return name in directory.databases and name not in directory.lapsed

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


async def ask_replica(
    fleet: Fleet, group: Group, replica: Member, clock: Callable[[], float]
) -> None:
    """Ask a replica how far its log reaches, if it is available."""
    asked_at = clock()
    if not replica.is_available(asked_at):
        return
    try:
        status = await fleet.ask_status(replica)
    except (SessionError, TimeoutError):
        # It is asked again later.
        return
    group.record_status(replica, status, asked_at, NO_PROOF_SECONDS)


def draw_delay(fleet: Fleet, rng: random.Random, availability_zones: set[str]) -> float:
    """Return for how long to leave a change to other proxies, in seconds."""
    delay = rng.uniform(0.0, MAX_DELAY_SECONDS)
    if not any(map(fleet.is_in_zone, availability_zones)):
        delay += rng.uniform(0.5, 1.0) * REMOTE_DELAY_SECONDS
    return delay
