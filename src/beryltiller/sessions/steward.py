"""Carry out successions: look at the groups, and perform what is decided.

The decisions run in an actor; this part gives it what it sees and does what it asks.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from beryltiller.core.ports import PortError, RefusedError
from beryltiller.observability import logs
from beryltiller.process.actors import Part
from beryltiller.sessions import succession, succession_state
from beryltiller.sessions.catalog import Database
from beryltiller.sessions.errors import ReplacedError, SessionError
from beryltiller.sessions.fleet import Fleet
from beryltiller.sessions.groups import Group
from beryltiller.sessions.member import Member
from beryltiller.sessions.statements import (
    AskStatus,
    DatabaseStatus,
    Fence,
    OwnStatement,
    StepDown,
    Unfence,
)

PART_NAME = "succession"
LOOK_SECONDS = 0.1
COMMAND_TIMEOUT_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Look:
    """Look at the groups."""


Action = Look | succession_state.Action


@dataclass(frozen=True, slots=True)
class HeldDuty:
    """A claim of the duty, with its fencing token; it counts from `asked_at`."""

    token: int
    asked_at: float


class DutyPort(Protocol):
    """The platform's promotion duty: a claim in the store, and the call itself."""

    async def claim(self, service: str, seconds: float) -> HeldDuty:
        """Claim the duty for `seconds`, or return a claim that is still new.

        Raise `RefusedError` while another holds it.
        """
        ...

    async def promote(self, service: str, identifier: str, token: int) -> None:
        """Name the database that takes the lead.

        Raise `RefusedError` with code `not running` when it cannot.
        """
        ...


