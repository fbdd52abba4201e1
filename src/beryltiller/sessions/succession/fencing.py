"""Fencing and unfencing: a group's databases are asked for their status before."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace

from beryltiller.observability import logs, session_events
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.in_sync_set import process_of
from beryltiller.sessions.statements import (
    AskStatus,
    DatabaseStatus,
    Fence,
    Unfence,
)
from beryltiller.sessions.succession.actions import (
    FenceReplicas,
    UnfenceReplicas,
)
from beryltiller.sessions.succession.announcer import Announcer
from beryltiller.sessions.succession.commands import (
    Answered,
    Ended,
    GroupCommands,
    NotAsked,
    NotRunning,
    Outcome,
    Replaced,
    ReplacementAnswered,
    Silent,
    status_of,
)
from beryltiller.sessions.succession.events import (
    FenceResults,
)
from beryltiller.sessions.succession.objections import known_databases

# How long answers on other connections are waited for that show which process answered.
IDENTIFY_SECONDS = 0.1
IDENTIFY_STEP_SECONDS = 0.02

Outcomes = Mapping[str, Outcome]
# Reads the databases' entries that the store has now; returns False if that failed.
ReadEntries = Callable[[], Awaitable[bool]]


class Fencer:
    """Fences the databases that this proxy knows, and those that replace them."""

    def __init__(
        self,
        fleet: Fleet,
        commands: GroupCommands,
        announcer: Announcer,
        read_entries: ReadEntries,
        clock: Callable[[], float],
    ) -> None:
        """Fence the fleet's databases by `commands`."""
        self._fleet = fleet
        self._commands = commands
        self._announcer = announcer
        self._read_entries = read_entries
        self._clock = clock

    async def fence(self, action: FenceReplicas) -> FenceResults:
        """Fence the databases that answer, or none if one of them is primary."""
        service, former_primary = action.service, action.former_primary
        names = (*action.replicas, *action.departed)
        unknown = self._unknown(service)
        may_be_unfenced = self._commands.may_be_unfenced(service)
        reported = await self._commands.send_all(
            service, names, AskStatus(), former_primary
        )
        for name in _fenced(reported):
            self._commands.record_found_fence(service, name)
        if any(_is_primary(outcome) for outcome in reported.values()):
            found_fenced = _fenced(reported)
            return _results(action, reported, unknown, found_fenced=found_fenced)
        fenced_at = self._clock()
        answering = [name for name, each in reported.items() if status_of(each)]
        fenced, is_unopposed = await asyncio.gather(
            self._commands.send_all(
                service, answering, Fence(action.term), former_primary
            ),
            self._is_unopposed(action),
        )
        outcomes = {**reported, **dict.fromkeys(answering, Silent()), **fenced}
        results = _results(
            action,
            outcomes,
            unknown,
            gone=self._gone(action, outcomes),
            were_already_fenced=not may_be_unfenced
            and all(
                _was_fenced(action, name, reported[name], outcomes[name])
                for name in names
            ),
            found_fenced=_fenced(reported),
            fenced_at=fenced_at,
            is_unopposed=is_unopposed,
        )
        await self._identify(service, outcomes)
        results = self._with_processes(results, outcomes)
        _log_round(action, results, outcomes)
        return results

    async def _identify(self, service: str, outcomes: Outcomes) -> None:
        """Give answers on other connections a moment to show who has answered.

        A command takes a new connection while callers' statements use all others.
        """
        until = self._clock() + IDENTIFY_SECONDS
        while self._has_unidentified(service, outcomes) and self._clock() < until:
            await asyncio.sleep(IDENTIFY_STEP_SECONDS)

    def _has_unidentified(self, service: str, outcomes: Outcomes) -> bool:
        group = self._fleet.group(service)
        if not group.in_sync:
            return False
        return any(
            (status := status_of(outcomes.get(name, Silent()))) is not None
            and group.in_sync.find(member.database) is not None
            and not member.is_known_process(status.connected_at)
            for name, member in group.members.items()
        )

    def _with_processes(
        self, results: FenceResults, outcomes: Outcomes
    ) -> FenceResults:
        """Add which processes are to be accounted for, and which have answered.

        An entry may be that of a process that has ended since. So it tells who has
        answered only on a connection that is known to lead to that process.
        """
        group = self._fleet.group(results.service)
        self._fleet.identify_processes()
        answered_by = tuple(
            process_of(member.database)
            for name, member in group.members.items()
            if (status := status_of(outcomes.get(name, Silent()))) is not None
            and member.is_known_process(status.connected_at)
        )
        return replace(
            results,
            in_sync=group.in_sync.processes if group.in_sync else (),
            incarnations={
                name: each.database.incarnation for name, each in group.members.items()
            },
            answered_by=answered_by,
            silent_registered=frozenset(
                name
                for name in group.members
                if isinstance(outcomes.get(name), Silent | NotRunning)
            ),
        )

    async def lift(self, action: UnfenceReplicas) -> None:
        """Unfence the databases that answer that they are fenced.

        So as long as a command is on its way, the fence that it will lift is there for
        other promoters to find. No second one is sent that would be on its way without.
        """
        service, deadline = action.service, action.deadline
        names = [
            name
            for name in action.replicas
            if not self._commands.may_be_unfenced(service, name)
        ]
        reported = await self._commands.send_all(
            service, names, AskStatus(), deadline=deadline
        )
        unfenced = await self._commands.send_all(
            service, _fenced(reported), Unfence(), deadline=deadline
        )
        outcomes = outcomes_text({**reported, **unfenced})
        logs.log(session_events.ReplicasUnfenced(service, outcomes))

    async def _is_unopposed(self, action: FenceReplicas) -> bool:
        """Return True if an announced change has neither objections nor new databases.

        A database that registered before the announcement may have shown commits to
        proxies that had not heard of it.
        """
        version = action.announced_version
        if not version:
            return False
        is_unopposed, are_read = await asyncio.gather(
            self._announcer.is_unopposed(action.service, version), self._read_entries()
        )
        return is_unopposed and are_read and self._knows_all(action)

    def _knows_all(self, action: FenceReplicas) -> bool:
        """Return True if the round asks all databases that are known now."""
        asked = {*action.replicas, *action.departed, action.former_primary}
        return known_databases(self._fleet, action.service) <= asked

    def _unknown(self, service: str) -> frozenset[str]:
        """Return the databases that only other proxies know."""
        known = known_databases(self._fleet, service)
        return self._fleet.group(service).changes.lacking(known, self._clock())

    def _gone(self, action: FenceReplicas, outcomes: Outcomes) -> frozenset[str]:
        """Return the departed databases that are gone for good and do not answer.

        One whose entry was removed when a partition may have begun may be cut off with
        the former primary. One that is silent and did not announce its end may have
        been cut off from the store, and from this proxy later.
        """
        directory, since = self._fleet.directory, action.possible_partition_since
        service = action.service
        receiving = directory.possibly_receiving_of(service, since, self._clock())
        partitioned = directory.possibly_partitioned_of(service, since)
        may_run = {
            Silent: {each.database.identifier for each in receiving},
            NotRunning: {each.database.identifier for each in partitioned},
        }
        return frozenset(
            name
            for name in action.departed
            if name not in may_run.get(type(outcomes[name]), action.departed)
        )


