"""Questions that keep a proxy sure of its groups while it has no news of the store.

Replicas show that no change of primary has come. They are asked only while there is no
news. The answers to callers' statements serve as well.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from beryltiller.observability import logs, session_events
from beryltiller.sessions.databases.evidence import NO_PROOF_SECONDS
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.errors import SessionError
from beryltiller.sessions.statements import DatabaseStatus

# How often `check` is called.
CHECK_SECONDS = 0.1
# A replica that has answered later than this long ago is not asked. An answer and the
# next one must be closer together than a promotion's hold.
ASK_AFTER_SECONDS = 0.15

AskStatus = Callable[[Member], Awaitable[DatabaseStatus]]


class ContinuityWatch:
    """Asks the replicas of groups without news; use it on a single event loop."""

    def __init__(self, ask_status: AskStatus, clock: Callable[[], float]) -> None:
        """Ask replicas by `ask_status`."""
        self._ask_status = ask_status
        self._clock = clock
        self._queries: dict[Member, asyncio.Task[None]] = {}
        self._broken: set[str] = set()

    def check(self, groups: Iterable[Group]) -> None:
        """Begin to ask the replicas that have not answered for a moment."""
        for group in groups:
            if group.has_news or group.leader is None:
                self._broken.discard(group.service)
                continue
            self._log_gap(group)
            for replica in group.replicas:
                if self._is_due(group, replica):
                    query = asyncio.create_task(self._ask(group, replica))
                    self._queries[replica] = query

    def close(self) -> None:
        """Cancel all queries under way."""
        for query in self._queries.values():
            query.cancel()

    def _is_due(self, group: Group, replica: Member) -> bool:
        now = self._clock()
        if replica in self._queries or not replica.is_available(now):
            return False
        is_late = now > replica.replica_shown_at + ASK_AFTER_SECONDS
        return is_late and group.is_in_sync(replica)

    def _log_gap(self, group: Group) -> None:
        """Log once that a change of primary may have come unseen."""
        if group.may_be_unbroken or group.service in self._broken:
            return
        self._broken.add(group.service)
        since = self._clock() - group.unbroken_until
        logs.log(session_events.ContinuityLost(group.service, round(since, 3)))

    async def _ask(self, group: Group, replica: Member) -> None:
        asked_at = self._clock()
        try:
            status = await self._ask_status(replica)
        except (SessionError, TimeoutError):
            # Another replica may do, and this one is asked again.
            return
        finally:
            self._queries.pop(replica, None)
        group.record_status(replica, status, asked_at, NO_PROOF_SECONDS)
