"""The databases of the configuration, and those that this proxy connects to.

All methods run on the event loop. A new configuration or a change of the members
changes this proxy's share of each database's connections, which is the maximum number
that it may open. The proxy has a dispatcher for each database with a share above 0, and
forwards statements for the others. The dispatcher of a database whose share becomes 0,
or that is changed or removed by a configuration, is drained and then closed.
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
class ConfiguredDatabase:
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
        """Return the database's limit on connections, with its availability zone."""
        database = self.database
        return EndpointCap(
            database.name, database.availability_zone, database.connection_cap
        )


@dataclass(frozen=True, slots=True)
class ConnectedDatabase:
    """A database that this proxy connects to, with what runs its statements.

    Closing `stack` ends the open transactions and closes the dispatcher.
    """

    configured: ConfiguredDatabase
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
        rng: random.Random,
    ) -> None:
        """Start without databases; `name` is this proxy's name among the members."""
        self._name = name
        self._make_endpoint = make_endpoint
        self._records = records
        self._policy = policy
        self._rng = rng
        self._holder_cache = HolderCache(shares)
        self._configured: dict[str, ConfiguredDatabase] = {}
        self._connected: dict[str, ConnectedDatabase] = {}
        self._groups: dict[str, Group] = {}
        self._shares_lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False

    @property
    def connected(self) -> Mapping[str, ConnectedDatabase]:
        """Return the databases with a dispatcher by name; do not change the mapping."""
        return self._connected

    @property
    def groups(self) -> Mapping[str, Group]:
        """Return the groups of the configuration in force, by name."""
        return self._groups

    def find_connected(self, name: str) -> ConnectedDatabase | None:
        """Return a database that has a dispatcher here, or None."""
        return self._connected.get(name)

    def find_configured(self, name: str) -> ConfiguredDatabase | None:
        """Return a configured database, or None if there is none of this name."""
        return self._configured.get(name)

    def of_group(self, group: str) -> tuple[ConfiguredDatabase, ...]:
        """Return a group's databases, or an empty tuple if it is not configured."""
        found = self._groups.get(group)
        names = (database.name for database in found.databases) if found else ()
        return tuple(self._configured[name] for name in names)

    def holders(self, name: str) -> tuple[Member, ...]:
        """Return the members that have a share of a database's connections."""
        return self._holder_cache.holders(name)

    async def configure(self, configuration: Configuration) -> None:
        """Adopt a configuration; open, resize and close dispatchers to match it."""
        self._configured = {
            database.name: self._keep_or_create(group.name, database)
            for group in configuration.groups
            for database in group.databases
        }
        self._groups = {group.name: group for group in configuration.groups}
        self._holder_cache.configure(
            configured.cap for configured in self._configured.values()
        )
        await self._apply_shares()

    def update_members(self, members: Iterable[Member]) -> None:
        """Adopt the current members, and start to apply the resulting shares."""
        self._holder_cache.update(members)
        self._start_task(self._apply_shares())

    async def drain(self) -> None:
        """Refuse new statements and wait until all accepted ones have ended."""
        drains = [
            connected.dispatcher.drain() for connected in self._connected.values()
        ]
        await asyncio.gather(*drains)

    async def close(self) -> None:
        """Cancel pending changes and close every dispatcher; open none from now on."""
        self._is_closed = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        connected, self._connected = self._connected, {}
        for database in connected.values():
            await database.stack.aclose()

    def _keep_or_create(self, group: str, database: Database) -> ConfiguredDatabase:
        """Return the existing object of an unchanged database, or create one.

        `_apply_shares` replaces the dispatcher of a database whose object is new.
        """
        existing = self._configured.get(database.name)
        if existing and existing.group == group and existing.database == database:
            return existing
        return ConfiguredDatabase(
            group, database, self._make_endpoint(database.address)
        )

    async def _apply_shares(self) -> None:
        """Open, resize and close dispatchers until they match the shares."""
        async with self._shares_lock:
            for name, connected in list(self._connected.items()):
                if self._configured.get(
                    name
                ) is not connected.configured or not self._share(name):
                    self._start_task(self._drain_and_close(self._connected.pop(name)))
            for name, configured in list(self._configured.items()):
                share = self._share(name)
                if name in self._connected:
                    self._connected[name].dispatcher.resize(share)
                elif share and not self._is_closed:
                    self._connected[name] = await self._open(configured, share)

    def _share(self, name: str) -> int:
        return self._holder_cache.share(name, self._name)

    async def _open(
        self, configured: ConfiguredDatabase, share: int
    ) -> ConnectedDatabase:
        async with AsyncExitStack() as stack:
            dispatcher = await stack.enter_async_context(
                Dispatcher(
                    configured.name,
                    configured.endpoint,
                    share,
                    self._records,
                    self._policy,
                    rng=self._rng,
                )
            )
            transactions = TransactionRunner(dispatcher)
            stack.callback(transactions.close)
            resources = stack.pop_all()
        return ConnectedDatabase(configured, dispatcher, transactions, resources)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @staticmethod
    async def _drain_and_close(connected: ConnectedDatabase) -> None:
        try:
            await connected.dispatcher.drain()
        finally:
            await connected.stack.aclose()
