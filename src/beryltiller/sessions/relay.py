"""Decide whose word on the store's tables a proxy takes, so that few proxies ask it.

In each availability zone a few proxies are feeders: they follow the store themselves
and tell the others of each change. The others ask the store only while no feeder is
heard that reaches it, or when they have missed a change. Feeders' posts are rows of
the store; whoever finds a holder silent takes its post. Two that take themselves for
holders only ask the store more often, so nothing depends on agreement.

Pure decisions; times are seconds on a clock that also counts suspension.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from beryltiller.core.ports import Row

FEEDERS_PER_ZONE = 2
# A feeder that has been silent for longer is not relied on.
FRESH_SECONDS = 1.3
# The post of a feeder that has been silent for longer is taken.
DEPARTED_SECONDS = 12.0


@dataclass(frozen=True, slots=True)
class Feeder:
    """A proxy that feeds others; `address` is where it is heard."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Post:
    """The key of a post and its row's version, 0 without a row."""

    key: str
    version: int = 0
    holder: Feeder | None = None


@dataclass(frozen=True, slots=True)
class TableChange:
    """Tell what changed in a table after revision `since`, up to `until`.

    With `is_whole` the rows are all that the table holds. A change that is too large
    to be told has no rows.
    """

    table: str
    since: int
    until: int
    rows: tuple[Row, ...] = ()
    removed: tuple[str, ...] = ()
    is_whole: bool = False


@dataclass(frozen=True, slots=True)
class TableState:
    """Tell up to which revision a feeder knows of changes, and whether it asks well."""

    changed_at: int
    is_reachable: bool


@dataclass(frozen=True, slots=True)
class Announcement:
    """Tell of a feeder and the tables that it follows, by name."""

    feeder: Feeder
    tables: Mapping[str, TableState]


@dataclass(slots=True)
class _Heard:
    """What a feeder announced last, and when."""

    at: float
    tables: Mapping[str, TableState] = field(default_factory=dict)


def post_keys(availability_zone: str) -> tuple[str, ...]:
    """Return the keys of a zone's posts.

    >>> post_keys("north")
    ('north/1', 'north/2')
    """
    numbers = range(1, FEEDERS_PER_ZONE + 1)
    return tuple(f"{availability_zone}/{number}" for number in numbers)


class Relay:
    """Know the zone's feeders and what they announced.

    >>> relay = Relay(Feeder("b", "127.0.0.2:1"))
    >>> relay.posted((Post("z/1", 7, Feeder("a", "127.0.0.1:1")), Post("z/2")), now=0.0)
    >>> relay.vacancy(now=1.0)
    Post(key='z/2', version=0, holder=None)
    """

    def __init__(self, own: Feeder) -> None:
        """Start without feeders."""
        self._own = own
        self._posts: tuple[Post, ...] = ()
        self._heard: dict[Feeder, _Heard] = {}

    @property
    def is_feeder(self) -> bool:
        """Tell whether this proxy holds a post."""
        return any(post.holder == self._own for post in self._posts)

    @property
    def others(self) -> frozenset[Feeder]:
        """Return the other proxies that hold posts."""
        return frozenset(self._heard)

    def posted(self, posts: Iterable[Post], now: float) -> None:
        """Take in the posts as the store has them; a new holder is given time."""
        self._posts = tuple(posts)
        holders = {post.holder for post in self._posts if post.holder is not None}
        self._heard = {
            holder: self._heard.get(holder, _Heard(now))
            for holder in holders - {self._own}
        }

    def vacancy(self, now: float) -> Post | None:
        """Return a post that this proxy should take, or None."""
        if self.is_feeder:
            return None
        free = (post for post in self._posts if self._is_vacant(post, now))
        return next(free, None)

    def heard(self, announcement: Announcement, now: float) -> None:
        """Take in what a feeder announced."""
        heard = self._heard.get(announcement.feeder)
        if heard is not None:
            heard.at = now
            heard.tables = announcement.tables

    def is_fed(self, table: str, now: float) -> bool:
        """Tell whether a feeder that reaches the store tells of the table's changes."""
        return not self.is_feeder and self._newest(table, now) is not None

    def is_current(self, table: str, revision: int, now: float) -> bool:
        """Tell whether no feeder knows of changes after a revision."""
        newest = self._newest(table, now)
        return newest is None or newest <= revision

    def _is_vacant(self, post: Post, now: float) -> bool:
        if post.holder is None:
            return True
        heard = self._heard.get(post.holder)
        return heard is not None and now > heard.at + DEPARTED_SECONDS

    def _newest(self, table: str, now: float) -> int | None:
        """Return the newest revision with a change that a fresh feeder knows of."""
        states = (
            heard.tables.get(table)
            for heard in self._heard.values()
            if now <= heard.at + FRESH_SECONDS
        )
        changes = (each.changed_at for each in states if each and each.is_reachable)
        return max(changes, default=None)
