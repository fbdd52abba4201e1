"""Until when no change of primary can have come unseen.

A proxy that follows the store hears of each change before it takes effect, as its
promoter announces it. One without news of the store has to tell from the databases.
What they answer now does not: a promotion lifts the fences of the others, so that one
which does not reach the new primary receives from the old one again. But a promoter
holds each replica in sync fenced for a while before the promotion takes effect. So
nothing has come between two answers of one replica that are closer together than that,
if it was not fenced in either.

Such answers form a chain. It begins where all announcements are known, or where all
databases that may be promoted have answered that they are not primary. A gap ends it,
until there is news.

Each observation also shows that a promoter which has not had its promotion confirmed by
then has all databases to ask once more, those included that have started meanwhile.

Times are seconds on the caller's clock, passed in.
"""

from collections import deque
from dataclasses import dataclass

from beryltiller.sessions.databases.evidence import TERM_PROOF_SECONDS
from beryltiller.sessions.databases.in_sync_set import COPIES
from beryltiller.sessions.databases.member import NEVER, Member

# A proxy that follows the store knows its tables as of this long ago, or later.
NEWS_SECONDS = 2.2
# Until this long after the last news, a chain may begin with answers of all databases.
# One that is not known yet is not promoted before, and a promotion that was requested
# and has had no effect still holds its fences.
RESTART_SECONDS = 4.0
# Of one replica, answers before the latest ones are not linked to its chain later.
MAX_LOOSE = 4


@dataclass(frozen=True, slots=True)
class Unfenced:
    """A replica in sync was not fenced at some moment between two others.

    With `counts_alone` it cannot have left the in-sync set unseen.
    """

    member: Member
    asked_at: float
    answered_at: float
    counts_alone: bool


class Continuity:
    """What one proxy knows of changes of a group's primary that it has not heard of.

    >>> continuity = Continuity()
    >>> continuity.record_news(1.0)
    >>> entry = Database("d", "s", "h:1", "a", 2, False, False)
    >>> replica = Member(entry)
    >>> continuity.record_unfenced(Unfenced(replica, 0.9, 1.0, True))
    >>> continuity.until, continuity.settled_at
    (1.4, 1.0)
    >>> continuity.record_unfenced(Unfenced(replica, 1.5, 1.6, True))
    >>> continuity.until
    1.4
    """

    def __init__(self) -> None:
        """Create the knowledge of a proxy that has had no news."""
        self._until = NEVER
        self._settled_at = NEVER
        self._chains: dict[Member, Unfenced] = {}
        self._loose: dict[Member, deque[Unfenced]] = {}

    @property
    def until(self) -> float:
        """Return the moment until which no change can have taken effect unseen."""
        return self._until

    @property
    def settled_at(self) -> float:
        """Return the moment until which all changes that still matter are known.

        A promotion that is not known will be confirmed later than that.
        """
        return self._settled_at

    def record_news(self, known_at: float) -> None:
        """Record that all announcements made until a moment are known."""
        self._until = max(self._until, known_at)
        self._settled_at = max(self._settled_at, known_at)

    def record_round(self, asked_at: float, is_unfenced: bool) -> None:
        """Record that no database which may be promoted was primary at a moment.

        With `is_unfenced` none of them was fenced either.
        """
        self._until = max(self._until, asked_at)
        if is_unfenced:
            self._until = max(self._until, asked_at + TERM_PROOF_SECONDS)
            self._settled_at = max(self._settled_at, asked_at)
        self._link()

    def record_unfenced(self, answer: Unfenced) -> None:
        """Record an answer, which continues a chain now or once more is known."""
        loose = self._loose.setdefault(answer.member, deque(maxlen=MAX_LOOSE))
        loose.append(answer)
        self._link()

    def _link(self) -> None:
        """Let chains go on with the answers that came in time."""
        linked = True
        while linked:
            linked = any(map(self._link_one, self._loose.values()))

    def _link_one(self, loose: deque[Unfenced]) -> bool:
        """Link the earliest loose answer of a replica; return True if there was one."""
        if not loose:
            return False
        chain = self._chains.get(loose[0].member)
        if loose[0].answered_at > max(self._until, _end(chain)):
            return False
        answer = loose.popleft()
        if chain is None or answer.asked_at > chain.asked_at:
            self._chains[answer.member] = answer
        if answer.counts_alone:
            self._extend(answer)
        elif len(self._chains) >= COPIES:
            latest = sorted(self._chains.values(), key=_end, reverse=True)
            self._extend(latest[COPIES - 1])
        return True

    def _extend(self, answer: Unfenced) -> None:
        self._until = max(self._until, _end(answer))
        self._settled_at = max(self._settled_at, answer.asked_at)

    def keep_only(self, members: set[Member]) -> None:
        """Forget the chains of all others."""
        for member in self._loose.keys() - members:
            del self._loose[member]
            self._chains.pop(member, None)


def _end(answer: Unfenced | None) -> float:
    """Return until when an answer shows that no change took effect, after it."""
    return answer.asked_at + TERM_PROOF_SECONDS if answer else NEVER
