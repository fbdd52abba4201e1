"""The in-sync set of a group: the processes whose logs hold what proxies have reported.

The store keeps the set, so that it outlives the proxies. A commit is reported only if
the primary that acknowledged it and a replica that has received it are both in the set.
So each reported commit is in the logs of two of its processes, and a promoter that
started a moment ago knows all processes that it has to account for.

A proxy without news of the store does not learn that a process leaves. It counts one
replica alone for `DRAIN_LEASE_SECONDS` after its last news, then two together, and none
after `SET_LEASE_SECONDS`. So one that has been leaving for longer than that is counted
by nobody, and is removed, whether or not it runs. One that had drained is removed after
the shorter time already, if no other has left within the longer one.
"""

from dataclasses import dataclass

from beryltiller.sessions.databases.catalog import Database

# Each reported commit is in the logs of at least this many processes in sync.
COPIES = 2
# How long what a proxy knows of a set counts, from when the store had it so.
SET_LEASE_SECONDS = 15.0
# How long it counts for one replica without another one.
DRAIN_LEASE_SECONDS = 10.0
# Within these times, the clocks of two proxies differ by less than this.
LEASE_MARGIN_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class InSyncProcess:
    """One process of a database, which has the identifier and the incarnation.

    `address`, `availability_zone` and `slots` are those of its entry, for when that has
    gone. While it `is_leaving` no receipt of it counts, and promoters account for it.
    One that `has_drained` has announced its end. One that `has_lapsed` had no entry any
    more when that was written; whether it runs is not known.
    """

    identifier: str
    incarnation: int
    address: str
    availability_zone: str
    slots: int
    is_leaving: bool = False
    has_drained: bool = False
    has_lapsed: bool = False

    def is_of(self, database: Database) -> bool:
        """Return True if an entry is that of this process."""
        key = database.identifier, database.incarnation
        return key == (self.identifier, self.incarnation)

    def database(self, service: str) -> Database:
        """Return an entry by which the process can be asked.

        >>> InSyncProcess("d", 7, "127.0.0.1:1", "a", 2).database("s").incarnation
        7
        """
        return Database(
            self.identifier,
            service,
            self.address,
            self.availability_zone,
            self.slots,
            is_primary=False,
            is_draining=self.has_drained,
            incarnation=self.incarnation,
        )


def process_key(process: InSyncProcess) -> tuple[str, int]:
    """Return what tells a process from all others, in the order of names."""
    return process.identifier, process.incarnation


def process_of(database: Database) -> InSyncProcess:
    """Return the process that an entry is of."""
    return InSyncProcess(
        database.identifier,
        database.incarnation,
        database.address,
        database.availability_zone,
        database.slots,
    )


@dataclass(frozen=True, slots=True)
class InSyncSet:
    """The processes of a group that are in sync, by name, the lapsed ones last.

    >>> process = InSyncProcess("d", 7, "127.0.0.1:1", "a", 2)
    >>> InSyncSet((process,)).counts(process.database("s"))
    True
    """

    processes: tuple[InSyncProcess, ...] = ()

    def find(self, database: Database) -> InSyncProcess | None:
        """Return the process that an entry is of, or None if it is not in the set."""
        found = (each for each in self.processes if each.is_of(database))
        return next(found, None)

    def counts(self, database: Database) -> bool:
        """Return True if what the process of an entry has received is kept."""
        process = self.find(database)
        return process is not None and not process.is_leaving


class LeavingProcesses:
    """Since when this proxy has known the processes of a set to be leaving.

    >>> process = InSyncProcess("d", 7, "127.0.0.1:1", "a", 2, is_leaving=True)
    >>> leaving = LeavingProcesses()
    >>> leaving.record(InSyncSet((process,)), now=1.0)
    >>> leaving.is_uncounted(process, now=16.0), leaving.is_uncounted(process, now=17.0)
    (False, True)
    """

    def __init__(self) -> None:
        """Create a record of no process."""
        self._since: dict[tuple[str, int], float] = {}
        self._drained_since: dict[tuple[str, int], float] = {}
        self._left_at: float | None = None

    def record(self, in_sync: InSyncSet, now: float) -> None:
        """Record the set that the store keeps, as it is known now.

        Others may have left right before the first one is known.
        """
        leaving = [each for each in in_sync.processes if each.is_leaving]
        drained = [each for each in leaving if each.has_drained]
        if self._left_at is None or self._since.keys() - set(map(process_key, leaving)):
            self._left_at = now
        self._since = _kept(self._since, leaving, now)
        self._drained_since = _kept(self._drained_since, drained, now)

    def since(self, process: InSyncProcess) -> float | None:
        """Return since when a process has been known to be leaving, or None."""
        return self._since.get(process_key(process))

    def is_uncounted(self, process: InSyncProcess, now: float) -> bool:
        """Return True if no proxy counts a process any more."""
        since = self._since.get(process_key(process), now)
        return since < _before(now, SET_LEASE_SECONDS)

    def is_uncounted_alone(self, process: InSyncProcess, now: float) -> bool:
        """Return True if no proxy counts a process without another one any more.

        That holds for a drained one, if no other has left while a proxy without news
        may count both together.
        """
        if self.is_uncounted(process, now):
            return True
        drained_since = self._drained_since.get(process_key(process), now)
        is_first = self._left_at is not None and (
            self._left_at < _before(now, SET_LEASE_SECONDS)
        )
        return is_first and drained_since < _before(now, DRAIN_LEASE_SECONDS)


def _before(now: float, lease_seconds: float) -> float:
    """Return since when all proxies without news have been so for a lease."""
    return now - lease_seconds - LEASE_MARGIN_SECONDS


def _kept(
    since: dict[tuple[str, int], float], processes: list[InSyncProcess], now: float
) -> dict[tuple[str, int], float]:
    """Return since when each of some processes has been known, at the latest now."""
    return {process_key(each): since.get(process_key(each), now) for each in processes}
