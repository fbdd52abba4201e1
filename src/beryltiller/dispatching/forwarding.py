"""Forward statements to a peer that holds connections to their database.

A proxy forwards a statement if it has no share of the database's connections, or if
it cannot reach the database but a peer may. The peer runs the statement through its own
admission queue and never forwards it again. The proxy that received the caller's
request decides by its own evidence whether a write is acknowledged.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any

from beryltiller.adapters.channels import PeerLostError, PeerRefusedError
from beryltiller.adapters.endpoints import format_load, parse_load
from beryltiller.adapters.peers import Peers
from beryltiller.admission.tickets import Ticket
from beryltiller.consistency.attempts import Answered, Lost, Refused, Result
from beryltiller.core.decoding import parse_count, shorten
from beryltiller.core.outcome import Kind, Outcome
from beryltiller.core.ports import EndpointAnswer, Statement
from beryltiller.core.position import Position
from beryltiller.dispatching.databases import ConfiguredDatabase, Databases
from beryltiller.dispatching.dispatch_errors import NotRunError, UnknownOutcomeError
from beryltiller.membership.members import Members
from beryltiller.membership.messages import Forward, ForwardReply, Message, ReplyTo
from beryltiller.membership.messages import Refused as PeerRefusal
from beryltiller.membership.shares import choose_holder
from beryltiller.observability.hop_recorder import HopRecorder
from beryltiller.observability.metrics import Counter, Metrics
from beryltiller.observability.traces import Hop

# Added to the wait for a peer's reply, as the reply to a statement that ended at its
# deadline still has to arrive.
RETURN_MARGIN_SECONDS = 0.05
# A peer that could not be reached or did not answer is avoided for this time.
AVOID_UNREACHABLE_PEER_SECONDS = 2.0

_MILLISECONDS_PER_SECOND = 1000
_STATUSES = {Outcome.DONE: 200, Outcome.NOT_RUN: 409, Outcome.UNKNOWN: 504}


@dataclass(frozen=True, slots=True)
class ForwardedStatement:
    """A statement that a peer forwarded, with its database and its new ticket."""

    database: str
    ticket: Ticket
    statement: Statement


def to_message(database: str, statement: Statement, ticket: Ticket) -> Forward:
    """Encode a statement as the message that forwards it to a peer."""
    headers = {
        "request": ticket.request_id,
        "caller": ticket.caller,
        "kind": statement.kind.value,
        "term": str(statement.term),
        "at-least": str(statement.at_least),
        "key": statement.key,
        "traceparent": statement.trace_parent,
    }
    timeout_ms = int(statement.timeout_seconds * _MILLISECONDS_PER_SECOND)
    return Forward(database, headers, statement.body, max(timeout_ms, 0))


def from_message(message: Forward, now: float) -> ForwardedStatement:
    """Decode a forwarded statement; raise ValueError or KeyError if it is malformed."""
    headers = message.headers
    kind = Kind(headers["kind"])
    seconds = message.timeout_ms / _MILLISECONDS_PER_SECOND
    ticket = Ticket(headers["request"], headers["caller"], kind, now + seconds)
    statement = Statement(
        kind,
        message.body,
        parse_count(headers["term"]),
        Position.parse(headers["at-least"]),
        _header_text(headers["key"]),
        _header_text(headers["traceparent"]),
        seconds,
    )
    return ForwardedStatement(message.database, ticket, statement)


def _header_text(text: str) -> str:
    """Return a text that is sent in a header; raise ValueError if none can hold it."""
    if not text.isascii() or not text.isprintable() or text != text.strip():
        raise ValueError(f"not the text of a header: {shorten(text)!r}")
    return text


def to_reply(result: Result) -> ForwardReply:
    """Encode a result as the reply to a forwarded statement or step."""
    match result:
        case Answered(answer):
            headers = {
                "position": str(answer.position),
                "load": format_load(answer.load),
                "repeat": "true" if answer.is_repeat else "",
            }
            return ForwardReply(_STATUSES[Outcome.DONE], headers, answer.body)
        case Refused(code, reason):
            headers = {"code": code, "reason": reason}
            return ForwardReply(_STATUSES[Outcome.NOT_RUN], headers, b"")
        case Lost(reason):
            return ForwardReply(_STATUSES[Outcome.UNKNOWN], {"reason": reason}, b"")
    return ForwardReply(_STATUSES[Outcome.UNKNOWN], {"reason": "unconfirmed"}, b"")


def from_reply(reply: Message) -> Result:
    """Decode the result in a peer's reply; return `Lost` if it cannot be read."""
    match reply:
        case PeerRefusal(code, reason):
            return Refused(code, reason)
        case ForwardReply(status, headers, body):
            return _from_reply(status, headers, body)
    return Lost("a peer sent a reply of an unexpected kind")


