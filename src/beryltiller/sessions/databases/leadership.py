"""The choice of a group's leader: the database that is believed to be the primary.

Databases claim to be primary in their registry entries and in their answers. Serials
order the changes of the primary as this proxy has observed them.
"""

from collections.abc import Iterable, Mapping

from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.databases.member import Member

# `Member.primary_serial` of a database that was first seen when the group already had
# databases. If it claims to be primary, it is not the leader before it has confirmed
# this when asked for its status.
UNCONFIRMED_SERIAL = -1


class Leadership:
    """The leader of one group, and the newest term known of it.

    `identifier` is that of the leader, or None without one. `term` is 0 if none is
    known.
    """

    def __init__(self) -> None:
        """Create the leadership of a group without databases."""
        self.identifier: str | None = None
        self.term = 0
        self._newest_primary_serial = 0

    def leader_in(self, members: Mapping[str, Member]) -> Member | None:
        """Return the leader if it is one of `members`, or None."""
        return members.get(self.identifier) if self.identifier else None

    def next_primary_serial(self) -> int:
        """Return the serial of a database that has just become primary."""
        self._newest_primary_serial += 1
        return self._newest_primary_serial

    def record_entry(self, member: Member, database: Database) -> None:
        """Record whether a member's registry entry claims that it is primary.

        A changed claim replaces what the member has reported before.
        """
        if database.is_primary == member.database.is_primary:
            return
        member.has_denied_lead = False
        member.has_reported_lead = False
        member.primary_serial = self.next_primary_serial() if database.is_primary else 0
        member.lead = None

    def choose(self, members: Iterable[Member]) -> None:
        """Choose the leader among the members that claim to be primary."""
        candidates = [each for each in members if self._is_credible(each)]
        leader = max(candidates, key=_leader_rank, default=None)
        self.identifier = leader.database.identifier if leader else None

    def _is_credible(self, member: Member) -> bool:
        """Return True if a member's claim to be primary is credible.

        A member that was asked must be primary in the newest known term. One that was
        not asked must be the last one observed to become primary, or have been
        primary when this proxy first learned of the group.
        """
        if not member.claims_lead or member.has_denied_lead:
            return False
        if member.reported_primary_term:
            return member.reported_primary_term >= self.term
        return member.primary_serial >= self._newest_primary_serial


def _leader_rank(member: Member) -> tuple[int, int, str]:
    """Rank by the latest change to primary, then by the newest term."""
    return member.primary_serial, member.term, member.database.identifier
