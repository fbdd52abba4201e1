"""Explanations: why a request waited, was overtaken or was refused.

An explanation rests on the admission records alone. It says so when they are gone.
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
    Rule.AGEING: "it had waited longer, which bounds what a later deadline costs",
    Rule.LANE_BALANCE: "reads and writes of one caller take turns",
    Rule.RESERVE: "a place was reserved for its lane, which yours had nearly filled",
    Rule.TRANSACTION: "it belonged to an open transaction, which holds a connection",
}
_HIDDEN_CALLER = "another caller"
_LISTED_AT_MOST = 20


@dataclass(frozen=True, slots=True)
class Precedent:
    """Describe a request that was served first, and by which rule."""

    caller: str
    kind: Kind
    rule: Rule
    arrived: float
    granted: float


@dataclass(frozen=True, slots=True)
class Attempt:
    """Explain one admission of a request.

    `precedents` are the requests granted while it waited, oldest first, and `missing`
    counts those whose records are gone. `waited_seconds` ends at the grant or refusal.
    """

    record: AdmissionRecord
    waited_seconds: float
    precedents: tuple[Precedent, ...]
    missing: int

    def text(self) -> str:
        """Return the explanation in sentences, one a line."""
        return "\n".join(self._lines())

    def _lines(self) -> list[str]:
        record = self.record
        wait = f"{self.waited_seconds * 1000:.1f} ms"
        if record.cause is not None:
            reason = Rejection(record.cause, record.wait_seconds).refusal
            return [f"Refused by {record.database} after {wait}, not run: {reason}."]
        lines = [f"Admitted to {record.database} after {wait}; {self._outcome()}."]
        if not self.precedents and not self.missing:
            return [*lines, "No request was admitted in between."]
        counts = Counter(precedent.rule for precedent in self.precedents)
        total = len(self.precedents) + self.missing
        lines.append(f"{total} requests were admitted in between:")
        lines.extend(f"- {counts[rule]}: {_RULES[rule]}" for rule in sorted(counts))
        if self.missing:
            lines.append(f"- {self.missing}: unknown, their records are gone")
        for precedent in self.precedents[-_LISTED_AT_MOST:]:
            lead = (precedent.granted - record.arrived) * 1000
            after = (precedent.arrived - record.arrived) * 1000
            lines.append(
                f"  {precedent.kind.value} of {precedent.caller},"
                f" arrived {after:+.1f} ms, admitted {lead:+.1f} ms:"
                f" {_RULES[precedent.rule]}"
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
    """Explain a request by its attempts, oldest first; none if no record is left."""

    request_id: str
    attempts: tuple[Attempt, ...]
    capacity: int

    def text(self) -> str:
        """Return the explanation in sentences, one a line."""
        if not self.attempts:
            return (
                f"No record of {self.request_id} is left: this proxy never queued it,"
                f" or {self.capacity} newer ones have replaced it."
            )
        return "\n".join(attempt.text() for attempt in self.attempts)


def explain(
    records: AdmissionRecords, request_id: str, is_operator: bool
) -> Explanation:
    """Explain a request; only operators see other callers' names."""
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
    precedents = tuple(_precedent(other, record, is_operator) for other in between)
    missing = grant.number - grant.seen - 1 - len(precedents)
    return Attempt(record, grant.granted - grant.arrived, precedents, missing)


def _precedent(
    other: AdmissionRecord, record: AdmissionRecord, is_operator: bool
) -> Precedent:
    assert other.grant is not None and record.grant is not None
    own = record.ticket.caller
    is_named = is_operator or other.ticket.caller == own
    return Precedent(
        caller=other.ticket.caller if is_named else _HIDDEN_CALLER,
        kind=other.ticket.kind,
        rule=rule_between(other.grant, record.grant),
        arrived=other.arrived,
        granted=other.grant.granted,
    )
