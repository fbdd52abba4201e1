"""The databases that one proxy uses: groups, connection pools and commands."""

import asyncio
from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace

from beryltiller.sessions.connections.connection_limits import ConnectionSupply
from beryltiller.sessions.connections.connection_pool import ConnectionPool
from beryltiller.sessions.connections.database_pools import DatabasePools
from beryltiller.sessions.connections.pooled_queries import run_command, run_query
from beryltiller.sessions.databases import unresponsive_leaders
from beryltiller.sessions.databases.announced import (
    AnnouncementFeed,
    KnownAnnouncements,
)
from beryltiller.sessions.databases.catalog import (
    ANY_DATABASE,
    Configuration,
    Database,
    Directory,
)
from beryltiller.sessions.databases.connection_pools import Connect, ConnectionPools
from beryltiller.sessions.databases.continuity_watch import ContinuityWatch
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.in_sync_set import InSyncSet
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.databases.present_entries import (
    KnownAt,
    PresentEntries,
    ReadEntries,
    never,
)
from beryltiller.sessions.databases.receipt_queries import ReceiptQueries
from beryltiller.sessions.databases.regions import NO_REGIONS, Distance, Regions
from beryltiller.sessions.databases.service_reachability import (
    ServiceReachability,
    count_reachable_services,
)
from beryltiller.sessions.databases.status_queries import (
    STATUS_TIMEOUT_SECONDS,
    StatusQueries,
)
from beryltiller.sessions.databases.surveys import Surveys
from beryltiller.sessions.errors import NoCapacityError, SessionError
from beryltiller.sessions.organisations import NO_ORGANISATION
from beryltiller.sessions.statements import (
    AskStatus,
    Code,
    DatabaseStatus,
    ProxyCommand,
)

# The deadline of a command that may be sent at any time.
FOREVER = float("inf")


