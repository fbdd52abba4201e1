"""Commands to the databases of a group that a promoting proxy knows.

A database that ends is often replaced by another one, which starts at its address with
its log, and follows the primary before its registry entry is known here. So whichever
database answers at the address of an ended one is sent the command instead.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from beryltiller.observability import logs, session_events
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.databases.fleet import FOREVER, Fleet
from beryltiller.sessions.errors import (
    NoCapacityError,
    NotRunningError,
    NotSentError,
    ReplacedError,
    SessionError,
)
from beryltiller.sessions.statements import (
    Code,
    DatabaseStatus,
    Fence,
    ProxyCommand,
    StepDown,
    Unfence,
)
from beryltiller.sessions.succession.times import COMMAND_LIFE_SECONDS

COMMAND_TIMEOUT_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Answered:
    """The database carried out the command, and is in `status` afterwards."""

    status: DatabaseStatus


@dataclass(frozen=True, slots=True)
class ReplacementAnswered:
    """The database has ended, and an unknown one at its address answered with `status`.

    It belongs to the same service, and has the log of the ended one.
    """

    status: DatabaseStatus


@dataclass(frozen=True, slots=True)
class Replaced:
    """The database has ended, and one that is asked itself has its address and log."""


@dataclass(frozen=True, slots=True)
class Ended:
    """The database has ended, and one of another service answers at its address."""


@dataclass(frozen=True, slots=True)
class NotRunning:
    """The database's host is reached, and no process listens at the address."""


@dataclass(frozen=True, slots=True)
class Silent:
    """No answer, or a refusal."""


@dataclass(frozen=True, slots=True)
class NotAsked:
    """This proxy did not send the command, which shows nothing of the database."""


Outcome = (
    Answered | ReplacementAnswered | Replaced | Ended | NotRunning | Silent | NotAsked
)


def status_of(outcome: Outcome) -> DatabaseStatus | None:
    """Return the status that was answered with, or None without an answer.

    >>> status_of(Silent()) is None
    True
    """
    match outcome:
        case Answered(status) | ReplacementAnswered(status):
            return status
    return None


