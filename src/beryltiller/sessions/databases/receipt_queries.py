"""Status queries that show whether a registered replica has received a commit.

All commits of a group that wait share the queries under way. Use this on a single event
loop.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from weakref import WeakSet

from beryltiller.core.position import Position
from beryltiller.sessions.databases import receipts
from beryltiller.sessions.databases.announced import KnownAnnouncements
from beryltiller.sessions.databases.evidence import NO_PROOF_SECONDS
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.databases.regions import Distance
from beryltiller.sessions.databases.report_history import ReportHistories
from beryltiller.sessions.errors import SessionError
from beryltiller.sessions.statements import DatabaseStatus

# How long one replica is waited for before another one is asked too.
HEDGE_SECONDS = 0.02
# The time between two rounds in which all replicas are asked. It doubles up to the
# maximum while none shows the receipt.
FIRST_PAUSE_SECONDS = 0.01
MAX_PAUSE_SECONDS = 0.16
# New writes are refused while a commit has waited for its receipt for this long.
MAX_WAIT_SECONDS = 0.25

AskStatus = Callable[[Member], Awaitable[DatabaseStatus]]


@dataclass(slots=True, eq=False)
class _WaitingCommit:
    """A commit that `source` acknowledged, and since when its receipt is awaited.

    Its receipt was known at `shown_at`, or is not yet.
    """

    source: Member
    position: Position
    since: float
    is_received: asyncio.Future[bool]
    shown_at: float | None = None


class ReceiptQueries:
    """Waits until replicas show that they have received commits."""

    def __init__(
        self,
        ask_status: AskStatus,
        distance: Callable[[Member], Distance],
        announced: KnownAnnouncements,
        clock: Callable[[], float],
    ) -> None:
        """Query replicas by `ask_status`, the nearest by `distance` first.

        Their answers count by what is `announced`.
        """
        self._ask_status = ask_status
        self._distance = distance
        self._announced = announced
        self._clock = clock
        self._waiting: dict[str, list[_WaitingCommit]] = {}
        self._rounds: dict[str, asyncio.Task[None]] = {}
        self._queries: dict[Member, asyncio.Task[None]] = {}
        self._behind: WeakSet[Member] = WeakSet()
        self._reports = ReportHistories(announced, clock)

    @property
    def reports(self) -> ReportHistories:
        """Return the commits that were reported on receipts, for the log."""
        return self._reports

    def is_overdue(self, group: Group) -> bool:
        """Return True if a commit of the leader has waited for its receipt for long.

        Further writes would wait as long, and their outcomes would be unknown too.
        """
        latest = self._clock() - MAX_WAIT_SECONDS
        return any(
            each.since < latest and each.source is group.leader
            for each in self._waiting.get(group.service, ())
        )

    def counts(self, replica: Member) -> bool:
        """Return True if what a replica shows counts, whatever it is."""
        return replica.registered_revision <= self._announced.until

    async def wait(
        self, group: Group, source: Member, position: Position, deadline: float
    ) -> bool:
        """Wait until a replica has a commit of `source`.

        Return False at `deadline`, or once a later term is known, in which the commit
        may have been dropped.
        """
        is_received = asyncio.get_running_loop().create_future()
        commit = _WaitingCommit(source, position, self._clock(), is_received)
        if self._is_received(group, commit):
            return True
        waiting = self._waiting.setdefault(group.service, [])
        waiting.append(commit)
        self._start_rounds(group)
        try:
            await asyncio.wait(
                (is_received,), timeout=max(0.0, deadline - commit.since)
            )
            return is_received.done() and is_received.result()
        finally:
            waiting.remove(commit)

    def close(self) -> None:
        """Cancel all queries under way."""
        for task in (*self._rounds.values(), *self._queries.values()):
            task.cancel()

    def _start_rounds(self, group: Group) -> None:
        rounds = self._rounds.get(group.service)
        if rounds is None or rounds.done():
            self._rounds[group.service] = asyncio.create_task(self._ask(group))

    async def _ask(self, group: Group) -> None:
        """Ask the replicas in rounds until no commit waits for its receipt."""
        pause = FIRST_PAUSE_SECONDS
        while self._is_waiting(group):
            for replica in self._by_preference(group):
                if not self._lacks_receipts(group):
                    break
                query = self._queries.get(replica)
                if query is None:
                    query = asyncio.create_task(self._ask_replica(group, replica))
                    self._queries[replica] = query
                await asyncio.wait((query,), timeout=HEDGE_SECONDS)
                if not self._is_waiting(group):
                    return
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_PAUSE_SECONDS)

    def _is_waiting(self, group: Group) -> bool:
        """Return True if a commit waits, once the others have their results."""
        waiting = [
            each for each in self._waiting[group.service] if not each.is_received.done()
        ]
        for each in waiting:
            if self._is_received(group, each):
                each.is_received.set_result(True)
            elif group.term > each.position.term:
                each.is_received.set_result(False)
            elif self._is_shown(group, each.source, each.position):
                self._announced.request()
        return not all(each.is_received.done() for each in waiting)

    def _lacks_receipts(self, group: Group) -> bool:
        """Return True if some commit waits for a replica, and not just for news."""
        waiting = self._waiting[group.service]
        return any(
            each.shown_at is None for each in waiting if not each.is_received.done()
        )

    def _is_received(self, group: Group, commit: _WaitingCommit) -> bool:
        """Return True if every promotion keeps a commit.

        None may have taken effect by the time at which its receipt was known: it lifts
        the fence of a replica that it has compared before, which receives on.
        """
        if commit.shown_at is None:
            pending = group.changes.pending_names(self._clock())
            is_shown = receipts.is_received(
                group,
                commit.source,
                commit.position,
                self._announced.until,
                group.settled_at,
                pending,
            )
            if not is_shown:
                return False
            commit.shown_at = self._clock()
        return group.is_unbroken(commit.shown_at)

    def _is_shown(self, group: Group, source: Member, position: Position) -> bool:
        """Return True if a replica shows a commit, on a connection of whatever age."""
        return receipts.is_received(group, source, position, self._announced.until)

    def _by_preference(self, group: Group) -> list[Member]:
        """Return the replicas to ask, first those that had the commits before.

        The log of a draining one may soon be gone.
        """
        now = self._clock()
        replicas = [each for each in group.replicas if each.is_available(now)]
        return sorted(
            replicas,
            key=lambda each: (
                each.database.is_draining,
                each in self._behind,
                self._distance(each),
                each.expected_latency_seconds(now),
            ),
        )

    async def _ask_replica(self, group: Group, replica: Member) -> None:
        asked_at = self._clock()
        waited_for = [each.position for each in self._waiting[group.service]]
        self._behind.add(replica)
        try:
            status = await self._ask_status(replica)
        except (SessionError, TimeoutError):
            # Another replica, or a later round, may show the receipt.
            return
        finally:
            del self._queries[replica]
        if status.received >= max(waited_for, default=status.received):
            self._behind.discard(replica)
        group.record_status(replica, status, asked_at, NO_PROOF_SECONDS)