class Fleet:
    """One proxy's groups of databases and its connection pools.

    Use it on a single event loop.
    """

    def __init__(
        self,
        connect: Connect,
        availability_zone: str,
        clock: Callable[[], float],
        regions: Regions = NO_REGIONS,
    ) -> None:
        """Create a fleet; `adopt` and `register` supply services and databases."""
        self._connect = connect
        self._availability_zone = availability_zone
        self._regions = regions
        self._clock = clock
        self._configuration: Configuration | None = None
        self._directory = Directory()
        self._groups: dict[str, Group] = {}
        self._connection_pools = ConnectionPools(connect, clock)
        self._entries = PresentEntries(clock)
        self._announced = KnownAnnouncements()
        self._status_queries = StatusQueries(self._query_pool, self._announced, clock)
        self._surveys = Surveys(
            self._status_queries, lambda: self._directory, self._entries, clock
        )
        self._follows_store = False
        self._keeps_in_sync_sets = False
        self._is_connected: Callable[[str], bool] = lambda service: True
        self._entry_seconds = float("inf")
        self._followed_since: float | None = None
        self._continuity_watch = ContinuityWatch(self._query_pool, clock)
        self._receipts = ReceiptQueries(
            self._status_queries.ask_status, self._distance, self._announced, clock
        )

    @property
    def configuration(self) -> Configuration | None:
        """Return the active configuration, or None before the first one."""
        return self._configuration

    @property
    def receipts(self) -> ReceiptQueries:
        """Return the queries that show whether replicas have received commits."""
        return self._receipts

    @property
    def directory(self) -> Directory:
        """Return the databases registered at present."""
        return self._directory

    def groups(self) -> Iterator[Group]:
        """Yield the groups of all services."""
        yield from self._groups.values()

    def watched_groups(self) -> tuple[Group, ...]:
        """Return the groups whose databases this proxy queries by itself.

        They are those of the services that it is connected to; other proxies watch the
        others.
        """
        groups = self._groups.values()
        return tuple(each for each in groups if self._is_connected(each.service))

    def watch_only(self, is_connected: Callable[[str], bool]) -> None:
        """Query only the databases of services for which `is_connected` holds."""
        self._is_connected = is_connected

    def limit_connections(self, shares: Mapping[str, int]) -> None:
        """Limit this proxy's connections to each database of some services.

        Those of a service that is not in `shares` are limited to a part of the cap.
        """
        self._connection_pools.set_shares(shares)

    def adopt(self, configuration: Configuration) -> bool:
        """Activate a configuration; return False if it is not a newer version."""
        present = self._configuration
        if present is not None and configuration.version <= present.version:
            return False
        self._configuration = configuration
        self._update_groups()
        return True

    def register(self, directory: Directory) -> None:
        """Replace the registered databases, and close pools of those removed."""
        self._directory = directory
        self._update_groups()
        self._connection_pools.close_removed(directory)
        self._status_queries.forget_removed(directory)

    def set_follows_store(self, is_followed: bool) -> None:
        """Record whether changes of the databases' entries arrive from the store.

        While they do, a new primary is learned of from the store; see `find_leader`.
        While they do not, an announced change of primary goes on: that it is over, or
        was withdrawn, would not be heard of.
        """
        self._follows_store = is_followed
        if not is_followed:
            self._followed_since = None
        elif self._followed_since is None:
            self._followed_since = self._clock()
        self.identify_processes()
        if not is_followed:
            for group in self._groups.values():
                group.changes.prolong(self._clock())

    def follow_announcements(self, feed: AnnouncementFeed) -> None:
        """Count replicas only from when announcements before their entries are known.

        Their answers count once those made before the connection was opened are, too.
        Without this call all count.
        """
        self._announced.follow(feed)

    def keep_in_sync_sets(self, entry_seconds: float) -> None:
        """Count receipts only of processes in the sets that the store keeps.

        Without this call the receipts of all registered replicas count. The store
        removes the entry of a process that has ended within `entry_seconds`.
        """
        self._keeps_in_sync_sets = True
        self._entry_seconds = entry_seconds
        for group in self._groups.values():
            group.record_in_sync(InSyncSet())

    def databases_in_sync(self) -> dict[str, tuple[Database, ...]]:
        """Return the entries by which the processes in sync can be asked."""
        return {
            service: tuple(each.database(service) for each in group.in_sync.processes)
            for service, group in self._groups.items()
            if group.in_sync is not None
        }

    def identify_processes(self) -> None:
        """Learn which connections lead to the processes that have entries now.

        A process with an entry ran at some time since the entry of one that has ended
        is removed for sure. That takes longer while the store is away.
        """
        ran_since = self._entries.known_at - self._entry_seconds
        if self._followed_since is None or self._followed_since > ran_since:
            return
        for group in self._groups.values():
            for name, member in group.members.items():
                if name not in self._directory.lapsed:
                    member.record_process_known(ran_since)

    def read_entries_with(
        self, read_entries: ReadEntries, known_at: KnownAt = never
    ) -> None:
        """Count surveys up to the moment until which the store's entries are known.

        `read_entries` registers the entries that the store has when it is called, and
        returns False if that fails. `known_at` returns until when they are known
        without that. Without this call no survey counts.
        """
        self._entries.read_with(read_entries, known_at)
        self._announced.follow_entries(lambda: self._entries.known_at)

    def newest_registration(self) -> int:
        """Return the newest revision at which a database's entry was first read."""
        members = (
            member
            for group in self._groups.values()
            for member in group.members.values()
        )
        return max((each.registered_revision for each in members), default=0)

    def group(self, service: str) -> Group:
        """Return a service's group of databases, creating it if necessary."""
        group = self._groups.get(service)
        if group is None:
            group = self._groups[service] = Group(service, self._announced, self._clock)
            if self._keeps_in_sync_sets:
                group.record_in_sync(InSyncSet())
            group.update(self._directory.of_service(service), self._clock())
        return group

    def connection_pool(
        self, database: Database, organisation: str = NO_ORGANISATION
    ) -> ConnectionPool:
        """Return an organisation's connection pool of a database.

        It is created if necessary.
        """
        return self._pools_of(database).pool(organisation)

    def supply(
        self, member: Member, organisation: str = NO_ORGANISATION
    ) -> ConnectionSupply:
        """Estimate how soon an organisation can acquire a connection to a database."""
        now = asyncio.get_running_loop().time()
        return self.connection_pool(member.database, organisation).supply(now)

    def _query_pool(self, database: Database) -> ConnectionPool:
        """Return the pool from which a query of this proxy takes a connection."""
        return self._pools_of(database).for_queries()

    def _pools_of(self, database: Database) -> DatabasePools:
        services = self._configuration.services if self._configuration else {}
        return self._connection_pools.pools(database, services)

    async def prove_term(
        self, group: Group, moment: float, wait_seconds: float
    ) -> bool:
        """Query replicas until they prove the leader's term current up to `moment`.

        Return True once the term is proved, and False if it is not proved within
        `wait_seconds` or a few rounds of queries, or if there is no leader.
        """
        return await self._status_queries.prove_term(group, moment, wait_seconds)

    async def survey(self, group: Group, moment: float) -> None:
        """Query the log positions of all databases; one of them may fail to answer.

        They show which commits were acknowledged before `moment`, so that reads with a
        maximum age can be served while the primary is unreachable. It counts only if
        the store shows that no other database was registered until then.
        """
        await self._surveys.survey(group, moment)

    async def find_leader(self, group: Group) -> None:
        """Query the databases for their leader if no working one is known.

        A proxy cut off from the store learns of a new primary in this way. Nothing is
        done while the store is followed.
        """
        if not self._follows_store:
            await self._surveys.find_leader(group)

    async def ask_status(self, member: Member) -> DatabaseStatus:
        """Query a database's status over a pooled connection.

        Raise `NoCapacityError` if callers' statements use all connections.
        """
        return await self._status_queries.ask_status(member)

    async def command(
        self,
        database: Database,
        statement: ProxyCommand,
        timeout_seconds: float,
        deadline: float = FOREVER,
    ) -> DatabaseStatus:
        """Run a status query or a command at a database without waiting for capacity.

        It does not need a connection that callers' statements use: a database at its
        limits could otherwise not be told from one that has failed. Raise
        `NoCapacityError` if the connection was opened only after `deadline`.
        """
        pool = self._query_pool(database)
        async with asyncio.timeout(timeout_seconds):
            connection = await pool.acquire_for_command()
            if self._clock() > deadline:
                pool.release(connection)
                raise NoCapacityError(Code.BUSY, "too late to send the command")
            return await run_command(pool, connection, statement)

    async def is_primary(self, database: Database, timeout_seconds: float) -> bool:
        """Ask a database whether it is primary, which takes no slot of it."""
        pool = self._query_pool(database)
        async with asyncio.timeout(timeout_seconds):
            connection = await pool.acquire_for_command()
            return await run_query(pool, connection, connection.is_primary())

    async def command_at_address(
        self,
        database: Database,
        statement: ProxyCommand,
        timeout_seconds: float,
        deadline: float = FOREVER,
    ) -> DatabaseStatus:
        """Run a command at whichever database of the service has the address.

        Raise `ReplacedError` if one of another service has it, and `NoCapacityError`
        if the connection was opened only after `deadline`.
        """
        async with asyncio.timeout(timeout_seconds):
            connection = await self._connect(replace(database, identifier=ANY_DATABASE))
            try:
                if self._clock() > deadline:
                    raise NoCapacityError(Code.BUSY, "too late to send the command")
                return await connection.command(statement)
            finally:
                connection.close()

    async def probe(self, member: Member) -> None:
        """Query a database's status and record whether it answers."""
        try:
            await self.command(member.database, AskStatus(), STATUS_TIMEOUT_SECONDS)
        except (SessionError, TimeoutError) as error:
            self._status_queries.record_failure(member, error)
            return
        member.record_probe_answer(self._clock())

    def leaders_to_probe(self) -> tuple[Member, ...]:
        """Return unresponsive leaders, and others that may have failed with them."""
        leaders = [each.leader for each in self.watched_groups() if each.leader]
        return unresponsive_leaders.to_probe(leaders, self._clock())

    def has_unresponsive_leader(self) -> bool:
        """Return True if some leader fails or leaves statements unanswered."""
        leaders = [each.leader for each in self._groups.values() if each.leader]
        return bool(unresponsive_leaders.unresponsive(leaders, self._clock()))

    async def confirm_leaders(self) -> None:
        """Query the status of databases that claim to lead but have stated no term."""
        await self._status_queries.confirm_leaders(self.watched_groups())

    async def watch_continuity(self) -> None:
        """Ask replicas while there is no news of changes of primary.

        Call it every `continuity_watch.CHECK_SECONDS`.
        """
        self._continuity_watch.check(self.watched_groups())

    def is_local(self, member: Member) -> bool:
        """Return True if a database is in this proxy's availability zone."""
        return member.database.availability_zone == self._availability_zone

    def _distance(self, member: Member) -> Distance:
        zone = member.database.availability_zone
        return self._regions.distance(self._availability_zone, zone)

    def is_in_zone(self, availability_zone: str) -> bool:
        """Return True if this proxy is in the availability zone."""
        return availability_zone == self._availability_zone

    async def count_reachable_services(self) -> ServiceReachability:
        """Query every database, and count the services whose majority answers."""
        return await count_reachable_services(
            self._groups.values(), self._status_queries.is_responding
        )

    def close_idle(self) -> None:
        """Close pooled connections that exceeded their idle time."""
        self._connection_pools.close_idle(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Cancel status queries and close all connection pools."""
        self._surveys.close()
        self._status_queries.close()
        self._receipts.close()
        self._continuity_watch.close()
        self._announced.close()
        self._connection_pools.close()

    def _update_groups(self) -> None:
        names = self._configuration.services if self._configuration else ()
        for name in names:
            self.group(name)
        for service, group in self._groups.items():
            group.update(self._directory.of_service(service), self._clock())
            group.record_departed(bool(self._directory.departed_of(service)))
