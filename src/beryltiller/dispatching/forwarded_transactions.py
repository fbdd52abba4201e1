"""Transactions at a peer, with the same interface as a `TransactionRunner`.

The peer holds the connection that the transaction is pinned to. If the peer dies, the
database drops the transaction with the connection. If this proxy dies, the peer drops
the transaction after the idle timeout.
"""

import time
from collections.abc import Callable

from beryltiller.adapters.channels import PeerLostError, PeerRefusedError
from beryltiller.adapters.peers import Peers
from beryltiller.admission.tickets import Ticket
from beryltiller.consistency.attempts import Answered, Lost, Refused, Result
from beryltiller.core.decoding import parse_count
from beryltiller.core.outcome import Kind, Refusal
from beryltiller.core.ports import EndpointAnswer, Statement
from beryltiller.core.position import ORIGIN
from beryltiller.dispatching.databases import Databases
from beryltiller.dispatching.dispatch_errors import NotRunError, UnknownOutcomeError
from beryltiller.dispatching.forwarding import (
    RETURN_MARGIN_SECONDS,
    from_reply,
    to_reply,
)
from beryltiller.dispatching.transaction_runner import TransactionRunner
from beryltiller.membership.messages import ForwardReply, ForwardTransaction

_MILLISECONDS_PER_SECOND = 1000


class PeerTransactionRunner:
    """Runs transactions of one database at the peer with the given address.

    A method that fails raises `NotRunError` or `UnknownOutcomeError`, as it would
    locally.
    """

    def __init__(
        self,
        peers: Peers,
        address: str,
        database: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Set the peer and the database; `clock` is monotonic, in seconds."""
        self._peers = peers
        self._address = address
        self._database = database
        self._clock = clock

    async def begin(self, ticket: Ticket, term: int) -> str:
        """Begin a transaction at the peer and return its identifier."""
        answer = await self._send("begin", "", ticket, {"term": str(term)})
        return answer.body.decode()

    async def run(
        self, identifier: str, ticket: Ticket, statement: Statement
    ) -> EndpointAnswer:
        """Run a statement of the transaction at the peer."""
        headers = {"term": str(statement.term)}
        return await self._send("run", identifier, ticket, headers, statement.body)

    async def commit(
        self, identifier: str, ticket: Ticket, key: str = ""
    ) -> EndpointAnswer:
        """Commit the transaction at the peer as one log entry."""
        return await self._send("commit", identifier, ticket, {"key": key})

    async def rollback(self, identifier: str, ticket: Ticket) -> None:
        """Roll back the transaction at the peer."""
        await self._send("rollback", identifier, ticket, {})

    async def _send(
        self,
        verb: str,
        identifier: str,
        ticket: Ticket,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> EndpointAnswer:
        seconds = max(ticket.deadline - self._clock(), 0.0)
        message = ForwardTransaction(
            self._database,
            verb,
            identifier,
            {
                "request": ticket.request_id,
                "caller": ticket.caller,
                "kind": ticket.kind.value,
                **headers,
            },
            body,
            int(seconds * _MILLISECONDS_PER_SECOND),
        )
        try:
            reply = await self._peers.request(
                self._address, message, seconds + RETURN_MARGIN_SECONDS
            )
        except PeerRefusedError as error:
            raise NotRunError("unreachable", Refusal(str(error))) from error
        except PeerLostError as error:
            raise UnknownOutcomeError("lost-answer", Refusal(str(error))) from error
        return _answer_of(from_reply(reply))


def _answer_of(result: Result) -> EndpointAnswer:
    match result:
        case Answered(answer):
            return answer
        case Refused(code, reason):
            raise NotRunError(code, Refusal(reason or code))
        case Lost(reason):
            raise UnknownOutcomeError("lost-answer", Refusal(reason))
    raise UnknownOutcomeError("lost-answer", Refusal("unconfirmed"))


async def run_forwarded_step(
    databases: Databases, message: ForwardTransaction, now: float
) -> ForwardReply:
    """Run a transaction step that a peer forwarded, and return the reply to send."""
    connected = databases.find_connected(message.database)
    if connected is None:
        return to_reply(
            Refused("no-connection", f"this proxy has no share of {message.database}")
        )
    try:
        answer = await _run_step(connected.transactions, message, now)
    except NotRunError as error:
        return to_reply(Refused(error.code, str(error.refusal)))
    except UnknownOutcomeError as error:
        return to_reply(Lost(str(error.refusal)))
    except (KeyError, ValueError) as error:
        return to_reply(Refused("malformed", repr(error)))
    return to_reply(Answered(answer))


async def _run_step(
    runner: TransactionRunner, message: ForwardTransaction, now: float
) -> EndpointAnswer:
    headers = message.headers
    seconds = message.timeout_ms / _MILLISECONDS_PER_SECOND
    kind = Kind(headers["kind"])
    ticket = Ticket(headers["request"], headers["caller"], kind, now + seconds)
    match message.verb:
        case "begin":
            identifier = await runner.begin(ticket, parse_count(headers["term"]))
            return EndpointAnswer(identifier.encode(), ORIGIN)
        case "run":
            term = parse_count(headers["term"])
            statement = Statement(
                Kind.WRITE, message.body, term, timeout_seconds=seconds
            )
            return await runner.run(message.identifier, ticket, statement)
        case "commit":
            return await runner.commit(message.identifier, ticket, headers["key"])
        case "rollback":
            await runner.rollback(message.identifier, ticket)
            return EndpointAnswer(b"", ORIGIN)
    raise ValueError(f"unknown transaction step {message.verb!r}")
