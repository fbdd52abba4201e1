"""Announced changes of a group's primary, which all proxies take part in.

A promoter knows a group's databases from their registry entries. One that it does not
know yet may follow the former primary, and acknowledge commits together with it that
the successor's log lacks. But callers learn of commits from proxies alone. So a change
is announced to all proxies before the promotion: from then on they report no commit
beyond the successor's log as done, and object if they have reported one.

Times are seconds on the caller's clock, passed in.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace

from beryltiller.core.position import ORIGIN, Position
from beryltiller.sessions.databases.registry import DEPARTED_RETENTION_SECONDS

# A promotion is requested up to 2.8 s after the claim, which comes before the
# announcement; it has taken effect by then.
CHANGE_SECONDS = 5.0
# A promotion that was requested, or is still to be by a process that stands still, may
# take effect for this long, where the platform does not refuse those of ended claims.
PENDING_SECONDS = 15.0
# The fencing token of no claim.
NO_TOKEN = -1


@dataclass(frozen=True, slots=True)
class PrimaryChange:
    """A change of primary whose successor leads in a term after `replaced_term`.

    The successor's log ends at `log_end`, so the promotion drops later commits.
    """

    replaced_term: int
    log_end: Position

    def drops(self, position: Position) -> bool:
        """Return True if the promotion may drop a commit at a position.

        >>> change = PrimaryChange(2, Position(2, 7))
        >>> change.drops(Position(2, 8)), change.drops(Position(3, 8))
        (True, False)
        """
        return position.term <= self.replaced_term and position > self.log_end


@dataclass(frozen=True, slots=True, order=True)
class PendingPromotion:
    """A promotion of a database, under the fencing token of a claim, that may act late.

    Its promoter has ended without a word, or a request of it had no answer.
    """

    token: int
    identifier: str


def holds_none(name: str) -> bool:
    """Return False: no database is known to hold a commit."""
    return False


@dataclass(frozen=True, slots=True)
class _AnnouncedChange:
    """A change that counts until a moment, and whom it promotes, if that is known."""

    change: PrimaryChange
    until: float
    successor: str = ""


class ChangeTracker:
    """What one proxy knows of an announced change, and the commits that it reported.

    >>> tracker = ChangeTracker()
    >>> tracker.record_reported(Position(2, 8))
    >>> tracker.objects_to(PrimaryChange(2, Position(2, 7)), known_term=2)
    True
    """

    def __init__(self) -> None:
        """Create a tracker without a change or a commit."""
        self._announced: dict[int, _AnnouncedChange] = {}
        self._over: PrimaryChange | None = None
        self._reported_anywhere = ORIGIN
        self._reported = ORIGIN
        self._later_term = 0
        self._named_at: dict[str, float] = {}
        self._met: set[str] = set()
        self._pending_at: dict[PendingPromotion, float] = {}

    @property
    def reported_anywhere(self) -> Position:
        """Return the newest position known of a commit that a proxy has reported."""
        return max(self._reported, self._reported_anywhere)

    @property
    def later_term(self) -> int:
        """Return the newest term that a proxy is known to have objected with, or 0."""
        return self._later_term

    def record_later_term(self, term: int) -> None:
        """Record that a proxy objected, as it knows of a term that has begun."""
        self._later_term = max(self._later_term, term)

    def record_lacking(
        self, names: Iterable[str], known: Collection[str], now: float
    ) -> None:
        """Record databases that a proxy has named as lacking in a promoter's round.

        One that is `known` here, be it as departed, is asked by this proxy itself.
        """
        forgotten_at = now - 2 * DEPARTED_RETENTION_SECONDS
        self._named_at = {
            name: at for name, at in self._named_at.items() if at > forgotten_at
        }
        for name in names:
            # The same name in a later row does not count for longer.
            self._named_at.setdefault(name, now)
        self._met &= self._named_at.keys()
        self._met |= self._named_at.keys() & set(known)

    def named(self, now: float) -> frozenset[str]:
        """Return the databases that a proxy has named recently."""
        until = now - DEPARTED_RETENTION_SECONDS
        return frozenset(name for name, at in self._named_at.items() if at > until)

    def lacking(self, known: Collection[str], now: float) -> frozenset[str]:
        """Return those named recently that this proxy has not known since.

        They may have received commits, for as long as a departed one may have.

        >>> tracker = ChangeTracker()
        >>> tracker.record_lacking(("c", "d"), ("c",), now=1.0)
        >>> tracker.lacking((), 2.0), tracker.lacking((), 61.0)
        (frozenset({'d'}), frozenset())
        """
        self.record_lacking((), known, now)
        return self.named(now) - self._met

    def record_pending(
        self, promotions: Iterable[PendingPromotion], now: float
    ) -> None:
        """Record promotions that were or may be requested, from when they are known."""
        forgotten_at = now - 2 * PENDING_SECONDS
        self._pending_at = {
            each: at for each, at in self._pending_at.items() if at > forgotten_at
        }
        for each in promotions:
            # The same one in a later row does not count for longer.
            self._pending_at.setdefault(each, now)

    def pending(
        self, now: float, without_token: int = NO_TOKEN
    ) -> tuple[PendingPromotion, ...]:
        """Return the promotions that may still take effect, in order.

        They keep what the logs of their databases hold by then. What was announced
        under `without_token` is left out.

        >>> tracker = ChangeTracker()
        >>> tracker.record_pending((PendingPromotion(7, "d"),), now=1.0)
        >>> tracker.pending(2.0), tracker.pending(1.0 + PENDING_SECONDS)
        ((PendingPromotion(token=7, identifier='d'),), ())
        """
        until = now - PENDING_SECONDS
        found = (each for each, at in self._pending_at.items() if at > until)
        return tuple(sorted(each for each in found if each.token != without_token))

    def pending_names(self, now: float) -> frozenset[str]:
        """Return the databases that a promotion requested before may still promote."""
        return frozenset(each.identifier for each in self.pending(now))

    def _end_pending(self, token: int) -> None:
        """Forget the promotion of a claim that will not take effect any more."""
        self._pending_at = {
            each: at for each, at in self._pending_at.items() if each.token != token
        }

    def announce(
        self, change: PrimaryChange, now: float, token: int = 0, successor: str = ""
    ) -> None:
        """Record a change that was announced under the fencing token of a claim.

        It takes the place of another one of the same claim. Those of earlier claims
        count on: what they requested may take effect late.
        """
        if successor:
            self.record_pending((PendingPromotion(token, successor),), now)
        self._announced = {
            key: each for key, each in self._announced.items() if now <= each.until
        }
        self._announced[token] = _AnnouncedChange(
            change, now + CHANGE_SECONDS, successor
        )

    def prolong(self, now: float) -> None:
        """Let the changes under way count for longer, as no news of them arrives."""
        self._announced = {
            key: replace(each, until=max(each.until, now + CHANGE_SECONDS))
            for key, each in self._announced.items()
            if now <= each.until
        }

    def record_over(self, change: PrimaryChange, token: int = 0) -> None:
        """Record that a change has happened: what it drops is dropped for good.

        The term of its successor is known by now, which it may have been taken to drop.
        """
        self._over = change
        self._end_pending(token)
        self._named_at.clear()
        if change.drops(self.reported_anywhere):
            self._forget_reported_beyond(change.log_end)
        for token, each in self._announced.items():
            if each.change.log_end == change.log_end:
                self._announced[token] = replace(each, change=change)

    def record_lead(self, term: int, log_end: Position) -> None:
        """Record that a primary leads in `term` from a log that ended at `log_end`.

        Commits of earlier terms beyond that are dropped for good.
        """
        if self.reported_anywhere.term < term and self.reported_anywhere > log_end:
            self._forget_reported_beyond(log_end)

    def _forget_reported_beyond(self, log_end: Position) -> None:
        self._reported = min(self._reported, log_end)
        self._reported_anywhere = min(self._reported_anywhere, log_end)

    def record_objection(self, reported: Position) -> None:
        """Record that a proxy objected, as it has reported a commit at a position."""
        self._reported_anywhere = max(self._reported_anywhere, reported)

    def withdraw(self, token: int = 0) -> None:
        """Record that the promotion of a claim will not be requested."""
        self._announced.pop(token, None)
        self._end_pending(token)

    def record_reported(self, position: Position) -> None:
        """Record the answer to a commit that is reported to its caller as done.

        A registered replica has shown that its log reaches the position.
        """
        self._reported = max(self._reported, position)

    def under_way(
        self, term: int, now: float, leader: str = ""
    ) -> PrimaryChange | None:
        """Return the newest change under way, or None.

        `term` is the newest term known. A promotion of the present `leader` changes
        nothing.
        """
        under_way = (
            each.change
            for each in self._newest_first()
            if now <= each.until
            and term <= each.change.replaced_term
            and not (leader and leader == each.successor)
        )
        return next(under_way, None)

    def _newest_first(self) -> list[_AnnouncedChange]:
        return [
            self._announced[token] for token in sorted(self._announced, reverse=True)
        ]

    def drops(
        self,
        position: Position | None,
        term: int,
        now: float,
        holds: Callable[[str], bool] = holds_none,
    ) -> bool:
        """Return True if an announced promotion may drop a commit at a position.

        That holds also once its successor leads, and for good once that is known to. It
        keeps the commit if its successor `holds` it. Without a position, it holds while
        a change is under way; `term` is the newest term known.
        """
        if position is None:
            return self.under_way(term, now) is not None
        if self._over is not None and self._over.drops(position):
            return True
        return any(
            each.change.drops(position) and not holds(each.successor)
            for each in self._announced.values()
            if now <= each.until
        )

    def objects_to(self, change: PrimaryChange, known_term: int) -> bool:
        """Return True if the promotion drops a commit that was reported as done.

        Whoever knows of a later term than those replaced objects in any case: the
        promoter does not, and its successor may lack what was committed in it.
        """
        return (
            known_term > change.replaced_term
            or self.reported_beyond(change) is not None
        )

    def reported_beyond(self, change: PrimaryChange) -> Position | None:
        """Return where a commit beyond the successor's log was reported, or None."""
        return self._reported if self._reported > change.log_end else None
