"""The databases of the configuration, and those that this proxy connects to.

All methods run on the event loop. A new configuration or a change of the members
changes this proxy's share of each database's connections. The proxy has a dispatcher
for each database with a share, and forwards statements for the others. A dispatcher
whose share or database is gone is drained and then closed.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

from beryltiller.admission.records import AdmissionRecords
from beryltiller.configuration.tables import Configuration, Database, Group
from beryltiller.core.ports import Endpoint
from beryltiller.dispatching.dispatch import Dispatcher, DispatchPolicy
from beryltiller.dispatching.transaction_runner import TransactionRunner
from beryltiller.membership.holder_cache import HolderCache
from beryltiller.membership.shares import EndpointCap, Member, SharePolicy

EndpointFactory = Callable[[str], Endpoint]


@dataclass(frozen=True, slots=True)
class Place:
    """A database of the configuration, with its group and the adapter to it."""

    group: str
    database: Database
    endpoint: Endpoint

    @property
    def name(self) -> str:
        """Return the database's name."""
        return self.database.name

    @property
    def cap(self) -> EndpointCap:
        """Return the cap on the database's connections from all proxies together."""
        database = self.database
        return EndpointCap(
            database.name, database.availability_zone, database.connection_cap
        )


@dataclass(frozen=True, slots=True)
class Served:
    """A database that this proxy connects to, with what runs its statements.

    Closing `stack` ends the open transactions and closes the dispatcher.
    """

    place: Place
    dispatcher: Dispatcher
    transactions: TransactionRunner
    stack: AsyncExitStack


class Databases:
    """The configured databases, with a dispatcher for each that has a share here."""

    def __init__(
        self,
        name: str,
        make_endpoint: EndpointFactory,
        records: AdmissionRecords,
        policy: DispatchPolicy,
        shares: SharePolicy,
        source: random.Random,
    ) -> None:
        """Start without databases; `name` is this proxy's name among the members."""
        self._name = name
        self._make_endpoint = make_endpoint
        self._records = records
        self._policy = policy
        self._random = source
        self._holder_cache = HolderCache(shares)
        self._places: dict[str, Place] = {}
        self._served: dict[str, Served] = {}
        self._groups: dict[str, Group] = {}
        self._shares_lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False

    @property
    def served(self) -> Mapping[str, Served]:
        """Return by name the databases with a dispatcher; do not change the mapping."""
        return self._served

    @property
    def groups(self) -> Mapping[str, Group]:
        """Return by name the groups of the configuration in force."""
        return self._groups

    def get(self, name: str) -> Served | None:
        """Return a database that has a dispatcher here, or None."""
        return self._served.get(name)

    def place(self, name: str) -> Place | None:
        """Return a configured database, or None if there is none of this name."""
        return self._places.get(name)

    def of_group(self, group: str) -> tuple[Place, ...]:
        """Return a group's databases, or none if it is not configured."""
        found = self._groups.get(group)
        names = (database.name for database in found.databases) if found else ()
        return tuple(self._places[name] for name in names)

    def holders(self, name: str) -> tuple[Member, ...]:
        """Return the members that have a share of a database's connections."""
        return self._holder_cache.holders(name)

    async def configure(self, configuration: Configuration) -> None:
        """Adopt a configuration; open, resize and close dispatchers to match it."""
        self._places = {
            database.name: self._keep_or_create(group.name, database)
            for group in configuration.groups
            for database in group.databases
        }
        self._groups = {group.name: group for group in configuration.groups}
        self._holder_cache.configure(place.cap for place in self._places.values())
        await self._apply_shares()

    def share_out(self, members: Iterable[Member]) -> None:
        """Adopt the current members, and start to apply the shares that follow."""
        self._holder_cache.update(members)
        self._spawn(self._apply_shares())

    async def drain(self) -> None:
        """Refuse new statements and wait until all accepted ones have ended."""
        drains = [served.dispatcher.drain() for served in self._served.values()]
        await asyncio.gather(*drains)

    async def close(self) -> None:
        """Cancel pending changes and close every dispatcher; open none from now on."""
        self._is_closed = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        served, self._served = self._served, {}
        for database in served.values():
            await database.stack.aclose()

    def _keep_or_create(self, group: str, database: Database) -> Place:
        held = self._places.get(database.name)
        if held and held.group == group and held.database == database:
            return held
        return Place(group, database, self._make_endpoint(database.address))

    async def _apply_shares(self) -> None:
        """Open, resize and close dispatchers until they match the shares."""
        async with self._shares_lock:
            for name, served in list(self._served.items()):
                if self._places.get(name) is not served.place or not self._share(name):
                    self._spawn(self._drain_and_close(self._served.pop(name)))
            for name, place in list(self._places.items()):
                share = self._share(name)
                if name in self._served:
                    self._served[name].dispatcher.resize(share)
                elif share and not self._is_closed:
                    self._served[name] = await self._open(place, share)

    def _share(self, name: str) -> int:
        return self._holder_cache.share(name, self._name)

    async def _open(self, place: Place, share: int) -> Served:
        async with AsyncExitStack() as stack:
            dispatcher = await stack.enter_async_context(
                Dispatcher(
                    place.name,
                    place.endpoint,
                    share,
                    self._records,
                    self._policy,
                    rng=self._random,
                )
            )
            transactions = TransactionRunner(dispatcher)
            stack.callback(transactions.close)
            resources = stack.pop_all()
        return Served(place, dispatcher, transactions, resources)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @staticmethod
    async def _drain_and_close(served: Served) -> None:
        try:
            await served.dispatcher.drain()
        finally:
            await served.stack.aclose()
