"""Explanations of why a request waited, was overtaken or was refused.

An explanation is derived from the admission records alone. It states when records that
it needs have been overwritten.
"""

from collections import Counter
from dataclasses import dataclass

from beryltiller.admission.records import AdmissionRecord, AdmissionRecords
from beryltiller.admission.tickets import Rejection, Rule, rule_between
from beryltiller.core.outcome import Kind, Outcome

_RULES = {
    Rule.ARRIVED_EARLIER: "it had arrived earlier",
    Rule.LESS_SERVICE: "its caller had received no more service than yours",
    Rule.EARLIER_DEADLINE: "it had the earlier deadline",
    Rule.AGEING: "it had waited longer, which limits the effect of a later deadline",
    Rule.LANE_BALANCE: "reads and writes of one caller take turns",
    Rule.RESERVE: "a place was reserved for its lane, as yours had reached its limit",
    Rule.TRANSACTION: "it belonged to an open transaction, which holds a connection",
}
_HIDDEN_CALLER = "another caller"
_MAX_LISTED_GRANTS = 20


@dataclass(frozen=True, slots=True)
class EarlierGrant:
    """A request that was granted while another waited, and the rule that applied."""

    caller: str
    kind: Kind
    rule: Rule
    arrived: float
    granted: float


@dataclass(frozen=True, slots=True)
class Attempt:
    """The explanation of one admission or refusal of a request.

    `earlier_grants` are the requests granted while it waited, oldest first. `missing`
    is the number of those whose records were overwritten. `waited_seconds` is the time
    until the grant or refusal.
    """

    record: AdmissionRecord
    waited_seconds: float
    earlier_grants: tuple[EarlierGrant, ...]
    missing: int

    def text(self) -> str:
        """Return the explanation as text with one sentence per line."""
        return "\n".join(self._lines())

    def _lines(self) -> list[str]:
        record = self.record
        wait = f"{self.waited_seconds * 1000:.1f} ms"
        if record.cause is not None:
            reason = Rejection(record.cause, record.wait_seconds).refusal
            return [f"Refused by {record.database} after {wait}, not run: {reason}."]
        lines = [f"Admitted to {record.database} after {wait}; {self._outcome()}."]
        if not self.earlier_grants and not self.missing:
            return [*lines, "No request was admitted in between."]
        counts = Counter(earlier.rule for earlier in self.earlier_grants)
        total = len(self.earlier_grants) + self.missing
        lines.append(f"{total} requests were admitted in between:")
        lines.extend(f"- {counts[rule]}: {_RULES[rule]}" for rule in sorted(counts))
        if self.missing:
            lines.append(f"- {self.missing}: unknown, their records are gone")
        for earlier in self.earlier_grants[-_MAX_LISTED_GRANTS:]:
            granted_ms = (earlier.granted - record.arrived) * 1000
            arrived_ms = (earlier.arrived - record.arrived) * 1000
            lines.append(
                f"  {earlier.kind.value} of {earlier.caller},"
                f" arrived {arrived_ms:+.1f} ms, admitted {granted_ms:+.1f} ms:"
                f" {_RULES[earlier.rule]}"
            )
        return lines

    def _outcome(self) -> str:
        outcome = self.record.outcome
        if outcome is None:
            return "still in execution"
        if outcome is Outcome.DONE:
            seconds = self.record.finished - self.record.arrived
            return f"done {seconds * 1000:.1f} ms after its arrival"
        return f"outcome {outcome.value}"


@dataclass(frozen=True, slots=True)
class Explanation:
    """The explanation of a request: its attempts, oldest first.

    There are none if no record is left. `capacity` is that of the records.
    """

    request_id: str
    attempts: tuple[Attempt, ...]
    capacity: int

    def text(self) -> str:
        """Return the explanation as text with one sentence per line."""
        if not self.attempts:
            return (
                f"No record of {self.request_id} is left: this proxy never queued it,"
                f" or {self.capacity} newer ones have replaced it."
            )
        return "\n".join(attempt.text() for attempt in self.attempts)


def explain(
    records: AdmissionRecords, request_id: str, is_operator: bool
) -> Explanation:
    """Return the explanation of a request.

    Other callers' names are included for operators only.
    """
    attempts = (
        _attempt(records, record, is_operator) for record in records.find(request_id)
    )
    return Explanation(request_id, tuple(attempts), records.capacity)


def _attempt(
    records: AdmissionRecords, record: AdmissionRecord, is_operator: bool
) -> Attempt:
    grant = record.grant
    if grant is None:
        return Attempt(record, record.finished - record.arrived, (), 0)
    between = records.grants_between(record)
    earlier_grants = tuple(
        _earlier_grant(other, record, is_operator) for other in between
    )
    missing = grant.number - grant.grants_at_arrival - 1 - len(earlier_grants)
    return Attempt(record, grant.granted - grant.arrived, earlier_grants, missing)


def _earlier_grant(
    other: AdmissionRecord, record: AdmissionRecord, is_operator: bool
) -> EarlierGrant:
    assert other.grant is not None and record.grant is not None
    own = record.ticket.caller
    is_named = is_operator or other.ticket.caller == own
    return EarlierGrant(
        caller=other.ticket.caller if is_named else _HIDDEN_CALLER,
        kind=other.ticket.kind,
        rule=rule_between(other.grant, record.grant),
        arrived=other.arrived,
        granted=other.grant.granted,
    )