class Steward:
    """Look after the primaries of all groups; on one event loop."""

    def __init__(
        self,
        fleet: Fleet,
        duty: DutyPort,
        is_store_reachable: Callable[[], bool],
        source: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Perform on the fleet's databases and through the duty port."""
        self._fleet = fleet
        self._duty = duty
        self._is_store_reachable = is_store_reachable
        self._policy = succession.SuccessionPolicy(source)
        self._clock = clock
        self._headless_since: dict[str, float] = {}
        self._led_until: dict[str, float] = {}
        self._replaced: set[str] = set()
        self._leaders: dict[str, str] = {}
        self._newest_token = 0

    def part(
        self,
    ) -> Part[succession_state.State, succession_state.Event | None, Action]:
        """Return the part whose actor decides; its ticks are empty."""
        return Part(
            PART_NAME,
            LOOK_SECONDS,
            None,
            lambda now: succession_state.State(),
            self._decide,
            self._perform,
        )

    def _decide(
        self,
        state: succession_state.State,
        event: succession_state.Event | None,
        _: float,
    ) -> tuple[succession_state.State, tuple[Action, ...]]:
        """Decide in the actor; what the loop owns is looked at on the loop."""
        if event is None:
            return state, (Look(),)
        return self._policy.decide(state, event, self._clock())

    def _look(self, now: float) -> succession_state.Seen:
        views = tuple(self._view(group, now) for group in tuple(self._fleet.groups()))
        return succession_state.Seen(views, self._is_store_reachable())

    def _view(self, group: Group, now: float) -> succession_state.GroupView:
        leader = group.leader
        service = group.service
        if leader is not None:
            self._headless_since.pop(service, None)
            failing_since = leader.failing_since
            self._led_until[service] = now if failing_since is None else failing_since
        else:
            self._headless_since.setdefault(service, now)
        self._log_leader(group, leader)
        departed = self._fleet.directory.departed_of(service)
        return succession_state.GroupView(
            service,
            leader.database.identifier if leader else None,
            leader.database.is_draining if leader else False,
            group.term,
            tuple(member.database.identifier for member in group.replicas),
            frozenset(
                member.database.identifier
                for member in group.replicas
                if member.database.is_draining
            ),
            tuple(each.database.identifier for each in departed),
            leader.failing_since if leader else None,
            leader.stalled_since(now) if leader else None,
            self._headless_since.get(service),
            self._led_until.get(service),
            group.last_acknowledged,
        )

    def _log_leader(self, group: Group, leader: Member | None) -> None:
        name = leader.database.identifier if leader else ""
        if self._leaders.get(group.service, "") != name:
            self._leaders[group.service] = name
            logs.log(logs.LeaderChanged(group.service, name, group.term))

    async def _perform(self, action: Action) -> succession_state.Event | None:
        match action:
            case Look():
                return self._look(self._clock())
            case succession_state.Claim():
                return await self._claim(action)
            case succession_state.StepDownOne(service, term, identifier):
                # A replica that is not fenced could follow another primary.
                stepped = await self._command(service, identifier, StepDown(term))
                if stepped is None or stepped.is_primary:
                    return None
                await self._command(service, identifier, Fence(term))
                received = stepped.received
                return succession_state.SteppedDown(service, identifier, received)
            case succession_state.FenceAll():
                return await self._fence_all(action)
            case succession_state.LookAfter(seconds):
                await asyncio.sleep(seconds)
                return self._look(self._clock())
            case succession_state.Promote():
                return await self._promote(action)
            case succession_state.UnfenceAll(service, replicas):
                await self._command_all(service, replicas, Unfence())
                return None

    async def _claim(self, action: succession_state.Claim) -> succession_state.Event:
        if action.cause is succession_state.Cause.FAILING:
            await self._probe(action.service)
            leader = self._fleet.group(action.service).leader
            if leader is not None and leader.failing_since is None:
                return succession_state.ClaimLost(action.service)
        try:
            held = await self._duty.claim(action.service, succession.DUTY_SECONDS)
        except PortError as error:
            logs.log(logs.ClaimRefused(action.service, str(error)))
            return succession_state.ClaimLost(action.service)
        self._newest_token = max(self._newest_token, held.token)
        cause = action.cause.value
        logs.log(logs.SuccessionStarted(action.service, held.token, cause))
        return succession_state.Claimed(action.service, held.token, held.asked_at)

    async def _fence_all(
        self, action: succession_state.FenceAll
    ) -> succession_state.Event:
        service = action.service
        others = (*action.replicas, *action.departed)
        seen = await self._command_all(service, others, AskStatus())
        if any(item is not None and item.is_primary for item in seen.values()):
            return succession_state.FencesAnswered(service, seen)
        were_fenced = all(
            item is not None and item.fenced_term >= action.term
            for name, item in seen.items()
            if name not in action.departed
        )
        answering = [name for name, item in seen.items() if item is not None]
        fenced = await self._command_all(service, answering, Fence(action.term))
        statuses = {name: fenced.get(name) for name in others}
        hidden = self._hidden(service, action.trouble_since)
        gone = frozenset(
            name
            for name in action.departed
            if statuses[name] is None and name not in hidden
        )
        logs.log(
            logs.ReplicasFenced(
                service,
                action.term,
                "; ".join(
                    f"{name} {_status_text(item)}" for name, item in statuses.items()
                ),
            )
        )
        replaced = frozenset(self._replaced.intersection(statuses))
        return succession_state.FencesAnswered(
            service, statuses, gone, replaced, were_fenced
        )

    def _hidden(self, service: str, trouble_since: float) -> frozenset[str]:
        """Return the departed that may be cut off together with the former primary."""
        hidden = self._fleet.directory.hidden_of(service, trouble_since)
        return frozenset(each.database.identifier for each in hidden)

    async def _promote(
        self, action: succession_state.Promote
    ) -> succession_state.Event | None:
        service, successor = action.service, action.successor
        is_accepted = is_refused = False
        reason = ""
        if self._clock() > action.deadline:
            return succession_state.PromotionAnswered(service, False, False)
        try:
            await self._duty.promote(service, successor, self._newest_token)
            is_accepted = True
        except RefusedError as error:
            is_refused = error.code == "not running"
            reason = str(error)
        except PortError as error:
            reason = str(error)
        logs.log(logs.PromotionAsked(service, successor, is_accepted, reason))
        return succession_state.PromotionAnswered(service, is_accepted, is_refused)

    async def _command_all(
        self, service: str, names: Iterable[str], statement: OwnStatement
    ) -> dict[str, DatabaseStatus | None]:
        """Send a command to several databases at once; None where it failed."""
        names = tuple(names)
        results = await asyncio.gather(
            *(self._command(service, name, statement) for name in names)
        )
        return dict(zip(names, results, strict=True))

    async def _command(
        self, service: str, name: str, statement: OwnStatement
    ) -> DatabaseStatus | None:
        database = self._database(service, name)
        if database is None:
            return None
        asked_at = self._clock()
        try:
            status = await self._fleet.command(
                database, statement, COMMAND_TIMEOUT_SECONDS
            )
        except (SessionError, TimeoutError) as error:
            logs.log(logs.CommandFailed(name, type(statement).__name__, f"{error!r}"))
            if isinstance(error, ReplacedError):
                self._replaced.add(name)
            return None
        self._replaced.discard(name)
        member = self._fleet.group(service).members.get(name)
        if member is not None and status.is_primary:
            self._fleet.group(service).status_heard(member, status, asked_at)
        return status

    def _database(self, service: str, name: str) -> Database | None:
        member: Member | None = self._fleet.group(service).members.get(name)
        if member is not None:
            return member.database
        for departed in self._fleet.directory.departed_of(service):
            if departed.database.identifier == name:
                return departed.database
        return None

    async def probe_doubtful(self) -> None:
        """Ask leaders that fail or are silent whether they live.

        So trouble is found before statements time out, and is seen to end.
        """
        now = self._clock()
        leaders = self._fleet.leaders_to_probe()
        asked = [leader for leader in leaders if leader.is_available(now)]
        await asyncio.gather(*map(self._fleet.probe, asked))

    async def _probe(self, service: str) -> None:
        leader = self._fleet.group(service).leader
        if leader is not None and not leader.is_known(self._clock()):
            await self._fleet.probe(leader)


def _status_text(status: DatabaseStatus | None) -> str:
    if status is None:
        return "silent"
    role = "primary" if status.is_primary else "replica"
    return f"{role} term {status.term} at {status.received} fenced {status.fenced_term}"