def outcomes_text(outcomes: Outcomes) -> str:
    """Return what each database answered, for a log line."""
    return "; ".join(f"{name} {_outcome_text(each)}" for name, each in outcomes.items())


def status_text(status: DatabaseStatus | None) -> str:
    """Return a database's status for a log line."""
    if status is None:
        return "silent"
    role = "primary" if status.is_primary else "replica"
    return f"{role} term {status.term} at {status.received} fenced {status.fenced_term}"


def _log_round(
    action: FenceReplicas, results: FenceResults, outcomes: Outcomes
) -> None:
    answered = {(each.identifier, each.incarnation) for each in results.answered_by}
    unanswered = (
        f"{each.identifier}/{each.incarnation}"
        for each in results.in_sync
        if (each.identifier, each.incarnation) not in answered
    )
    logs.log(
        session_events.ReplicasFenced(
            action.service, action.term, outcomes_text(outcomes), " ".join(unanswered)
        )
    )


def _results(
    action: FenceReplicas,
    outcomes: Outcomes,
    unknown: frozenset[str],
    gone: frozenset[str] = frozenset(),
    were_already_fenced: bool = False,
    found_fenced: frozenset[str] = frozenset(),
    fenced_at: float = 0.0,
    is_unopposed: bool = False,
) -> FenceResults:
    replacements = {
        name: outcome.status
        for name, outcome in outcomes.items()
        if isinstance(outcome, ReplacementAnswered)
    }
    statuses = dict.fromkeys(unknown) | {
        name: None if name in replacements else status_of(outcome)
        for name, outcome in outcomes.items()
    }
    return FenceResults(
        action.service,
        statuses,
        gone,
        _names_of(outcomes, Replaced),
        _names_of(outcomes, Ended),
        replacements,
        were_already_fenced,
        found_fenced,
        fenced_at,
        is_unopposed,
        unknown - outcomes.keys(),
    )


def _names_of(outcomes: Outcomes, kind: type[Outcome]) -> frozenset[str]:
    return frozenset(name for name, each in outcomes.items() if isinstance(each, kind))


def _fenced(outcomes: Outcomes) -> frozenset[str]:
    return frozenset(
        name
        for name, outcome in outcomes.items()
        if (status := status_of(outcome)) is not None and status.fenced_term
    )


def _is_primary(outcome: Outcome) -> bool:
    status = status_of(outcome)
    return status is not None and status.is_primary


def _was_fenced(
    action: FenceReplicas, name: str, reported: Outcome, fenced: Outcome
) -> bool:
    """Return True if a database was fenced before this round, or need not have been.

    If another one answered at its address than before, that one was not.
    """
    if type(fenced) is not type(reported):
        return False
    match reported:
        case Answered(status) | ReplacementAnswered(status):
            return status.fenced_term >= action.term
        case NotAsked():
            return False
    return True


def _outcome_text(outcome: Outcome) -> str:
    match outcome:
        case Answered(status):
            return status_text(status)
        case ReplacementAnswered(status):
            return f"replaced by an unknown {status_text(status)}"
        case Replaced():
            return "replaced"
        case Ended():
            return "ended"
        case NotRunning():
            return "not running"
        case Silent():
            return "silent"
        case NotAsked():
            return "not asked"
