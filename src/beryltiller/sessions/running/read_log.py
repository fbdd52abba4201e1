"""The log of reads: for each one, the database it ran at and the evidence it counts on.

A read that was answered from a log that lacked commits is explained by one line: what
the proxy believed of the group, and which answer of which database made it believe so.
The log is off by default, as it has a line for each read.
"""

from dataclasses import dataclass

from beryltiller.core.position import Position
from beryltiller.observability import logs, session_events
from beryltiller.sessions.databases.evidence import Evidence
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.placement import Placement, ReadRequirement
from beryltiller.sessions.statements import Reply


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Writes a line for each read if it is enabled."""

    is_enabled: bool = False

    def record(
        self,
        identifier: str,
        group: Group,
        placement: Placement,
        requirement: ReadRequirement,
        reply: Reply,
        now: float,
    ) -> None:
        """Log a read that ran at the placement's database; `now` is when it ended."""
        if not self.is_enabled:
            return
        member = placement.member
        evidence = _evidence(group, placement)
        logs.log(
            session_events.ReadRan(
                request=identifier,
                service=group.service,
                database=member.database.identifier,
                incarnation=member.database.incarnation,
                role="leader" if placement.needs_proof else "replica",
                term=group.term,
                leader_term=group.leader.reported_primary_term if group.leader else 0,
                since=_position_text(placement.since),
                position=_position_text(reply.position),
                own_position=_position_text(requirement.own_position),
                required_age_seconds=round(now - requirement.acknowledged_before, 3),
                evidence=evidence.kind.value if evidence else "",
                evidence_source=evidence.source if evidence else "",
                evidence_age_seconds=(
                    round(now - evidence.asked_at, 3) if evidence else 0.0
                ),
                code=reply.code.name.lower() if reply.code else "",
            )
        )


def _evidence(group: Group, placement: Placement) -> Evidence | None:
    """Return the proof of the leader's term, or the cover of a replica's read."""
    if placement.needs_proof:
        return group.newest_proof
    return placement.cover.evidence if placement.cover else None


def _position_text(position: Position | None) -> str:
    return str(position) if position else ""
