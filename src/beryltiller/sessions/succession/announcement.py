"""An announced change of primary, as the row of its service states it."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Protocol

from beryltiller.core.position import ORIGIN, Position
from beryltiller.sessions.databases.in_sync_set import InSyncProcess
from beryltiller.sessions.databases.primary_change import (
    PendingPromotion,
    PrimaryChange,
)

# How many databases an objection names, and how much of each name. No key of the store
# is longer, so no database's name is cut.
MAX_NAMES = 16
MAX_NAME_LENGTH = 200


@dataclass(frozen=True, slots=True)
class Announcement:
    """The announced change of a service's primary, as of row version `version`.

    `token` is the fencing token of the promoter's claim. `objection` is the position of
    a commit that some proxy has reported, and that the promotion would drop, and
    `later_term` a term that some proxy knows to have begun, later than those that the
    change replaces. Once the change has happened it `is_over`, and its successor leads
    in `successor_term`, or in a term that was not known then if that is 0.
    `begun_term` is the newest term that a promotion announced before may have begun.
    `asked` are the databases that the promoter has asked, or knows to be silent, and
    the former primary. It is empty in rows of earlier releases. `lacking` are those
    that proxies have named besides, to this promoter or an earlier one: they may have
    received commits.

    The row keeps the group's processes that are `in_sync`, and the newest position
    `reported` that was known to be when it was written. It does so also before any
    change was announced: it then has no token.

    The promotion is one of `successor`, or of a database that is not known if that is
    empty. The promotions in `pending` were announced before, and may still take effect.
    """

    service: str
    change: PrimaryChange
    token: int
    is_withdrawn: bool = False
    is_over: bool = False
    objection: Position | None = None
    begun_term: int = 0
    later_term: int = 0
    successor_term: int = 0
    asked: tuple[str, ...] = ()
    lacking: tuple[str, ...] = ()
    in_sync: tuple[InSyncProcess, ...] = ()
    reported: Position = ORIGIN
    successor: str = ""
    pending: tuple[PendingPromotion, ...] = ()
    version: int = 0

    @property
    def is_ended(self) -> bool:
        """Return True if the change has happened, or will not."""
        return self.is_withdrawn or self.is_over

    @property
    def covering(self) -> PrimaryChange:
        """Return the change as one that replaces all terms that may have begun."""
        replaced_term = max(self.change.replaced_term, self.begun_term)
        return PrimaryChange(replaced_term, self.change.log_end)

    @property
    def happened(self) -> PrimaryChange:
        """Return the change as one that replaces the terms before its successor's."""
        replaced_term = max(self.change.replaced_term, self.successor_term - 1)
        return PrimaryChange(replaced_term, self.change.log_end)

    @property
    def may_have_begun(self) -> int:
        """Return the newest term that this change or an earlier one may have begun.

        >>> from dataclasses import replace
        >>> announced = Announcement("s", PrimaryChange(5, Position(5, 7)), token=12)
        >>> announced.may_have_begun
        6
        >>> replace(announced, is_withdrawn=True, begun_term=4).may_have_begun
        4
        """
        known = max(self.begun_term, self.later_term)
        if self.is_over:
            return max(known, self.happened.replaced_term + 1)
        if self.is_withdrawn:
            return known
        return max(known, self.covering.replaced_term + 1)

    @property
    def requested(self) -> tuple[PendingPromotion, ...]:
        """Return the promotion that this change may have led to, if it is known."""
        if not self.successor:
            return ()
        return (PendingPromotion(self.token, self.successor),)

    def follows(self, other: "Announcement") -> bool:
        """Return True if this is a later state of the service's row than `other`.

        A row that cannot be read has no token, and follows any.

        >>> from dataclasses import replace
        >>> change = PrimaryChange(2, Position(2, 7))
        >>> begun = Announcement("s", change, token=12)
        >>> replace(begun, is_withdrawn=True).follows(begun)
        True
        >>> begun.follows(replace(begun, objection=Position(2, 8)))
        False
        """
        if self.token != other.token:
            return 0 < other.token < self.token
        is_same = self.change == other.change
        return is_same and self.is_ended and not other.is_ended


def nothing_announced(service: str) -> Announcement:
    """Return the row of a service before any change was announced."""
    change = PrimaryChange(0, ORIGIN)
    return Announcement(service, change, token=0, is_withdrawn=True)


def is_same_change(one: Announcement, other: Announcement) -> bool:
    """Return True if two states of a row differ in the processes in sync at most.

    >>> row = nothing_announced("s")
    >>> is_same_change(row, replace(row, version=7, reported=Position(1, 2)))
    True
    """
    kept = replace(
        other, in_sync=one.in_sync, reported=one.reported, version=one.version
    )
    return kept == one


class AnnouncementPort(Protocol):
    """The rows of announcements, one for each service, which every proxy follows."""

    async def read(self, service: str) -> Announcement | None:
        """Return a service's newest announcement, or None."""
        ...

    async def write(self, announcement: Announcement) -> int:
        """Write an announcement if the row still has its version; return the new one.

        Raise `RefusedError` if it has another one.
        """
        ...


def bounded_names(names: Iterable[str]) -> tuple[str, ...]:
    """Return names in order, as many and as much of each as a row may have."""
    return tuple(sorted({name[:MAX_NAME_LENGTH] for name in names})[:MAX_NAMES])


def begun_before(present: Announcement | None, token: int) -> int:
    """Return the newest term that promotions announced before a claim may have begun.

    `present` is the newest announcement known. What the claim itself announced counts
    for nothing: its promoter promotes no other database once it has requested a
    promotion.
    """
    if present is None:
        return 0
    is_own = present.token == token and not present.is_ended
    known = max(present.begun_term, present.later_term)
    return known if is_own else present.may_have_begun
