"""When a write may be sent, and when a commit may be reported to its caller.

A commit is reported only if every promotion will keep it: a registered replica has it,
and no announced change of primary drops it. A write that could not be reported is not
sent.
"""

from collections.abc import Callable

from beryltiller.sessions.databases import receipts
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.errors import BrokenError
from beryltiller.sessions.session import AcquiredConnection
from beryltiller.sessions.statements import Reply


class CommitReports:
    """Decides for one proxy's groups; use it on a single event loop."""

    def __init__(self, fleet: Fleet, clock: Callable[[], float]) -> None:
        """Decide for the fleet's groups."""
        self._fleet = fleet
        self._clock = clock

    def may_send(self, group: Group) -> bool:
        """Return False if a commit that is sent now could not be reported."""
        if group.change_under_way(self._clock()) is not None:
            return False
        return not self._needs_receipt(group) or self._may_show_receipt(group)

    def raise_if_dropped(self, group: Group, source: Member, reply: Reply) -> None:
        """Raise `BrokenError` if a change of primary under way may drop a commit."""
        position = reply.position

        def holds(name: str) -> bool:
            if position is None:
                return False
            return receipts.holds(group, name, source, position, group.settled_at)

        if group.changes.drops(position, group.term, self._clock(), holds):
            raise BrokenError("a change of primary may drop the commit")

    async def confirm(
        self, group: Group, acquired: AcquiredConnection, reply: Reply, deadline: float
    ) -> None:
        """Wait until a commit may be reported, or raise `BrokenError`.

        Call this once the connection, whose last statement it was, and the place at the
        database are released. A commit that no registered replica has received proves
        nothing of the term.
        """
        member = acquired.placement.member
        needs_receipt = self._needs_receipt(group)
        if needs_receipt:
            position = reply.position
            is_received = position is not None and await self._fleet.receipts.wait(
                group, member, position, deadline
            )
            if not is_received:
                raise BrokenError("no registered replica is known to have the commit")
        self.raise_if_dropped(group, member, reply)
        group.record_commit(member, acquired.asked_at, reply.position)
        # The commit may have shown that the member leads, so its position counts now.
        group.record_position(member, reply.position, acquired.asked_at)
        if needs_receipt and reply.position is not None:
            group.changes.record_reported(reply.position)
            self._fleet.receipts.reports.record(group, member, reply.position)

    def _needs_receipt(self, group: Group) -> bool:
        """Return True if commits are reported only once a replica shows them."""
        configuration = self._fleet.configuration
        services = configuration.services if configuration else {}
        service = services.get(group.service)
        return service is not None and service.sync_replicas > 0

    def _may_show_receipt(self, group: Group) -> bool:
        """Return False if it is known that a commit's receipt would not be shown."""
        queries = self._fleet.receipts
        if not (group.is_set_current and group.may_be_unbroken):
            return False
        leader = group.leader
        if leader is not None and not group.is_in_sync(leader):
            return False
        if queries.is_overdue(group):
            return False
        now = self._clock()
        if not self._are_pending_available(group, now):
            return False
        return any(
            each.is_available(now) and queries.counts(each) and group.is_in_sync(each)
            for each in group.replicas
        )

    def _are_pending_available(self, group: Group, now: float) -> bool:
        """Return False if a database that must have each commit fails.

        A promotion that was requested before may still promote it.
        """
        members = (group.members.get(name) for name in group.changes.pending_names(now))
        return all(
            each is not None and (each is group.leader or each.is_available(now))
            for each in members
        )
