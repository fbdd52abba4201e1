"""The databases that one proxy uses: groups, connection pools and status queries."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, replace
from typing import TypeVar

from beryltiller.sessions.connections.connection_limits import (
    ConnectionPoolPolicy,
    ConnectionSupply,
)
from beryltiller.sessions.connections.connection_pool import ConnectionPool
from beryltiller.sessions.connections.pooled_connection import (
    DatabaseConnection,
    PooledConnection,
)
from beryltiller.sessions.connections.priority_semaphore import PrioritySemaphore
from beryltiller.sessions.databases.catalog import (
    ANY_DATABASE,
    Configuration,
    Database,
    Directory,
)
from beryltiller.sessions.databases.evidence import NO_PROOF_SECONDS
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import NEVER, Member
from beryltiller.sessions.errors import NoCapacityError, NotSentError, SessionError
from beryltiller.sessions.statements import (
    NO_POSITION,
    AskStatus,
    Code,
    DatabaseStatus,
    ProxyCommand,
)

# A proxy may run this many statements at a database beyond its number of slots.
EXTRA_STATEMENTS = 1
# The share of a database's connection cap that one proxy may have open, but at least
# `MIN_CONNECTIONS`.
CONNECTION_SHARE = 0.3
MIN_CONNECTIONS = 3
# The connection cap of a service that the configuration does not have yet.
DEFAULT_MAX_CONNECTIONS = 20

STATUS_TIMEOUT_SECONDS = 0.3
# How long replicas are waited for after the first one has answered. Without them the
# term is proved up to the moment of the question, and not beyond.
LATE_ANSWER_SECONDS = 0.1
# How many rounds of replica queries one read waits for until the leader's term is
# proved.
MAX_PROOF_ATTEMPTS = 2
# How long a statement waits for a survey. One that is still without a database then
# is refused early, so that its caller can try another proxy, or is retried here.
SURVEY_WAIT_SECONDS = 0.04
# Minimum time between two searches for a leader in a group that has no working one.
FIND_LEADER_INTERVAL_SECONDS = 0.3
# Minimum time between two queries of a database that claims to lead without stating
# its term.
CONFIRM_INTERVAL_SECONDS = 0.4

# The deadline of a command that may be sent at any time.
FOREVER = float("inf")

# A leader that answers no statement for this long is unresponsive, and is probed.
SILENCE_SECONDS = 0.25

Connect = Callable[[Database], Awaitable[DatabaseConnection]]
PoolKey = tuple[str, str, int]
_Answer = TypeVar("_Answer")


@dataclass(frozen=True, slots=True)
class ServiceReachability:
    """The number of services, and of those whose majority of databases answers."""

    services: int
    with_majority: int


class Fleet:
    """One proxy's groups of databases and its connection pools.

    Use it on a single event loop.
    """

    def __init__(
        self, connect: Connect, availability_zone: str, clock: Callable[[], float]
    ) -> None:
        """Create a fleet; `adopt` and `register` supply services and databases."""
        self._connect = connect
        self._availability_zone = availability_zone
        self._clock = clock
        self._configuration: Configuration | None = None
        self._directory = Directory()
        self._groups: dict[str, Group] = {}
        self._connection_pools: dict[PoolKey, ConnectionPool] = {}
        self._proofs: dict[str, asyncio.Task[None]] = {}
        self._surveys: dict[str, asyncio.Task[None]] = {}
        self._status_queries: set[asyncio.Task[DatabaseStatus | None]] = set()
        self._leader_queried_at: dict[str, float] = {}
        self._claimant_queried_at: dict[str, float] = {}
        self._follows_store = False

    @property
    def configuration(self) -> Configuration | None:
        """Return the active configuration, or None before the first one."""
        return self._configuration

    @property
    def directory(self) -> Directory:
        """Return the databases registered at present."""
        return self._directory

    def groups(self) -> Iterator[Group]:
        """Yield the groups of all services."""
        yield from self._groups.values()

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
        self._close_removed_pools()

    def set_follows_store(self, is_followed: bool) -> None:
        """Record whether changes of the databases' entries arrive from the store.

        While they do, a new primary is learned of from the store; see `find_leader`.
        """
        self._follows_store = is_followed

    def group(self, service: str) -> Group:
        """Return a service's group of databases, creating it if necessary."""
        group = self._groups.get(service)
        if group is None:
            group = self._groups[service] = Group(service)
            group.update(self._directory.of_service(service), self._clock())
        return group

    def connection_pool(self, database: Database) -> ConnectionPool:
        """Return the connection pool of a database, creating it if necessary."""
        key = _pool_key(database)
        pool = self._connection_pools.get(key)
        if pool is None:
            pool = self._connection_pools[key] = self._create_connection_pool(database)
        return pool

    def supply(self, member: Member) -> ConnectionSupply:
        """Estimate how soon a connection to a database can be acquired."""
        now = asyncio.get_running_loop().time()
        return self.connection_pool(member.database).supply(now)

    async def prove_term(
        self, group: Group, moment: float, wait_seconds: float
    ) -> bool:
        """Query replicas until they prove the leader's term current up to `moment`.

        Return True once the term is proved, and False if it is not proved within
        `wait_seconds` or `MAX_PROOF_ATTEMPTS` rounds, or if there is no leader.
        """
        deadline = self._clock() + wait_seconds
        for _ in range(MAX_PROOF_ATTEMPTS):
            if group.is_term_proved(moment):
                return True
            proof = self._proofs.get(group.service)
            if proof is None:
                proof = asyncio.create_task(self._prove_term(group))
                self._proofs[group.service] = proof
            left = deadline - self._clock()
            if left <= 0 or group.leader is None:
                break
            await asyncio.wait((proof,), timeout=left)
        return group.is_term_proved(moment)

    async def survey(self, group: Group) -> None:
        """Query the log positions of all databases; one of them may fail to answer.

        They show which commits were acknowledged, so that reads with a maximum age
        can be served while the primary is unreachable.
        """
        survey = self._surveys.get(group.service)
        if survey is None:
            survey = asyncio.create_task(self._survey(group))
            self._surveys[group.service] = survey
        await asyncio.wait((survey,), timeout=SURVEY_WAIT_SECONDS)

    async def find_leader(self, group: Group) -> None:
        """Query the databases for their leader if no working one is known.

        A proxy cut off from the store learns of a new primary in this way. Nothing is
        done while the store is followed.
        """
        now = self._clock()
        leader = group.leader
        if self._follows_store or (leader and leader.is_available(now)):
            return
        asked_at = self._leader_queried_at.get(group.service, NEVER)
        if now < asked_at + FIND_LEADER_INTERVAL_SECONDS:
            return
        self._leader_queried_at[group.service] = now
        await self.survey(group)

    async def ask_status(self, member: Member) -> DatabaseStatus:
        """Query a database's status over a pooled connection.

        Raise `NoCapacityError` if callers' statements use all connections.
        """
        pool = self.connection_pool(member.database)
        async with asyncio.timeout(2 * STATUS_TIMEOUT_SECONDS):
            connection = await pool.acquire({}, STATUS_TIMEOUT_SECONDS)
            return await _run_command(pool, connection, AskStatus())

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
        pool = self.connection_pool(database)
        async with asyncio.timeout(timeout_seconds):
            connection = await pool.acquire_for_command()
            if self._clock() > deadline:
                pool.release(connection)
                raise NoCapacityError(Code.BUSY, "too late to send the command")
            return await _run_command(pool, connection, statement)

    async def is_primary(self, database: Database, timeout_seconds: float) -> bool:
        """Ask a database whether it is primary, which takes no slot of it."""
        pool = self.connection_pool(database)
        async with asyncio.timeout(timeout_seconds):
            connection = await pool.acquire_for_command()
            return await _run_query(pool, connection, connection.is_primary())

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
            self._record_query_failure(member, error)
            return
        member.record_probe_answer(self._clock())

    def leaders_to_probe(self) -> tuple[Member, ...]:
        """Return unresponsive leaders, and others that may have failed with them.

        The others are leaders in the same availability zone for which no recent probe
        shows whether they work.
        """
        now = self._clock()
        leaders = [group.leader for group in self._groups.values() if group.leader]
        unresponsive = [each for each in leaders if _is_unresponsive(each, now)]
        zones = {each.database.availability_zone for each in unresponsive}
        return tuple(
            each
            for each in leaders
            if each in unresponsive
            or (
                each.database.availability_zone in zones
                and not each.was_probed_recently(now)
            )
        )

    def has_unresponsive_leader(self) -> bool:
        """Return True if some leader fails or leaves statements unanswered."""
        now = self._clock()
        leaders = (group.leader for group in self._groups.values())
        return any(each is not None and _is_unresponsive(each, now) for each in leaders)

    async def confirm_leaders(self) -> None:
        """Query the status of databases that claim to lead but have stated no term."""
        now = self._clock()
        confirmations = [
            self._confirm(group, member)
            for group in tuple(self._groups.values())
            for member in group.leaders_to_confirm()
            if self._is_confirmation_due(member, now)
        ]
        await asyncio.gather(*confirmations)

    def _is_confirmation_due(self, member: Member, now: float) -> bool:
        """Return True, and record the query, if a claimant was not queried recently."""
        identifier = member.database.identifier
        if (
            now
            < self._claimant_queried_at.get(identifier, NEVER)
            + CONFIRM_INTERVAL_SECONDS
        ):
            return False
        self._claimant_queried_at[identifier] = now
        return True

    async def _confirm(self, group: Group, member: Member) -> None:
        asked_at = self._clock()
        try:
            status = await self.ask_status(member)
        except (SessionError, TimeoutError) as error:
            self._record_query_failure(member, error)
            return
        member.record_probe_answer(self._clock())
        group.record_status(member, status, asked_at, NO_PROOF_SECONDS)

    def is_local(self, member: Member) -> bool:
        """Return True if a database is in this proxy's availability zone."""
        return member.database.availability_zone == self._availability_zone

    async def count_reachable_services(self) -> ServiceReachability:
        """Query every database, and count the services whose majority answers."""
        groups = [group for group in self._groups.values() if group.members]
        results = await asyncio.gather(*map(self._has_majority, groups))
        return ServiceReachability(len(groups), sum(results))

    async def _has_majority(self, group: Group) -> bool:
        members = tuple(group.members.values())
        responses = await asyncio.gather(*map(self._is_responding, members))
        return sum(responses) > len(members) // 2

    async def _is_responding(self, member: Member) -> bool:
        """Return True if a database answers, even if only that it is busy."""
        try:
            await self.ask_status(member)
        except (SessionError, TimeoutError) as error:
            return _is_refused_for_load(error)
        return True

    def close_idle(self) -> None:
        """Close pooled connections that exceeded their idle time."""
        now = asyncio.get_running_loop().time()
        for pool in self._connection_pools.values():
            pool.close_idle(now)

    def close(self) -> None:
        """Cancel status queries and close all connection pools."""
        tasks = (*self._proofs.values(), *self._surveys.values())
        for task in (*tasks, *self._status_queries):
            task.cancel()
        for pool in self._connection_pools.values():
            pool.close()

    async def _prove_term(self, group: Group) -> None:
        """Prove the leader's term: it still leads, and some replica is not fenced.

        A replica that was not fenced does not show that the leader has not stepped
        down, after which a succession may go on without that replica.
        """
        try:
            await asyncio.gather(self._confirm_lead(group), self._query_fences(group))
        finally:
            del self._proofs[group.service]

    async def _confirm_lead(self, group: Group) -> None:
        """Ask the leader whether it is still primary, unless it showed so recently."""
        leader = group.leader
        asked_at = self._clock()
        if leader is None or group.is_lead_shown(asked_at):
            return
        pool = self.connection_pool(leader.database)
        try:
            async with asyncio.timeout(2 * STATUS_TIMEOUT_SECONDS):
                connection = await pool.acquire({}, STATUS_TIMEOUT_SECONDS)
                is_primary = await _run_query(pool, connection, connection.is_primary())
        except (SessionError, TimeoutError) as error:
            self._record_query_failure(leader, error)
            return
        if is_primary:
            group.record_lead(leader, asked_at)
        else:
            group.record_lead_denied(leader)

    async def _query_fences(self, group: Group) -> None:
        """Query all replicas at once whether they are fenced.

        Once one has answered, the others are waited for only briefly.
        """
        asked_at = self._clock()
        queries = {
            member: asyncio.create_task(self._status_or_none(member))
            for member in self._available_replicas(group)
        }
        self._status_queries.update(queries.values())
        for query in queries.values():
            query.add_done_callback(self._status_queries.discard)
        if not queries:
            return
        await asyncio.wait(queries.values(), return_when=asyncio.FIRST_COMPLETED)
        await asyncio.wait(queries.values(), timeout=LATE_ANSWER_SECONDS)
        answers = [
            (member, status)
            for member, query in queries.items()
            if query.done() and (status := query.result()) is not None
        ]
        group.record_round(answers, asked_at)
        leader = group.leader
        terms = {status.term for _, status in answers}
        if leader is not None and terms and leader.reported_primary_term not in terms:
            # The replicas' statuses prove only a term that the leader reported.
            await self._query_leader(group, leader, max(terms))
            group.record_round(answers, asked_at)

    async def _survey(self, group: Group) -> None:
        try:
            asked_at = self._clock()
            members = tuple(group.members.values())
            departed = self._directory.possibly_receiving_of(
                group.service, _failing_since(group)
            )
            applied = [member.applied or NO_POSITION for member in members]
            statuses = await asyncio.gather(*map(self._status_or_none, members))
            answers = []
            positions = []
            for member, before, status in zip(members, applied, statuses, strict=True):
                if status is None or status.received == NO_POSITION:
                    # A log whose end is not known shows no commit that it may hold.
                    continue
                answers.append((member, status))
                if status.received >= before:
                    # A shorter log is not the one that received the commits.
                    positions.append(status.received)
            group.record_round(answers, asked_at)
            if group.leader is None:
                # A process that just started may not know of departed databases that
                # hold commits, so the survey could miss these commits.
                return
            if positions and len(positions) >= len(members) + len(departed) - 1:
                group.record_survey(tuple(positions), asked_at)
        finally:
            del self._surveys[group.service]

    async def _status_or_none(self, member: Member) -> DatabaseStatus | None:
        """Return a database's status, or None if it is unavailable or fails."""
        if not member.is_available(self._clock()):
            return None
        try:
            return await self.ask_status(member)
        except (SessionError, TimeoutError) as error:
            self._record_query_failure(member, error)
            return None

    def _record_query_failure(self, member: Member, error: Exception) -> None:
        """Record a failed status query; one refused for load shows a running database.

        A query that this proxy did not send for lack of capacity shows nothing.
        """
        if _is_refused_for_load(error):
            member.record_probe_answer(self._clock())
        elif not isinstance(error, NoCapacityError):
            member.record_probe_failure(self._clock())

    async def _query_leader(self, group: Group, leader: Member, term: int) -> None:
        """Query a leader that may be replaced, or has not stated its term.

        If it answers that it is not primary in `term` or a later one, it no longer
        counts as leader.
        """
        asked_at = self._clock()
        try:
            status = await self.ask_status(leader)
        except (SessionError, TimeoutError) as error:
            self._record_query_failure(leader, error)
            return
        group.record_status(leader, status, asked_at, NO_PROOF_SECONDS)
        if not status.is_primary or status.term < term:
            group.record_lead_denied(leader)

    def _available_replicas(self, group: Group) -> list[Member]:
        now = self._clock()
        return [each for each in group.replicas if each.is_available(now)]

    def _update_groups(self) -> None:
        names = self._configuration.services if self._configuration else ()
        for name in names:
            self.group(name)
        for service, group in self._groups.items():
            group.update(self._directory.of_service(service), self._clock())

    def _create_connection_pool(self, database: Database) -> ConnectionPool:
        services = self._configuration.services if self._configuration else {}
        service = services.get(database.service)
        cap = service.max_connections if service else DEFAULT_MAX_CONNECTIONS
        share = max(MIN_CONNECTIONS, round(cap * CONNECTION_SHARE))
        semaphore = PrioritySemaphore(database.slots + EXTRA_STATEMENTS)
        return ConnectionPool(
            lambda: self._connect(database), semaphore, ConnectionPoolPolicy(share)
        )

    def _close_removed_pools(self) -> None:
        known = {_pool_key(database) for database in self._directory.databases.values()}
        for key in self._connection_pools.keys() - known:
            self._connection_pools.pop(key).close()
        for identifier in self._claimant_queried_at.keys() - self._directory.databases:
            del self._claimant_queried_at[identifier]


