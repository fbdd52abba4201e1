"""Forwarded statements and their replies as messages between proxies.

A message that cannot be decoded raises `ForwardingError`, whatever is wrong with it: a
peer may run another release.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from beryltiller.core.position import Position
from beryltiller.membership.messages import (
    UNKNOWN_AGE_MS,
    ForwardedRoute,
    ForwardedStatement,
    SessionReply,
    SessionStatement,
)
from beryltiller.sessions.databases.catalog import Route, RouteKind
from beryltiller.sessions.statements import (
    CallerStatement,
    Code,
    Commit,
    Execute,
    Prepare,
    Read,
    Reply,
    SessionState,
    Statement,
    Write,
)

# Rows, signatures and texts of databases may hold bytes that are not UTF-8.
_ANY_BYTES = "surrogateescape"


class ForwardingError(Exception):
    """A message of a peer that cannot be used; the reason is short."""


@dataclass(frozen=True, slots=True)
class DecodedStatement:
    """A forwarded statement, and what is prepared under the name that it executes."""

    statement: CallerStatement
    prepared: Mapping[str, Prepare]


def encode_route(route: Route) -> ForwardedRoute:
    """Return the wire format of a route."""
    return ForwardedRoute(
        route.database_name,
        route.service,
        route.kind.value,
        to_ms(route.timeout_seconds),
        to_ms(route.objective_seconds),
        route.priority,
        to_ms(route.max_staleness_seconds),
    )


def decode_route(part: ForwardedRoute) -> Route:
    """Return a route as its sender has it in force."""
    try:
        kind = RouteKind(part.kind)
    except ValueError as error:
        raise ForwardingError("unknown kind of route") from error
    return Route(
        part.database_name,
        part.service,
        kind,
        part.timeout_ms / 1000,
        part.objective_ms / 1000,
        part.priority,
        part.max_staleness_ms / 1000,
    )


def encode_statement(
    statement: Statement, prepared: Mapping[str, Prepare]
) -> ForwardedStatement:
    """Return the wire format of a statement that a database runs."""
    match statement:
        case Read(item):
            return ForwardedStatement("read", (item,))
        case Write(item, data):
            return ForwardedStatement("write", (item, data))
        case Execute(name, arguments):
            prepare = prepared[name]
            return ForwardedStatement(
                "execute", (name, arguments), prepare.shape, prepare.is_write
            )
        case Commit():
            return ForwardedStatement("commit")
    raise ForwardingError(f"{type(statement).__name__} is not forwarded")


def decode_statement(part: ForwardedStatement) -> DecodedStatement:
    """Return the statement that a peer sent."""
    match part.kind, part.texts:
        case "read", (item,):
            return DecodedStatement(Read(item), {})
        case "write", (item, data):
            return DecodedStatement(Write(item, data), {})
        case "execute", (name, arguments):
            prepare = Prepare(name, part.is_write, part.prepared_shape)
            return DecodedStatement(Execute(name, arguments), {name: prepare})
        case "commit", ():
            return DecodedStatement(Commit(), {})
    raise ForwardingError("unknown statement")


def encode_position(position: Position | None) -> str:
    """Return the text of a position, which is empty for None."""
    return "" if position is None else str(position)


def decode_position(text: str) -> Position | None:
    """Return the position of a text."""
    if not text:
        return None
    try:
        return Position.parse(text)
    except ValueError as error:
        raise ForwardingError("malformed position") from error


def unplaced_moment(message: SessionStatement, now: float) -> float | None:
    """Return when the session's last commit without a position was acknowledged.

    It is dated by the message's arrival, so never too early.
    """
    if message.unplaced_age_ms == UNKNOWN_AGE_MS:
        return None
    return now - message.unplaced_age_ms / 1000


def encode_reply(reply: Reply, is_open: bool) -> SessionReply:
    """Return the wire format of a reply to a statement."""
    return SessionReply(
        reply.state.value,
        tuple(row.encode(errors=_ANY_BYTES) for row in reply.rows),
        reply.signature.encode(errors=_ANY_BYTES),
        "" if reply.code is None else reply.code.value,
        reply.text.encode(errors=_ANY_BYTES).decode(errors="replace"),
        encode_position(reply.position),
        is_open,
    )


def decode_reply(message: SessionReply) -> Reply:
    """Return the reply that a peer passes on."""
    try:
        state = SessionState(message.state)
        code = Code(message.code) if message.code else None
    except ValueError as error:
        raise ForwardingError("unknown state or code") from error
    if (code is None) == (not message.signature):
        raise ForwardingError("a reply with both a signature and a code, or neither")
    return Reply(
        state,
        tuple(row.decode(errors=_ANY_BYTES) for row in message.rows),
        message.signature.decode(errors=_ANY_BYTES),
        code,
        message.text,
        decode_position(message.position),
    )


def to_ms(seconds: float) -> int:
    """Return a duration in whole milliseconds, not below 0."""
    return max(0, round(seconds * 1000))


def age_ms(seconds: float) -> int:
    """Return an age in whole milliseconds, rounded down.

    What it dates counts as later then, and a read as having to see more.
    """
    return max(0, int(seconds * 1000))
