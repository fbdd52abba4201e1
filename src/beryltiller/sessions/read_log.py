"""The log of reads: for each one, the database it ran at and the evidence it counts on.

A read that was answered from a log that lacked commits is explained by one line: what
the proxy believed of the group, and which answer of which database made it believe so.
The log is off by default, as it has a line for each read.
"""

from dataclasses import dataclass

from beryltiller.core.position import Position
from beryltiller.observability import logs
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.placement import Placement, ReadRequirement
from beryltiller.sessions.statements import Reply


@dataclass(frozen=True, slots=True)
class _Evidence:
    kind: str = ""
    source: str = ""
    asked_at: float | None = None


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
        asked_at = now if evidence.asked_at is None else evidence.asked_at
        logs.log(
            logs.ReadRan(
                request=identifier,
                service=group.service,
                database=member.database.identifier,
                incarnation=member.database.incarnation,
                role="leader" if placement.needs_proof else "replica",
                term=group.term,
                leader_term=group.leader_term.term,
                leader_changes=group.leader_change_count,
                since=_position_text(placement.since),
                position=_position_text(reply.position),
                own_position=_position_text(requirement.own_position),
                required_age_seconds=round(now - requirement.acknowledged_before, 3),
                evidence=evidence.kind,
                evidence_source=evidence.source,
                evidence_age_seconds=round(now - asked_at, 3),
                code=reply.code.name.lower() if reply.code else "",
            )
        )


def _evidence(group: Group, placement: Placement) -> _Evidence:
    """Return the proof of the leader's term, or the cover of a replica's read."""
    if placement.needs_proof:
        proof = group.newest_proof
        if proof is None:
            return _Evidence()
        return _Evidence(proof.kind.value, proof.source, proof.asked_at)
    cover = placement.cover
    if cover is None:
        return _Evidence()
    return _Evidence(cover.kind.value, cover.source, cover.asked_at)


def _position_text(position: Position | None) -> str:
    return str(position) if position else ""
