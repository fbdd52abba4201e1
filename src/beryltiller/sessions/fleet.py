"""The databases that one proxy serves from: groups, connections and questions."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass

from beryltiller.sessions.catalog import Configuration, Database, Directory
from beryltiller.sessions.errors import NotSentError, SessionError
from beryltiller.sessions.gates import Gate
from beryltiller.sessions.groups import Group
from beryltiller.sessions.lending import DatabaseConnection, Lender
from beryltiller.sessions.limits import LendingPolicy, Supply
from beryltiller.sessions.member import NEVER, Member
from beryltiller.sessions.statements import (
    AskStatus,
    Code,
    DatabaseStatus,
    ProxyCommand,
)

# One proxy's statements in execution at a database, beside its number of slots.
EXTRA_IN_EXECUTION = 1
# Share of a database's connections that one proxy may hold.
CONNECTION_SHARE = 0.3
MIN_CONNECTIONS = 3
DEFAULT_MAX_CONNECTIONS = 20

QUESTION_TIMEOUT_SECONDS = 0.3
MAX_QUESTIONS = 2
# A statement waits no longer for a survey: it is refused early, or served later.
SURVEY_WAIT_SECONDS = 0.04
# While a group has no leader that works, its databases are asked this often.
FIND_LEADER_SECONDS = 0.3
# A database that claims to lead and does not say in which term is asked this often.
CONFIRM_SECONDS = 0.4

# A leader that leaves statements without any answer for this long is asked.
SILENCE_SECONDS = 0.25

Connect = Callable[[Database], Awaitable[DatabaseConnection]]
Key = tuple[str, str, int]


@dataclass(frozen=True, slots=True)
class Reach:
    """How many services have a majority of their databases within reach."""

    services: int
    whole: int


class Fleet:
    """Own groups and lenders of one proxy; on one event loop."""

    def __init__(
        self, connect: Connect, availability_zone: str, clock: Callable[[], float]
    ) -> None:
        """Start without configuration and without databases."""
        self._connect = connect
        self._availability_zone = availability_zone
        self._clock = clock
        self._configuration: Configuration | None = None
        self._directory = Directory()
        self._groups: dict[str, Group] = {}
        self._lenders: dict[Key, Lender] = {}
        self._questions: dict[str, asyncio.Task[None]] = {}
        self._surveys: dict[str, asyncio.Task[None]] = {}
        self._leader_asked_at: dict[str, float] = {}
        self._claimant_asked_at: dict[str, float] = {}
        self._follows_store = False

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        return self._configuration

    @property
    def directory(self) -> Directory:
        """Return the databases known."""
        return self._directory

    def groups(self) -> Iterator[Group]:
        """Yield the groups of the configured services."""
        yield from self._groups.values()

    def adopt(self, configuration: Configuration) -> bool:
        """Put a configuration in force unless it is older than the present one."""
        present = self._configuration
        if present is not None and configuration.version <= present.version:
            return False
        self._configuration = configuration
        self._update_groups()
        return True

    def register(self, directory: Directory) -> None:
        """Take in the databases that are registered now."""
        self._directory = directory
        self._update_groups()
        self._close_lenders()

    def store_seen(self, is_followed: bool) -> None:
        """Take in whether the databases' entries are followed just now."""
        self._follows_store = is_followed

    def group(self, service: str) -> Group:
        """Return a service's group."""
        group = self._groups.get(service)
        if group is None:
            group = self._groups[service] = Group(service)
            group.update(self._directory.of_service(service), self._clock())
        return group

    def lender(self, database: Database) -> Lender:
        """Return what lends connections to a database."""
        key = _key(database)
        lender = self._lenders.get(key)
        if lender is None:
            lender = self._lenders[key] = self._open_lender(database)
        return lender

    def supply(self, member: Member) -> Supply:
        """Tell how soon a connection to a database can be lent."""
        now = asyncio.get_running_loop().time()
        return self.lender(member.database).supply(now)

    def failed(self, member: Member) -> None:
        """Take in that a database broke off or did not answer in time."""
        member.record_failure(self._clock())

    async def prove(self, group: Group, moment: float, wait_seconds: float) -> bool:
        """Ask replicas until the leader's term is proved; tell whether it is."""
        deadline = self._clock() + wait_seconds
        for _ in range(MAX_QUESTIONS):
            if group.is_term_proved(moment):
                return True
            question = self._questions.get(group.service)
            if question is None:
                question = asyncio.create_task(self._question(group))
                self._questions[group.service] = question
            left = deadline - self._clock()
            if left <= 0 or group.leader is None:
                break
            await asyncio.wait((question,), timeout=left)
        return group.is_term_proved(moment)

    async def survey(self, group: Group) -> None:
        """Learn from all databases but one what has been acknowledged.

        Reads of a stated age can then go on while no primary is to be reached.
        """
        survey = self._surveys.get(group.service)
        if survey is None:
            survey = asyncio.create_task(self._survey(group))
            self._surveys[group.service] = survey
        await asyncio.wait((survey,), timeout=SURVEY_WAIT_SECONDS)

    async def find_leader(self, group: Group) -> None:
        """Ask the databases who leads, when neither they nor the store have told.

        So a proxy that the store does not serve learns of a new primary.
        """
        now = self._clock()
        leader = group.leader
        if self._follows_store or (leader and leader.is_available(now)):
            return
        asked_at = self._leader_asked_at.get(group.service, NEVER)
        if now < asked_at + FIND_LEADER_SECONDS:
            return
        self._leader_asked_at[group.service] = now
        await self.survey(group)

    async def ask_status(self, member: Member) -> DatabaseStatus:
        """Ask a database for its status."""
        database = member.database
        return await self.command(database, AskStatus(), QUESTION_TIMEOUT_SECONDS)

    async def command(
        self, database: Database, statement: ProxyCommand, timeout_seconds: float
    ) -> DatabaseStatus:
        """Send a database a command, over a connection of its lender."""
        lender = self.lender(database)
        async with asyncio.timeout(timeout_seconds):
            lent = await lender.lend({}, timeout_seconds)
            try:
                status = await lent.command(statement)
            except NotSentError:
                # A database that is too busy to answer has kept the connection.
                lender.give_back(lent)
                raise
            except BaseException:
                lender.drop(lent)
                raise
        lender.give_back(lent)
        return status

    async def probe(self, member: Member) -> None:
        """Find out whether a database that failed answers again."""
        try:
            await self.ask_status(member)
        except (SessionError, TimeoutError) as error:
            self._question_failed(member, error)
            return
        member.record_probe_answer(self._clock())

    def doubtful_leaders(self) -> tuple[Member, ...]:
        """Return the leaders that fail, or leave statements without any answer.

        Other leaders of the same availability zone may have been lost with them.
        """
        now = self._clock()
        leaders = [group.leader for group in self._groups.values() if group.leader]
        doubtful = [each for each in leaders if _is_doubtful(each, now)]
        zones = {each.database.availability_zone for each in doubtful}
        return tuple(
            each
            for each in leaders
            if each in doubtful
            or (
                each.database.availability_zone in zones
                and not each.was_probed_recently(now)
            )
        )

    def has_doubtful_leader(self) -> bool:
        """Tell whether some leader fails or is silent."""
        now = self._clock()
        leaders = (group.leader for group in self._groups.values())
        return any(each is not None and _is_doubtful(each, now) for each in leaders)

    async def confirm_leaders(self) -> None:
        """Ask databases that claim to lead, and were not asked, in which term."""
        now = self._clock()
        asked = [
            self._confirm(group, member)
            for group in tuple(self._groups.values())
            for member in group.leaders_to_confirm()
            if self._may_be_asked(member, now)
        ]
        await asyncio.gather(*asked)

    def _may_be_asked(self, member: Member, now: float) -> bool:
        """Tell whether a database that claims to lead was not asked just now."""
        identifier = member.database.identifier
        if now < self._claimant_asked_at.get(identifier, NEVER) + CONFIRM_SECONDS:
            return False
        self._claimant_asked_at[identifier] = now
        return True

    async def _confirm(self, group: Group, member: Member) -> None:
        asked_at = self._clock()
        try:
            status = await self.ask_status(member)
        except (SessionError, TimeoutError) as error:
            self._question_failed(member, error)
            return
        member.record_probe_answer(self._clock())
        group.record_status(member, status, asked_at)

    async def reach(self) -> Reach:
        """Ask every database, and count the services whose majority answers."""
        groups = [group for group in self._groups.values() if group.members]
        results = await asyncio.gather(*map(self._has_majority, groups))
        return Reach(len(groups), sum(results))

    async def _has_majority(self, group: Group) -> bool:
        members = tuple(group.members.values())
        answers = await asyncio.gather(*map(self._answers, members))
        return sum(answers) > len(members) // 2

    async def _answers(self, member: Member) -> bool:
        """Tell whether a database answers a question, if only that it is busy."""
        try:
            await self.ask_status(member)
        except (SessionError, TimeoutError) as error:
            return _is_refused_for_load(error)
        return True

    def close_idle(self) -> None:
        """Close connections that nobody has used for long."""
        now = asyncio.get_running_loop().time()
        for lender in self._lenders.values():
            lender.close_idle(now)

    def close(self) -> None:
        """Close every connection."""
        for task in (*self._questions.values(), *self._surveys.values()):
            task.cancel()
        for lender in self._lenders.values():
            lender.close()

    async def _question(self, group: Group) -> None:
        """Ask the nearest replica that answers whether it still follows the leader."""
        try:
            for member in self._nearest(group):
                asked_at = self._clock()
                try:
                    status = await self.ask_status(member)
                except (SessionError, TimeoutError) as error:
                    self._question_failed(member, error)
                    continue
                group.record_status(member, status, asked_at)
                leader = group.leader
                if leader is not None and leader.reported_primary_term != status.term:
                    await self._ask_leader(group, leader, status.term)
                    group.record_status(member, status, asked_at)
                if group.is_term_proved(asked_at):
                    return
        finally:
            del self._questions[group.service]

    async def _survey(self, group: Group) -> None:
        try:
            asked_at = self._clock()
            members = tuple(group.members.values())
            departed = self._directory.possibly_partitioned_of(
                group.service, _trouble_since(group)
            )
            statuses = await asyncio.gather(*map(self._status_or_none, members))
            heard = []
            for member, status in zip(members, statuses, strict=True):
                if status is not None:
                    heard.append(status.received)
                    group.record_status(member, status, asked_at)
            if group.leader is None:
                # A fresh process may not know all databases that hold commits.
                return
            if heard and len(heard) >= len(members) + len(departed) - 1:
                group.record_survey(tuple(heard), asked_at)
        finally:
            del self._surveys[group.service]

    async def _status_or_none(self, member: Member) -> DatabaseStatus | None:
        """Return a database's status, or None when it does not answer."""
        if not member.is_available(self._clock()):
            return None
        try:
            return await self.ask_status(member)
        except (SessionError, TimeoutError) as error:
            self._question_failed(member, error)
            return None

    def _question_failed(self, member: Member, error: Exception) -> None:
        """Take in a failure; a refusal because of load is no failure."""
        if not _is_refused_for_load(error):
            member.record_failure(self._clock())

    async def _ask_leader(self, group: Group, leader: Member, term: int) -> None:
        """Ask a leader that may have been replaced, or has not said when it leads."""
        asked_at = self._clock()
        try:
            status = await self.ask_status(leader)
        except (SessionError, TimeoutError) as error:
            self._question_failed(leader, error)
            return
        group.record_status(leader, status, asked_at)
        if not status.is_primary or status.term < term:
            group.record_lead_denied(leader)

    def _nearest(self, group: Group) -> list[Member]:
        now = self._clock()
        usable = [each for each in group.replicas if each.is_available(now)]
        return sorted(usable, key=self._is_remote)

    def _is_remote(self, member: Member) -> bool:
        return member.database.availability_zone != self._availability_zone

    def _update_groups(self) -> None:
        names = self._configuration.services if self._configuration else ()
        for name in names:
            self.group(name)
        for service, group in self._groups.items():
            group.update(self._directory.of_service(service), self._clock())

    def _open_lender(self, database: Database) -> Lender:
        services = self._configuration.services if self._configuration else {}
        service = services.get(database.service)
        cap = service.max_connections if service else DEFAULT_MAX_CONNECTIONS
        share = max(MIN_CONNECTIONS, round(cap * CONNECTION_SHARE))
        gate = Gate(database.slots + EXTRA_IN_EXECUTION)
        return Lender(lambda: self._connect(database), gate, LendingPolicy(share))

    def _close_lenders(self) -> None:
        known = {_key(database) for database in self._directory.databases.values()}
        for key in self._lenders.keys() - known:
            self._lenders.pop(key).close()
        for identifier in self._claimant_asked_at.keys() - self._directory.databases:
            del self._claimant_asked_at[identifier]


def _key(database: Database) -> Key:
    return database.identifier, database.address, database.incarnation


def _is_refused_for_load(error: Exception) -> bool:
    """Tell whether a database refused, alive, what it has no slot or connection for."""
    codes = (Code.BUSY, Code.CONNECTION_LIMIT)
    return isinstance(error, SessionError) and error.code in codes


def _is_doubtful(leader: Member, now: float) -> bool:
    if leader.failing_since is not None:
        return True
    silent_since = leader.unanswered_since
    return silent_since is not None and now > silent_since + SILENCE_SECONDS


def _trouble_since(group: Group) -> float:
    """Return since when the leader fails; without one, all that departed count."""
    leader = group.leader
    if leader is None or leader.failing_since is None:
        return NEVER
    return leader.failing_since
