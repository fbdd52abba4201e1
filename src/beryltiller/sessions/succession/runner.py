"""Runner of successions: observes the groups and performs the policy's actions.

A succession is a planned or forced change of a service's primary. The policy decides
in an actor; the runner sends it observations and carries out the actions it returns.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from beryltiller.core.ports import PortError, RefusedError
from beryltiller.observability import logs, session_events
from beryltiller.process.actors import Part
from beryltiller.sessions.databases.evidence import NO_PROOF_SECONDS
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.errors import SessionError
from beryltiller.sessions.statements import (
    AskStatus,
    Fence,
    StepDown,
)
from beryltiller.sessions.succession import actions, events, times
from beryltiller.sessions.succession.announcer import Announcer
from beryltiller.sessions.succession.commands import GroupCommands
from beryltiller.sessions.succession.fencing import (
    Fencer,
    ReadEntries,
    status_text,
)
from beryltiller.sessions.succession.known_databases import known_text
from beryltiller.sessions.succession.observer import GroupObserver, known_log
from beryltiller.sessions.succession.policy import SuccessionPolicy
from beryltiller.sessions.succession.state import State

PART_NAME = "succession"
OBSERVE_INTERVAL_SECONDS = 0.1
# The mean time between two status queries that find fences which a promoter left.
FENCE_CHECK_SECONDS = 3.0
# The same for replicas of other availability zones, where other proxies ask more often.
REMOTE_FENCE_CHECK_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class ObserveGroups:
    """A request to observe all groups now."""


Action = ObserveGroups | actions.Action


@dataclass(frozen=True, slots=True)
class DutyClaim:
    """A claim of the promotion duty with its fencing token, valid from `asked_at`."""

    token: int
    asked_at: float


class DutyPort(Protocol):
    """The platform's promotion duty: the exclusive right to change a service's primary.

    The duty is claimed in the store for a limited time, and used by calling `promote`.
    """

    async def claim(self, service: str, seconds: float) -> DutyClaim:
        """Claim the duty for `seconds`, or return a recent claim of this proxy.

        Raise `RefusedError` while another proxy holds it.
        """
        ...

    async def promote(self, service: str, identifier: str, token: int) -> None:
        """Promote the database to primary, under a claim's fencing token.

        Raise `RefusedError` with code `not running` if the database is not running.
        """
        ...


class SuccessionRunner:
    """Replaces the primaries of all groups when needed; bound to one event loop."""

    def __init__(
        self,
        fleet: Fleet,
        duty: DutyPort,
        announcer: Announcer,
        is_store_reachable: Callable[[], bool],
        read_entries: ReadEntries,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Create a runner for the fleet's groups.

        `read_entries` updates them to the entries that the store has now.
        `rng` delays claims randomly so that several proxies do not collide.
        """
        self._fleet = fleet
        self._duty = duty
        self._observer = GroupObserver(fleet, is_store_reachable, clock())
        self._policy = SuccessionPolicy(rng)
        self._rng = rng
        self._next_fence_check: dict[str, float] = {}
        self._clock = clock
        self._commands = GroupCommands(fleet, clock)
        self._announcer = announcer
        self._fencer = Fencer(fleet, self._commands, announcer, read_entries, clock)
        self._newest_token = 0

    def part(
        self,
    ) -> Part[State, events.Event | None, Action]:
        """Return the actor part that runs the policy; its ticks carry no event."""
        return Part(
            PART_NAME,
            OBSERVE_INTERVAL_SECONDS,
            None,
            lambda now: State(),
            self._decide,
            self._perform,
        )

    def _decide(
        self,
        state: State,
        event: events.Event | None,
        _: float,
    ) -> tuple[State, tuple[Action, ...]]:
        """Decide in the actor; the event loop owns the groups and observes them."""
        if event is None:
            return state, (ObserveGroups(),)
        return self._policy.decide(state, event, self._clock())

    async def _perform(self, action: Action) -> events.Event | None:
        match action:
            case ObserveGroups():
                return self._observer.observe(self._clock())
            case actions.ClaimDuty():
                return await self._claim(action)
            case actions.StepDownPrimary():
                return await self._step_down(action)
            case actions.FenceReplicas():
                return await self._fencer.fence(action)
            case actions.AnnounceChange():
                return await self._announce(action)
            case actions.WithdrawChange():
                await self._announcer.withdraw(
                    action.service,
                    action.token,
                    action.is_over,
                    action.successor_term,
                    action.is_repeated,
                )
                return None
            case actions.ObserveAfter(seconds):
                await asyncio.sleep(seconds)
                return self._observer.observe(self._clock())
            case actions.Promote():
                return await self._promote(action)
            case actions.UnfenceReplicas():
                await self._fencer.lift(action)
                return None

    async def _step_down(self, action: actions.StepDownPrimary) -> events.Event | None:
        """Step a primary down; report the end of its log if it led until then."""
        service, name = action.service, action.identifier
        led_term = await self._commands.led_term(service, name)
        if led_term is None:
            # A command that arrives late would find another succession, or none.
            return None
        status = await self._commands.send(service, name, StepDown(action.term))
        if status is None or status.is_primary:
            return None
        group = self._fleet.group(service)
        member = group.members.get(name)
        if member is not None:
            group.record_lead_denied(member)
        # An unfenced replica could start to follow another primary.
        await self._commands.send(service, name, Fence(action.term))
        received = str(status.received)
        logs.log(
            session_events.PrimarySteppedDown(
                service, name, action.term, received, led_term
            )
        )
        reached = known_log(member) if member else None
        if (
            not led_term
            or led_term != status.term
            or (reached and status.received < reached)
        ):
            return None
        return events.PrimarySteppedDown(service, name, led_term, status.received)

    async def _announce(self, action: actions.AnnounceChange) -> events.Event:
        service = action.service
        written = await self._announcer.announce(
            service, action.change, action.token, action.asked, action.successor
        )
        if written is None:
            return events.ChangeAnnounced(service, 0)
        return events.ChangeAnnounced(service, written.version, written.begun_term)

    async def _claim(self, action: actions.ClaimDuty) -> events.Event:
        if action.cause is events.Cause.FAILING:
            leader = self._fleet.group(action.service).leader
            if leader is not None and not await self._is_failure_confirmed(leader):
                return events.ClaimFailed(action.service)
        if action.cause is events.Cause.FENCES_LEFT:
            group = self._fleet.group(action.service)
            await self._query_fences((group, each) for each in group.fenced_replicas)
            if not group.fenced_replicas:
                return events.ClaimFailed(action.service)
        try:
            claim = await self._duty.claim(action.service, times.DUTY_SECONDS)
        except PortError as error:
            logs.log(session_events.ClaimRefused(action.service, str(error)))
            return events.ClaimFailed(action.service)
        self._newest_token = max(self._newest_token, claim.token)
        cause = action.cause.value
        logs.log(session_events.SuccessionStarted(action.service, claim.token, cause))
        return events.ClaimAccepted(action.service, claim.token, claim.asked_at)

    async def _promote(self, action: actions.Promote) -> events.Event | None:
        service, successor = action.service, action.successor
        is_accepted = is_refused = False
        reason = ""
        asked_at = self._clock()
        if asked_at > action.deadline:
            return events.PromotionResult(service, False, False)
        self._log_decision(action, asked_at)
        try:
            await self._duty.promote(service, successor, self._newest_token)
            is_accepted = True
        except RefusedError as error:
            is_refused = error.code == "not running"
            reason = str(error)
        except PortError as error:
            reason = str(error)
        duration = round(self._clock() - asked_at, 3)
        logs.log(
            session_events.PromotionAsked(
                service, successor, is_accepted, reason, duration
            )
        )
        return events.PromotionResult(service, is_accepted, is_refused)

    def _log_decision(self, action: actions.Promote, now: float) -> None:
        basis = action.basis
        left_out = (f"{name} {reason}" for name, reason in basis.left_out.items())
        known = self._observer.known_databases(action.service, now)
        answers = {
            name: "replaced" if name in basis.replacements else status_text(status)
            for name, status in basis.statuses.items()
        }
        answered = {name for name, status in basis.statuses.items() if status}
        logs.log(
            session_events.PromotionDecided(
                action.service,
                action.successor,
                action.token,
                basis.cause.value,
                basis.former_primary,
                basis.term,
                "; ".join(
                    f"{self._incarnation_text(action.service, name)} "
                    f"{status_text(status)}"
                    for name, status in basis.statuses.items()
                ),
                "; ".join(
                    f"{name} {status_text(status)}"
                    for name, status in basis.replacements.items()
                ),
                "; ".join(left_out),
                str(basis.former_log_end or ""),
                str(basis.lost_log_covered_by or ""),
                basis.newest_term,
                basis.begun_term,
                basis.announced_version,
                round(now - basis.claimed_at, 3),
                round(now - basis.confirmed_at, 3),
                known_text(known, answers, basis.left_out, now),
                len(self._fleet.group(action.service).members),
                len(answered - basis.left_out.keys()),
                self._observer.process_age(now),
            )
        )

    def _incarnation_text(self, service: str, name: str) -> str:
        database = self._commands.database(service, name)
        return f"{name}/{database.incarnation}" if database else name

    async def probe_unresponsive_leaders(self) -> None:
        """Ask leaders that are failing or unresponsive for their status.

        This detects a failure before statements time out, and also detects its end.
        """
        now = self._clock()
        leaders = self._fleet.leaders_to_probe()
        to_probe = [leader for leader in leaders if leader.is_available(now)]
        await asyncio.gather(*map(self._fleet.probe, to_probe))

    async def check_fences(self) -> None:
        """Ask the replicas now and then for their status.

        This finds fences of a promoter that ended before it lifted them. Names that it
        left in an announcement are removed.
        """
        await self._announcer.clear_names()
        now = self._clock()
        replicas = tuple(
            (group, member)
            for group in self._fleet.watched_groups()
            for member in group.replicas
        )
        names = {member.database.identifier for _, member in replicas}
        for name in self._next_fence_check.keys() - names:
            del self._next_fence_check[name]
        await self._query_fences(
            (group, member)
            for group, member in replicas
            if member.is_available(now) and self._is_fence_check_due(member, now)
        )

    def _is_fence_check_due(self, member: Member, now: float) -> bool:
        """Return True if a replica is to be asked now, and draw when it is asked next.

        Random times keep the proxies from asking at once. One that has been asked for
        its status for another reason is not asked again.
        """
        name = member.database.identifier
        next_check = self._next_fence_check.get(name)
        if next_check is not None and now < next_check:
            return False
        is_local = self._fleet.is_local(member)
        mean = FENCE_CHECK_SECONDS if is_local else REMOTE_FENCE_CHECK_SECONDS
        self._next_fence_check[name] = now + self._rng.uniform(0.5, 1.5) * mean
        return next_check is not None and now >= member.status_asked_at + 0.5 * mean

    async def _query_fences(self, replicas: Iterable[tuple[Group, Member]]) -> None:
        queries = (self._query_fence(group, member) for group, member in replicas)
        await asyncio.gather(*queries)

    async def _query_fence(self, group: Group, member: Member) -> None:
        asked_at = self._clock()
        try:
            status = await self._fleet.ask_status(member)
        except (SessionError, TimeoutError) as error:
            # Whether a replica works is found by the reads that are sent to it.
            name = member.database.identifier
            logs.log(
                session_events.CommandFailed(name, AskStatus.__name__, f"{error!r}")
            )
            return
        group.record_status(member, status, asked_at, NO_PROOF_SECONDS)

    async def _is_failure_confirmed(self, leader: Member) -> bool:
        """Return True if a recent probe of the leader failed, after probing if needed.

        Statements that fail do not suffice: a primary that is only overloaded must keep
        its lead, as a change of primary would interrupt its group and move the load.
        """
        if not leader.was_probed_recently(self._clock()):
            await self._fleet.probe(leader)
        return leader.failed_probe_recently(self._clock())
