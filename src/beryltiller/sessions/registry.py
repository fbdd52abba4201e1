"""Registry: which databases are there, from entries that may lapse by mistake.

An entry that is gone is still used for a while: when the store was away, entries of
living databases lapse and come back soon after its return.
"""

from collections.abc import Iterable

from beryltiller.sessions.catalog import Database, Departed, Directory

# Entries that lapsed by mistake are back within two seconds of the store's return.
LAPSE_GRACE_SECONDS = 2.5
# How long a database whose entry went is remembered as perhaps alive.
DEPARTED_SECONDS = 60.0


class Registry:
    """Remember entries, and those that have gone for up to `LAPSE_GRACE_SECONDS`."""

    def __init__(self) -> None:
        """Start empty."""
        self._present: dict[str, Database] = {}
        self._missing: dict[str, tuple[Database, float]] = {}
        self._departed: dict[str, tuple[Database, float]] = {}

    def replace(self, databases: Iterable[Database], now: float) -> None:
        """Take in all entries that are there now."""
        present = {database.identifier: database for database in databases}
        for identifier, database in self._present.items():
            if identifier not in present:
                self._missing[identifier] = (database, now)
        for identifier in present:
            self._missing.pop(identifier, None)
            self._departed.pop(identifier, None)
        self._present = present

    def is_present(self, identifier: str) -> bool:
        """Tell whether the database's entry is there."""
        return identifier in self._present

    def next_lapse(self) -> float | None:
        """Return when the next missing database is given up."""
        times = [since + LAPSE_GRACE_SECONDS for _, since in self._missing.values()]
        return min(times, default=None)

    def directory(self, now: float) -> Directory:
        """Return the databases to use, without those missing for long."""
        for identifier, (database, since) in tuple(self._missing.items()):
            if now < since + LAPSE_GRACE_SECONDS:
                continue
            del self._missing[identifier]
            self._departed[identifier] = (database, since)
        held = {key: database for key, (database, _) in self._missing.items()}
        departed = tuple(
            Departed(database, since)
            for database, since in self._departed.values()
            if now < since + DEPARTED_SECONDS
        )
        return Directory({**held, **self._present}, departed)
