"""Surveys: queries of all databases of a group for what their logs hold.

All callers that wait for a survey share the queries that are under way, and those of
one age share its result. The results are recorded in the groups.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import Departed, Directory
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.in_sync_set import InSyncSet
from beryltiller.sessions.databases.member import NEVER, Member
from beryltiller.sessions.databases.present_entries import PresentEntries
from beryltiller.sessions.databases.status_queries import StatusQueries
from beryltiller.sessions.statements import NO_POSITION

# How long a statement waits for a survey. One that is still without a database then
# is refused early, so that its caller can try another proxy, or is retried here.
SURVEY_WAIT_SECONDS = 0.04
# Minimum time between the rounds of two surveys, if the first does not count.
SURVEY_INTERVAL_SECONDS = 0.1
# Minimum time between two searches for a leader in a group that has no working one.
FIND_LEADER_INTERVAL_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class _Round:
    """The log positions that were found by queries of all databases of a group.

    `departed` may have received commits too, as it was known when they were asked.
    """

    asked_at: float
    members: tuple[Member, ...]
    failing_since: float
    departed: tuple[Departed, ...]
    positions: tuple[Position, ...]


class Surveys:
    """The surveys of one proxy; use it on a single event loop."""

    def __init__(
        self,
        status_queries: StatusQueries,
        directory: Callable[[], Directory],
        entries: PresentEntries,
        clock: Callable[[], float],
    ) -> None:
        """Survey by `status_queries`.

        `directory` returns the databases that are registered as far as known;
        `entries` updates them.
        """
        self._status_queries = status_queries
        self._directory = directory
        self._entries = entries
        self._clock = clock
        self._rounds: dict[str, asyncio.Task[_Round]] = {}
        self._last_rounds: dict[str, _Round] = {}
        self._surveys: dict[str, asyncio.Task[None]] = {}
        self._leader_queried_at: dict[str, float] = {}

    async def survey(self, group: Group, moment: float) -> None:
        """Query the log positions of all databases; one of them may fail to answer.

        They show which commits were acknowledged before `moment`, so that reads with a
        maximum age can be served while the primary is unreachable. It counts only if
        the store shows that no other database was registered until then.
        """
        survey = self._surveys.get(group.service)
        if survey is None:
            survey = asyncio.create_task(self._survey(group, moment))
            self._surveys[group.service] = survey
        await asyncio.wait((survey,), timeout=SURVEY_WAIT_SECONDS)

    async def find_leader(self, group: Group) -> None:
        """Query the databases for their leader if no working one is known.

        A proxy cut off from the store learns of a new primary in this way.
        """
        now = self._clock()
        leader = group.leader
        if leader and leader.is_available(now):
            return
        asked_at = self._leader_queried_at.get(group.service, NEVER)
        if now < asked_at + FIND_LEADER_INTERVAL_SECONDS:
            return
        self._leader_queried_at[group.service] = now
        await asyncio.wait((self._ask_round(group),), timeout=SURVEY_WAIT_SECONDS)

    def close(self) -> None:
        """Cancel all queries under way."""
        self._entries.close()
        for task in (*self._surveys.values(), *self._rounds.values()):
            task.cancel()

    def _ask_round(self, group: Group) -> asyncio.Task[_Round]:
        """Return the round of queries under way, or begin one."""
        asked = self._rounds.get(group.service)
        if asked is None:
            asked = asyncio.create_task(self._ask_all(group, self._clock()))
            self._rounds[group.service] = asked
        return asked

    async def _ask_all(self, group: Group, asked_at: float) -> _Round:
        try:
            members = tuple(group.members.values())
            failing_since = _failing_since(group)
            departed = self._possibly_receiving(group, failing_since, asked_at)
            applied = [member.applied or NO_POSITION for member in members]
            statuses = await asyncio.gather(
                *map(self._status_queries.status_or_none, members)
            )
            answers = []
            positions = []
            for member, before, status in zip(members, applied, statuses, strict=True):
                if status is None or status.received == NO_POSITION:
                    # A log whose end is not known shows no commit that it may hold.
                    continue
                answers.append((member, status))
                if status.received >= before:
                    # A shorter log is not the one that received the commits.
                    positions.append(status.received)
            group.record_round(answers, asked_at)
            found = _Round(asked_at, members, failing_since, departed, tuple(positions))
            self._last_rounds[group.service] = found
            return found
        finally:
            del self._rounds[group.service]

    async def _survey(self, group: Group, moment: float) -> None:
        """Record a round since `moment` as a survey if no database was left out.

        A database that received commits reported until a moment was registered then. So
        the survey counts up to the moment until which all entries are known.
        """
        try:
            found, _ = await asyncio.gather(
                self._round_since(group, moment), self._entries.learn(moment)
            )
            if found is not None and self._is_of_all(group, found):
                known_at = self._entries.known_at
                group.record_survey(found.positions, min(found.asked_at, known_at))
        finally:
            del self._surveys[group.service]

    async def _round_since(self, group: Group, moment: float) -> _Round | None:
        """Return a round of queries that were sent after `moment`.

        The last one serves if it was complete. Another one begins some time after it;
        return None before that.
        """
        last = self._last_rounds.get(group.service)
        if last is not None:
            if last.asked_at >= moment and self._is_of_all(group, last):
                return last
            if self._clock() < last.asked_at + SURVEY_INTERVAL_SECONDS:
                return None
        return await self._ask_round(group)

    def _is_of_all(self, group: Group, found: _Round) -> bool:
        """Return True if all databases but one answered, of those known by now."""
        if group.leader is None:
            # A process that just started may not know of departed databases that
            # hold commits, so the survey could miss these commits.
            return False
        departed = self._possibly_receiving(group, found.failing_since, found.asked_at)
        if departed != found.departed:
            return False
        if set(group.members.values()) != set(found.members):
            return False
        needed = len(found.members) + len(departed) - 1
        return bool(found.positions) and len(found.positions) >= needed

    def _possibly_receiving(
        self, group: Group, failing_since: float, now: float
    ) -> tuple[Departed, ...]:
        """Return the departed databases that may have received reported commits.

        One that is in sync counts for proxies without news, also once it has drained.
        """
        directory = self._directory()
        receiving = directory.possibly_receiving_of(group.service, failing_since, now)
        in_sync = group.in_sync or InSyncSet()
        return tuple(
            each
            for each in directory.departed_of(group.service)
            if each in receiving or in_sync.find(each.database) is not None
        )


def _failing_since(group: Group) -> float:
    """Return since when the leader has failed, or `NEVER` without such a leader.

    With `NEVER` all databases that departed count as possibly holding commits.
    """
    leader = group.leader
    if leader is None or leader.failing_since is None:
        return NEVER
    return leader.failing_since