class GroupCommands:
    """Sends commands to databases by name, without waiting for capacity."""

    def __init__(self, fleet: Fleet, clock: Callable[[], float]) -> None:
        """Send commands to the fleet's databases."""
        self._fleet = fleet
        self._clock = clock
        self._unfenced_until: dict[tuple[str, str], float] = {}
        self._settled_at = clock() + COMMAND_LIFE_SECONDS
        self._fenced: set[tuple[str, str]] = set()

    def record_found_fence(self, service: str, name: str) -> None:
        """Record that a database is fenced, perhaps by this proxy before it restarted.

        A command to unfence of the process before may be on its way: its claim is one
        of this proxy, whose end is not waited for.
        """
        key = service, name
        if self._clock() < self._settled_at and key not in self._fenced:
            self._unfenced_until[key] = self._settled_at

    def may_be_unfenced(self, service: str, name: str | None = None) -> bool:
        """Return True if a command to unfence without an answer may still act.

        Without a name this tells of all databases of the service.
        """
        now = self._clock()
        self._unfenced_until = {
            key: until for key, until in self._unfenced_until.items() if now < until
        }
        if name is not None:
            return (service, name) in self._unfenced_until
        return any(each == service for each, _ in self._unfenced_until)

    async def send(
        self,
        service: str,
        name: str,
        statement: ProxyCommand,
        deadline: float = FOREVER,
    ) -> DatabaseStatus | None:
        """Send a command to the database of that name, and to no other one.

        Return its status, or None if it failed or refused.
        """
        return status_of(await self._send(service, name, statement, deadline))

    async def send_all(
        self,
        service: str,
        names: Iterable[str],
        statement: ProxyCommand,
        former_primary: str | None = None,
        deadline: float = FOREVER,
    ) -> dict[str, Outcome]:
        """Send a command to several databases concurrently, none after `deadline`.

        A database that has ended counts as replaced if one that answered, or the
        former primary, has its address.
        """
        names = tuple(names)
        results = await asyncio.gather(
            *(self._send(service, name, statement, deadline) for name in names)
        )
        outcomes: dict[str, Outcome] = dict(zip(names, results, strict=True))
        taken = self._addresses(service, outcomes, former_primary)
        ended = {
            name: database
            for name, outcome in outcomes.items()
            if isinstance(outcome, Replaced)
            and (database := self.database(service, name)) is not None
            and database.address not in taken
        }
        replies = await asyncio.gather(
            *(
                self._send_to_address(database, statement, deadline)
                for database in ended.values()
            )
        )
        outcomes.update(zip(ended, replies, strict=True))
        return outcomes

    async def led_term(self, service: str, name: str) -> int | None:
        """Return the term in which a database shows that it leads now.

        Return 0 if it does not lead, or refuses to answer, and None without an answer.
        """
        member = self._fleet.group(service).members.get(name)
        if member is None:
            return None
        try:
            is_primary = await self._fleet.is_primary(
                member.database, COMMAND_TIMEOUT_SECONDS
            )
        except (SessionError, TimeoutError) as error:
            _log_failure(name, StepDown(0), error)
            if isinstance(error, NoCapacityError):
                return None
            is_refusal = isinstance(error, SessionError) and error.code is Code.BUSY
            return 0 if is_refusal else None
        return member.reported_primary_term if is_primary else 0

    def database(self, service: str, name: str) -> Database | None:
        """Return a registered or departed database, or None if it is not known."""
        member = self._fleet.group(service).members.get(name)
        if member is not None:
            return member.database
        for departed in self._fleet.directory.departed_of(service):
            if departed.database.identifier == name:
                return departed.database
        return None

    def _addresses(
        self,
        service: str,
        outcomes: Mapping[str, Outcome],
        former_primary: str | None,
    ) -> set[str]:
        """Return the addresses of those that answered, and of the former primary."""
        names = [name for name, each in outcomes.items() if isinstance(each, Answered)]
        if former_primary is not None:
            names.append(former_primary)
        found = (self.database(service, name) for name in names)
        return {database.address for database in found if database is not None}

    async def _send(
        self, service: str, name: str, statement: ProxyCommand, deadline: float
    ) -> Outcome:
        database = self.database(service, name)
        if database is None:
            return NotAsked()
        if isinstance(statement, Fence) and self._clock() < self._settled_at:
            self._fenced.add((service, name))
        asked_at = self._clock()
        try:
            status = await self._fleet.command(
                database, statement, COMMAND_TIMEOUT_SECONDS, deadline
            )
        except (SessionError, TimeoutError) as error:
            self._record_failure(database, statement, error)
            _log_failure(name, statement, error)
            return _outcome_of(error)
        group = self._fleet.group(service)
        member = group.members.get(name)
        if member is not None:
            member.record_process_answer(asked_at, status.connected_at)
            if status.is_primary:
                group.record_status(member, status, asked_at)
        return Answered(status)

    async def _send_to_address(
        self, database: Database, statement: ProxyCommand, deadline: float
    ) -> Outcome:
        try:
            status = await self._fleet.command_at_address(
                database, statement, COMMAND_TIMEOUT_SECONDS, deadline
            )
        except ReplacedError:
            return Ended()
        except (SessionError, TimeoutError) as error:
            self._record_failure(database, statement, error)
            _log_failure(f"at {database.address}", statement, error)
            return NotAsked() if isinstance(error, NoCapacityError) else Silent()
        return ReplacementAnswered(status)

    def _record_failure(
        self, database: Database, statement: ProxyCommand, error: Exception
    ) -> None:
        """Record until when a command that may have been sent may act.

        It was sent before it was given up.
        """
        may_be_sent = not isinstance(error, NotSentError)
        if may_be_sent and isinstance(statement, Unfence):
            key = database.service, database.identifier
            self._unfenced_until[key] = self._clock() + COMMAND_LIFE_SECONDS


def _outcome_of(error: Exception) -> Outcome:
    match error:
        case ReplacedError():
            return Replaced()
        case NotRunningError():
            return NotRunning()
        case NoCapacityError():
            return NotAsked()
    return Silent()


def _log_failure(name: str, statement: ProxyCommand, error: Exception) -> None:
    logs.log(session_events.CommandFailed(name, type(statement).__name__, f"{error!r}"))
