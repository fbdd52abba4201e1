"""Forward the statements of this proxy's sessions to the holders of a service.

A statement that certainly did not run at a holder is tried at the next one, and then
by this proxy. Without a reply, a read outside a transaction is retried too; a write or
a commit that may have run is not. Without a reply to another statement of a
transaction, the transaction fails: the holder rolls back what is not committed.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from msgspec.structs import replace as replace_message

from beryltiller.adapters.channels import PeerError, PeerLostError, PeerRefusedError
from beryltiller.adapters.peer_requests import PeerRequests
from beryltiller.membership.members import Member
from beryltiller.membership.messages import (
    UNKNOWN_AGE_MS,
    SessionEnd,
    SessionReply,
    SessionStatement,
)
from beryltiller.sessions.databases.catalog import Route, RouteKind
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.regions import Regions
from beryltiller.sessions.forwarding import forwarding_codec as codec
from beryltiller.sessions.forwarding.forwarding_plan import ForwardingPlan
from beryltiller.sessions.session import RemoteTransaction, Session, Transaction
from beryltiller.sessions.statements import (
    Code,
    Commit,
    Reply,
    SessionState,
    Statement,
)

# How many holders a statement is sent to before this proxy runs it.
MAX_HOLDERS = 3
# A holder ends a statement this long before its timeout, so that its reply arrives in
# time: a lost reply says less than the holder's own one. Between regions it is two
# round trips.
TRANSIT_SECONDS = 0.02
REGION_TRANSIT_SECONDS = 0.12
# A read is tried elsewhere if a holder has not replied within the route's objective,
# or within this time if that is longer.
MIN_READ_WAIT_SECONDS = 0.3
# How long a reply to the end of a transaction is waited for. A holder that does not
# receive it rolls the transaction back at the idle limit.
END_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class _Forwarded:
    """A statement to be forwarded, with its route and the time of its arrival."""

    route: Route
    identifier: str
    statement: Statement
    arrived: float
    needs_primary: bool

    @property
    def deadline(self) -> float:
        """Return the time at which the route's timeout ends."""
        return self.arrived + self.route.timeout_seconds


@dataclass(frozen=True, slots=True)
class HolderChoice:
    """The holders of a region, and those to which a statement is sent in turn.

    `candidates` are all holders, in order of preference. Without `recipients`, which
    are the first of them that can be used, this proxy runs the statement itself.
    """

    region: str
    candidates: tuple[Member, ...]
    recipients: tuple[Member, ...]


