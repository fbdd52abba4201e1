"""Ends and starts of the databases of a simulated group."""

import asyncio

from tests.simulated_databases import SimulatedDatabase
from tests.simulated_sessions import Simulation
from tests.virtual_loop import virtual_now

DRAIN_SECONDS = 6.0
RELEASE_DRAIN_SECONDS = 1.0


class Lifecycle:
    """Ends databases, and starts them again or others in their places."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._group = simulation.group

    def is_placed(self, database: SimulatedDatabase) -> bool:
        """Return True if the database still has its place in the network."""
        return self._group.hosts.get(database.host) is database

    def stop(self, database: SimulatedDatabase) -> None:
        """End a database's process."""
        self._simulation.checker.trace(f"{database.identifier} ends")
        database.stop()

    def start_again(self, database: SimulatedDatabase) -> None:
        """Start a database again with its log."""
        newest = max(each.term for each in self._group.databases)
        database.is_running = True
        database.is_primary = database.is_primary and database.term == newest
        database.apply_all()
        role = "primary" if database.is_primary else "replica"
        self._simulation.checker.trace(
            f"{database.identifier} is back as {role} at {database.received}"
        )

    async def restart_empty(self, database: SimulatedDatabase, seconds: float) -> None:
        """End a database that comes back empty, but no primary with the only log."""
        checker = self._simulation.checker
        if not database.is_running:
            return
        is_primary = database is self._group.primary
        if not is_primary or checker.has_copies(self._group, without=database):
            await self.restart_without_log(database, seconds)

    async def restart_without_log(
        self, database: SimulatedDatabase, seconds: float
    ) -> None:
        """End a database that comes back empty after some seconds."""
        self.stop(database)
        database.truncate(0)
        database.is_primary = False
        database.is_draining = False
        database.term = 0
        await asyncio.sleep(seconds)
        if self.is_placed(database):
            database.incarnation = self._next_incarnation()
            database.is_running = True
            self._simulation.checker.trace(f"{database.identifier} is back and empty")

    async def replace(
        self, database: SimulatedDatabase, drain_seconds: float, choice: float
    ) -> None:
        """Drain a database; another takes its place with its log.

        Nothing is done while some database drains.
        """
        simulation = self._simulation
        if not await self._drain(database, drain_seconds + choice):
            return
        self._end(database)
        number = self._next_incarnation()
        successor = SimulatedDatabase(
            f"n{number}", database.host, database.zone, term=database.term
        )
        successor.incarnation = number
        successor.log = list(database.log)
        successor.applied_at = list(database.applied_at)
        successor.is_running = False
        self._group.hosts[database.host] = successor
        await asyncio.sleep(0.3 + choice + simulation.lateness.start_seconds)
        successor.is_running = True
        successor.registers_at = virtual_now() + simulation.lateness.entry_seconds
        successor.apply_all()
        simulation.checker.trace(
            f"{successor.identifier} replaces {database.identifier}"
        )

    async def join(self, seconds: float, entry_seconds: float) -> None:
        """Start a database at a new host, and wait some seconds.

        It receives the primary's log at once; its entry appears after `entry_seconds`.
        """
        number = self._next_incarnation()
        database = SimulatedDatabase(f"j{number}", f"h{number + 10}", "abc"[number % 3])
        database.term = 0
        database.incarnation = number
        database.registers_at = virtual_now() + entry_seconds
        self._group.hosts[database.host] = database
        self._simulation.checker.trace(f"{database.identifier} joins")
        await asyncio.sleep(seconds)

    async def leave(self, database: SimulatedDatabase, choice: float) -> None:
        """Drain a database that ends for good, once no commit is lost with its log.

        Nothing is done while some database drains.
        """
        checker = self._simulation.checker
        if not await self._drain(database, DRAIN_SECONDS + choice):
            return
        while not checker.has_copies(self._group, without=database):
            await asyncio.sleep(0.1)
        if self.is_placed(database) and database.is_running:
            self._end(database)
            del self._group.hosts[database.host]

    async def _drain(self, database: SimulatedDatabase, seconds: float) -> bool:
        """Drain a database, and return True if it is to end after that."""
        if any(each.is_draining for each in self._group.databases):
            return False
        database.is_draining = True
        self._simulation.checker.trace(f"{database.identifier} drains")
        await asyncio.sleep(seconds)
        is_running = database.is_draining and database.is_running
        return self.is_placed(database) and is_running

    def _end(self, database: SimulatedDatabase) -> None:
        """End a database, which removes its entry unless writes are late."""
        self.stop(database)
        if not self._simulation.lateness.writes:
            self._simulation.store.remove(database.identifier)

    def _next_incarnation(self) -> int:
        self._simulation.incarnations += 1
        return self._simulation.incarnations