async def _run_command(
    pool: ConnectionPool, connection: PooledConnection, statement: ProxyCommand
) -> DatabaseStatus:
    """Run a command on an acquired connection, and release the connection."""
    return await _run_query(pool, connection, connection.command(statement))


async def _run_query(
    pool: ConnectionPool, connection: PooledConnection, query: Awaitable[_Answer]
) -> _Answer:
    """Await a query on an acquired connection, and release the connection."""
    try:
        answer = await query
    except NotSentError:
        # A database too busy to answer leaves the connection open.
        pool.release(connection)
        raise
    except BaseException:
        pool.discard(connection)
        raise
    pool.release(connection)
    return answer


def _pool_key(database: Database) -> PoolKey:
    return database.identifier, database.address, database.incarnation


def _is_refused_for_load(error: Exception) -> bool:
    """Return True if a working database refused for lack of a slot or connection."""
    if isinstance(error, NoCapacityError) or not isinstance(error, SessionError):
        return False
    return error.code in (Code.BUSY, Code.CONNECTION_LIMIT)


def _is_unresponsive(leader: Member, now: float) -> bool:
    if leader.failing_since is not None:
        return True
    silent_since = leader.unanswered_since
    return silent_since is not None and now > silent_since + SILENCE_SECONDS


def _failing_since(group: Group) -> float:
    """Return since when the leader has failed, or `NEVER` without such a leader.

    With `NEVER` all databases that departed count as possibly holding commits.
    """
    leader = group.leader
    if leader is None or leader.failing_since is None:
        return NEVER
    return leader.failing_since