class ForwardingClient:
    """Sends statements to holders; use it on a single event loop."""

    def __init__(
        self,
        requests: PeerRequests,
        plan: ForwardingPlan,
        fleet: Fleet,
        regions: Regions,
        sender: str,
        clock: Callable[[], float],
    ) -> None:
        """Send to the holders of `plan`; `sender` names this process to them."""
        self._requests = requests
        self._plan = plan
        self._fleet = fleet
        self._regions = regions
        self._sender = sender
        self._clock = clock
        self._numbers = itertools.count(1)
        self._ending: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Cancel the requests to end transactions."""
        for task in self._ending:
            task.cancel()

    async def run_single(
        self,
        session: Session,
        route: Route,
        identifier: str,
        statement: Statement,
        arrived: float,
    ) -> Reply | None:
        """Run a statement outside of a transaction at a holder.

        Return None if this proxy is to run it itself.
        """
        is_write = session.is_write(statement)
        needs_primary = is_write or route.kind is RouteKind.PRIMARY
        asked = _Forwarded(route, identifier, statement, arrived, needs_primary)
        for holder in self._holders(session, asked):
            try:
                reply = await self._send_single(holder, session, asked, is_write)
            except PeerRefusedError:
                continue
            except PeerLostError:
                if is_write:
                    reason = "the proxy that ran the write did not reply"
                    return session.refuse(Code.UNKNOWN_OUTCOME, reason)
                continue
            if reply.is_success and is_write:
                session.record_commit(route.service, reply.position, self._clock())
            return replace(reply, state=SessionState.IDLE)
        return None

    async def run_in_transaction(
        self,
        session: Session,
        identifier: str,
        statement: Statement,
        arrived: float,
    ) -> Reply | None:
        """Run a statement of the open transaction, or its commit, at a holder.

        Return None if this proxy is to run it itself, as it has begun nowhere.
        """
        transaction = session.transaction
        assert transaction is not None
        route = transaction.route
        needs_primary = not transaction.is_read_only
        asked = _Forwarded(route, identifier, statement, arrived, needs_primary)
        if transaction.remote is not None:
            return await self._run_next(session, transaction, asked)
        for holder in self._holders(session, asked):
            remote = RemoteTransaction(holder.address, next(self._numbers))
            try:
                reply = await self._send_step(session, transaction, remote, asked, True)
            except PeerRefusedError:
                continue
            except PeerLostError:
                self._end_later(remote)
                return self._lose(session, transaction, asked)
            return reply
        return None

    async def roll_back(self, transaction: Transaction) -> None:
        """Roll back a transaction at its holder, if it was begun at one."""
        remote, transaction.remote = transaction.remote, None
        if remote is not None:
            await self._end(remote)

    async def _run_next(
        self, session: Session, transaction: Transaction, asked: _Forwarded
    ) -> Reply:
        remote = transaction.remote
        assert remote is not None
        try:
            return await self._send_step(session, transaction, remote, asked, False)
        except PeerRefusedError as error:
            self._end_later(remote)
            return self._abort(session, Code.ABORTED, str(error), asked)
        except PeerLostError:
            self._end_later(remote)
            return self._lose(session, transaction, asked)

    def _lose(
        self, session: Session, transaction: Transaction, asked: _Forwarded
    ) -> Reply:
        """Fail a transaction whose holder did not reply; return the caller's reply."""
        is_commit = isinstance(asked.statement, Commit)
        may_be_kept = is_commit and transaction.has_written
        code = Code.UNKNOWN_OUTCOME if may_be_kept else Code.ABORTED
        return self._abort(session, code, "the proxy that ran it did not reply", asked)

    def _abort(
        self, session: Session, code: Code, reason: str, asked: _Forwarded
    ) -> Reply:
        """Forget the transaction, and return the reply with which it failed."""
        if session.transaction is not None:
            session.transaction.remote = None
        session.transaction = None
        session.state = SessionState.FAILED
        if isinstance(asked.statement, Commit):
            session.state = SessionState.IDLE
        return session.refuse(code, reason)

    async def _send_single(
        self, holder: Member, session: Session, asked: _Forwarded, is_write: bool
    ) -> Reply:
        left = asked.deadline - self._clock()
        wait = max(MIN_READ_WAIT_SECONDS, asked.route.objective_seconds)
        message = self._message(session, asked, holder.address)
        return await self._exchange(
            holder.address, message, left if is_write else min(left, wait)
        )

    async def _send_step(
        self,
        session: Session,
        transaction: Transaction,
        remote: RemoteTransaction,
        asked: _Forwarded,
        begins: bool,
    ) -> Reply:
        """Send a statement of a transaction, and record how the transaction stands."""
        message = replace_message(
            self._message(session, asked, remote.address),
            transaction=remote.number,
            begins=begins,
            is_read_only=transaction.is_read_only,
            begun_ms=codec.age_ms(self._clock() - transaction.begun_at),
        )
        left = asked.deadline - self._clock()
        reply_message = await self._request(remote.address, message, left)
        reply = _decoded(reply_message)
        if isinstance(asked.statement, Commit):
            session.transaction = transaction.remote = None
            session.state = SessionState.IDLE
            if reply.is_success and transaction.has_written:
                service = asked.route.service
                session.record_commit(service, reply.position, self._clock())
            return replace(reply, state=SessionState.IDLE)
        if reply.is_success and session.is_write(asked.statement):
            transaction.has_written = True
        if reply_message.is_open:
            transaction.remote = remote
            return reply
        transaction.remote = session.transaction = None
        if reply.state is SessionState.OPEN:
            # The holder has ended the transaction behind the statement.
            return replace(reply, state=SessionState.FAILED)
        return reply

    async def _exchange(
        self, address: str, message: SessionStatement, wait: float
    ) -> Reply:
        return _decoded(await self._request(address, message, wait))

    async def _request(
        self, address: str, message: SessionStatement, wait: float
    ) -> SessionReply:
        reply = await self._requests.send(address, message, wait)
        if not isinstance(reply, SessionReply):
            raise PeerLostError("a reply of an unexpected kind")
        return reply

    def _message(
        self, session: Session, asked: _Forwarded, address: str
    ) -> SessionStatement:
        """Return the message to a holder, whose reply has to arrive in time."""
        now = self._clock()
        service = asked.route.service
        unplaced_at = session.unplaced_commits.get(service)
        return SessionStatement(
            self._sender,
            codec.encode_route(self._route_for(asked.route, address)),
            session.organisation,
            asked.identifier,
            codec.encode_statement(asked.statement, session.prepared),
            dict(session.values),
            codec.encode_position(session.committed.get(service)),
            UNKNOWN_AGE_MS if unplaced_at is None else codec.age_ms(now - unplaced_at),
            codec.age_ms(now - asked.arrived),
        )

    def _route_for(self, route: Route, address: str) -> Route:
        """Return a route whose timeout leaves the time for the way back."""
        timeout = route.timeout_seconds
        transit = TRANSIT_SECONDS
        if self._regions.are_several and not self._is_in_own_region(address):
            transit = REGION_TRANSIT_SECONDS
        return replace(route, timeout_seconds=max(timeout / 2, timeout - transit))

    def _is_in_own_region(self, address: str) -> bool:
        members = self._plan.members
        if members is None:
            return True
        own = self._regions.of(members.me.availability_zone)
        zones = (
            each.availability_zone for each in members.others if each.address == address
        )
        return all(self._regions.of(zone) == own for zone in zones)

    def _holders(self, session: Session, asked: _Forwarded) -> Iterator[Member]:
        """Yield the holders to try; end where this proxy is to run the statement."""
        choice = self.choose(
            asked.route.service, session.organisation, asked.needs_primary
        )
        for holder in choice.recipients:
            if self._clock() >= asked.deadline:
                return
            yield holder

    def choose(
        self, service: str, organisation: str, needs_primary: bool
    ) -> HolderChoice:
        """Choose the holders to send a statement to; it sends nothing."""
        members = self._plan.members
        if members is None or not self._plan.service(service).is_forwarded:
            return HolderChoice("", (), ())
        region = self._region(self._fleet.group(service), needs_primary)
        candidates = self._plan.candidates(
            service, region, organisation, self._requests.in_flight
        )
        own = members.me.address
        is_own = [each.address == own for each in candidates]
        if not organisation and any(is_own):
            return HolderChoice(region, candidates, ())
        usable = [each for each in candidates if not self._is_avoided(each, own)]
        chosen = itertools.takewhile(lambda each: each.address != own, usable)
        return HolderChoice(region, candidates, tuple(chosen)[:MAX_HOLDERS])

    def _is_avoided(self, holder: Member, own: str) -> bool:
        return holder.address != own and self._requests.is_avoided(holder.address)

    def _region(self, group: Group, needs_primary: bool) -> str:
        """Return the region whose holders run a statement.

        Reads stay in this proxy's region if one of the databases is there.
        """
        members = self._plan.members
        own = self._regions.of(members.me.availability_zone) if members else ""
        leader = group.leader
        if leader is None:
            return own
        zones = (
            each.database.availability_zone
            for each in group.members.values()
            if not each.database.is_draining
        )
        if not needs_primary and any(self._regions.of(zone) == own for zone in zones):
            return own
        return self._regions.of(leader.database.availability_zone)

    def _end_later(self, remote: RemoteTransaction) -> None:
        """Let a holder know that a transaction has ended, without waiting for it."""
        task = asyncio.get_running_loop().create_task(self._end(remote))
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)

    async def _end(self, remote: RemoteTransaction) -> None:
        message = SessionEnd(self._sender, remote.number)
        try:
            await self._requests.send(remote.address, message, END_SECONDS)
        except PeerError:
            # The holder rolls the transaction back at the idle limit.
            return


def _decoded(message: SessionReply) -> Reply:
    """Return the reply in a message; one that cannot be read counts as lost."""
    try:
        return codec.decode_reply(message)
    except codec.ForwardingError as error:
        raise PeerLostError(str(error)) from error
