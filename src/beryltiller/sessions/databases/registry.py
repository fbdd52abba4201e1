"""Registry of databases, which tolerates entries that lapse or go back by mistake.

An entry that is gone is still used for a while: after an outage of the store, entries
of running databases lapse and reappear soon after the store returns. An entry that is
older than what is known of the database is not used for a while: after the store came
back from a copy, running databases write theirs again, and those that have left do not.
"""

from collections.abc import Iterable, Mapping

from beryltiller.sessions.databases.catalog import Database, Departed, Directory

# Entries that lapsed by mistake reappear within two seconds of the store's return.
LAPSE_GRACE_SECONDS = 2.5
# Databases write again soon after the store's return what it has lost. An older entry
# that stays for longer is one of a database whose counts went back.
OLDER_ENTRY_SECONDS = 10.0
# How long a database whose entry is gone is kept as possibly still running.
DEPARTED_RETENTION_SECONDS = 60.0


class Registry:
    """The registered databases, and those whose entries went missing recently.

    A missing one is used for `LAPSE_GRACE_SECONDS` and counts as departed afterwards.
    """

    def __init__(self) -> None:
        """Create an empty registry."""
        self._present: dict[str, Database] = {}
        self._missing: dict[str, tuple[Database, float]] = {}
        self._departed: dict[str, tuple[Database, float]] = {}
        self._older_since: dict[str, float] = {}
        self._remembered: dict[str, tuple[Database, ...]] = {}
        self._absent_since: dict[str, float] = {}
        self._evaluated_at = float("-inf")

    def replace(self, databases: Iterable[Database], now: float) -> None:
        """Replace the registered databases; `databases` are all current entries."""
        present = self._without_older(databases, now)
        for identifier, database in self._present.items():
            if identifier not in present:
                self._missing[identifier] = (database, now)
        for identifier in present:
            self._missing.pop(identifier, None)
            self._departed.pop(identifier, None)
        self._present = present

    def remember(self, service: str, databases: tuple[Database, ...]) -> bool:
        """Keep a service's databases as departed once they have no entry.

        They take the place of those remembered before, and are kept until then, also
        if this process has never read their entries. Return True if they are others.
        """
        if self._remembered.get(service, ()) == databases:
            return False
        self._remembered[service] = databases
        return True

    def remember_all(self, databases: Mapping[str, tuple[Database, ...]]) -> bool:
        """Keep the databases of all these services; return True if some are others."""
        others = [self.remember(name, each) for name, each in databases.items()]
        return any(others)

    def _without_older(
        self, databases: Iterable[Database], now: float
    ) -> dict[str, Database]:
        """Return the entries by identifier, with known later ones in their place.

        An older entry of a missing or departed database is left out.
        """
        present: dict[str, Database] = {}
        older_since: dict[str, float] = {}
        for database in databases:
            identifier = database.identifier
            known = self._known(identifier)
            if known is not None and known.is_later_than(database):
                since = self._older_since.get(identifier, now)
                older_since[identifier] = since
                if now < since + OLDER_ENTRY_SECONDS:
                    if identifier in self._present:
                        present[identifier] = known
                    continue
            present[identifier] = database
        self._older_since = older_since
        return present

    def _known(self, identifier: str) -> Database | None:
        if identifier in self._present:
            return self._present[identifier]
        missing = self._missing.get(identifier) or self._departed.get(identifier)
        return missing[0] if missing else None

    def is_present(self, identifier: str) -> bool:
        """Return True if the database has a current entry."""
        return identifier in self._present

    def next_expiry(self) -> float | None:
        """Return when a missing database next counts as departed, or no longer does.

        Return None if none will.
        """
        departures = (
            since + LAPSE_GRACE_SECONDS for _, since in self._missing.values()
        )
        ends = (
            since + DEPARTED_RETENTION_SECONDS for _, since in self._departed.values()
        )
        due = (end for end in ends if end > self._evaluated_at)
        return min((*departures, *due), default=None)

    def directory(self, now: float) -> Directory:
        """Return the usable databases, with those missing for long as departed."""
        for identifier, (database, since) in tuple(self._missing.items()):
            if now < since + LAPSE_GRACE_SECONDS:
                continue
            del self._missing[identifier]
            self._departed[identifier] = (database, since)
        self._evaluated_at = now
        in_grace = {key: database for key, (database, _) in self._missing.items()}
        departed = tuple(
            Departed(database, since)
            for database, since in self._departed.values()
            if now < since + DEPARTED_RETENTION_SECONDS
        )
        usable = {**in_grace, **self._present}
        absent = self._absent(usable, departed, now)
        return Directory(usable, (*departed, *absent), frozenset(in_grace))

    def _absent(
        self, usable: dict[str, Database], departed: tuple[Departed, ...], now: float
    ) -> tuple[Departed, ...]:
        """Return the remembered databases of which nothing else tells."""
        told = {*usable, *(each.database.identifier for each in departed)}
        absent = {
            each.identifier: each
            for databases in self._remembered.values()
            for each in sorted(databases, key=lambda each: each.incarnation)
            if each.identifier not in told
        }
        since = {name: self._absent_since.get(name, now) for name in absent}
        for name in since.keys() & self._departed.keys():
            since[name] = min(since[name], self._departed[name][1])
        self._absent_since = since
        return tuple(Departed(absent[name], since[name]) for name in absent)
