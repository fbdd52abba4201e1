"""Records of what the answers to statements, and missing ones, say of databases."""

from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.placement import Placement
from beryltiller.sessions.session import AcquiredConnection, Session
from beryltiller.sessions.statements import (
    Begin,
    Code,
    Commit,
    Execute,
    Reply,
    Request,
    Write,
)


def record_silence(
    session: Session, acquired: AcquiredConnection, request: Request, now: float
) -> None:
    """Record that a database has not answered a statement in its time."""
    member, asked_at = acquired.placement.member, acquired.asked_at
    record_lost_answer(acquired.placement, asked_at, now)
    if is_commit_of_write(session, request):
        member.record_unacknowledged_write(asked_at, now)


def record_lost_answer(placement: Placement, asked_at: float, now: float) -> None:
    """Record that a statement sent at `asked_at` ended without an answer.

    A replica is avoided for a moment, as another database can serve its reads. The
    leader is not, if it answers other statements.
    """
    if placement.needs_proof:
        placement.member.record_lost_answer(asked_at, now)
    else:
        placement.member.record_failure(now)


def record_reply(
    session: Session,
    group: Group,
    acquired: AcquiredConnection,
    request: Request,
    reply: Reply,
    now: float,
) -> None:
    """Record what a reply says of its database, and of the group's leader."""
    placement, asked_at = acquired.placement, acquired.asked_at
    member = placement.member
    match reply.code:
        case None:
            member.observed.record_answer(now - asked_at, now)
            if is_commit_of_write(session, request):
                member.record_acknowledged_write(asked_at)
            elif placement.needs_proof and request.statement == Begin():
                # Only a primary accepts it.
                group.record_lead(member, asked_at)
        case Code.LAGGING if placement.needs_proof:
            # It has lost what it answered with while it led.
            group.record_lead_denied(member)
        case Code.LAGGING:
            member.record_lag_refusal(now)
        case Code.BUSY:
            member.record_load_refusal(now)
            member.observed.record_error(now)
        case Code.FAILED | Code.TIMEOUT:
            # Errors of a statement itself occur at all databases alike.
            member.observed.record_error(now)
        case Code.READ_ONLY if member is group.leader:
            group.record_lead_denied(member)
    # Recorded last, as the reply decides whose position it is.
    opened_at = acquired.connection.opened_at
    group.record_position(member, reply.position, asked_at, opened_at)


def is_commit_of_write(session: Session, request: Request) -> bool:
    """Return True if a statement commits a write, in a transaction or on its own."""
    match request.statement:
        case Commit():
            transaction = session.transaction
            return transaction is not None and transaction.has_written
        case Write() | Execute():
            return session.transaction is None and session.is_write(request.statement)
        case _:
            return False