def _from_reply(status: int, headers: dict[str, str], body: bytes) -> Result:
    if status == _STATUSES[Outcome.NOT_RUN]:
        return Refused(headers.get("code", "peer"), headers.get("reason", ""))
    if status != _STATUSES[Outcome.DONE]:
        return Lost(headers.get("reason", "no complete answer"))
    try:
        position = Position.parse(headers["position"])
        load = parse_load(headers.get("load", ""))
    except (KeyError, ValueError, TypeError):
        return Lost("a peer sent an unreadable answer")
    is_repeat = headers.get("repeat") == "true"
    return Answered(EndpointAnswer(body, position, load, is_repeat))


def refuse_malformed(error: Exception) -> PeerRefusal:
    """Return the refusal of a message that `error` shows to be malformed."""
    return PeerRefusal("malformed", shorten(repr(error)))


class Forwarder:
    """Sends statements to peers, and runs those that peers forward to this proxy."""

    def __init__(
        self,
        peers: Peers,
        databases: Databases,
        members: Callable[[], Members | None],
        metrics: Metrics,
        hop_recorder: HopRecorder,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without peers to avoid; `members` returns the newest list, or None."""
        self._peers = peers
        self._databases = databases
        self._members = members
        self._metrics = metrics
        self._hop_recorder = hop_recorder
        self._clock = clock
        self._unreachable: dict[str, float] = {}
        self._running: set[asyncio.Task[None]] = set()

    def choose_peer(self, configured: ConfiguredDatabase) -> str:
        """Return the address of the peer to forward to, or "" if there is none.

        Peers that drain or that were unreachable lately are avoided.
        """
        members = self._members()
        if members is None:
            return ""
        now = self._clock()
        avoided_names = {
            name for name, until in self._unreachable.items() if until > now
        }
        avoided_names.update(each.name for each in members.others if each.is_draining)
        held_by = self._databases.holders(configured.name)
        found = choose_holder(held_by, members.me, avoided_names)
        return found.address if found else ""

    async def send(
        self, address: str, database: str, statement: Statement, ticket: Ticket
    ) -> Result:
        """Send a statement to the peer at `address` and wait for its result."""
        self._metrics.count(Counter.FORWARDED_SENT)
        trace_parent = statement.trace_parent
        with self._hop_recorder.record(
            Hop.FORWARD, trace_parent, peer=address
        ) as child_trace_parent:
            traced = replace(statement, trace_parent=child_trace_parent)
            return await self._send(address, database, traced, ticket)

    async def _send(
        self, address: str, database: str, statement: Statement, ticket: Ticket
    ) -> Result:
        message = to_message(database, statement, ticket)
        seconds = statement.timeout_seconds + RETURN_MARGIN_SECONDS
        try:
            reply = await self._peers.request(address, message, seconds)
        except PeerRefusedError as error:
            self._record_unreachable(address)
            return Refused("unreachable", str(error))
        except PeerLostError as error:
            self._record_unreachable(address)
            return Lost(str(error))
        return from_reply(reply)

    def receive(self, message: Forward, reply_to: ReplyTo) -> None:
        """Start to run a peer's statement; the reply is sent once it has ended.

        Call it on the event loop.
        """
        self._metrics.count(Counter.FORWARDED_RECEIVED)
        self.start_task(self._serve(message, reply_to))

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Start `work` for a peer's request as a task; call it on the event loop."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _serve(self, message: Forward, reply_to: ReplyTo) -> None:
        try:
            forwarded = from_message(message, self._clock())
        except (KeyError, ValueError) as error:
            self._peers.reply(reply_to, refuse_malformed(error))
            return
        trace_parent = forwarded.statement.trace_parent
        with self._hop_recorder.record(
            Hop.FORWARDED, trace_parent
        ) as child_trace_parent:
            traced = replace(forwarded.statement, trace_parent=child_trace_parent)
            result = await self._run(replace(forwarded, statement=traced))
        self._peers.reply(reply_to, to_reply(result))

    async def _run(self, forwarded: ForwardedStatement) -> Result:
        name, statement = forwarded.database, forwarded.statement
        connected = self._databases.find_connected(name)
        if connected is None:
            return Refused("no-connection", f"this proxy has no share of {name}")
        try:
            with self._hop_recorder.record_attempt(
                statement.trace_parent, name
            ) as attempt:
                answer = await connected.dispatcher.run(
                    forwarded.ticket, statement, attempt.mark_sent
                )
        except NotRunError as error:
            return Refused(error.code, str(error.refusal))
        except UnknownOutcomeError as error:
            return Lost(str(error.refusal))
        return Answered(answer)

    def _record_unreachable(self, address: str) -> None:
        members = self._members()
        for each in members.others if members else ():
            if each.address == address:
                self._unreachable[each.name] = (
                    self._clock() + AVOID_UNREACHABLE_PEER_SECONDS
                )
