"""The log line of the commits that this proxy reported before a change of primary."""

import math
import sys
from collections.abc import Iterable
from enum import Enum, unique

from beryltiller.observability import logs, session_events
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.report_history import Receipt, Report

_SEPARATOR = "; "


@unique
class Noticed(Enum):
    """How this proxy noticed a change of a group's primary."""

    LEADER = "leader changed"
    ANNOUNCED = "change announced"
    OBJECTED = "objected to a change"


def log_reports(fleet: Fleet, service: str, noticed: Noticed, now: float) -> None:
    """Write the reports before a change, unless they were written or there are none."""
    history = fleet.receipts.reports.of(service)
    reports = history.take(_replaced_term(fleet.group(service), noticed), now)
    if reports:
        logs.log(
            session_events.ReceiptsBeforeChange(
                service,
                noticed.value,
                fleet.group(service).term,
                history.total,
                joined(report_text(each, now) for each in reports),
            )
        )


def _replaced_term(group: Group, noticed: Noticed) -> int:
    """Return the newest term that a change which is noticed now may replace."""
    leader = group.leader
    if noticed is not Noticed.LEADER or leader is None:
        return group.term
    term = leader.reported_primary_term
    return term - 1 if term else group.term


def joined(texts: Iterable[str], limit: int = logs.MAX_FIELD_CHARACTERS) -> str:
    """Return the first texts that together fit into a field, none of them cut.

    >>> joined(("ab", "cd", "ef"), limit=7)
    'ab; cd'
    """
    kept: list[str] = []
    length = 0
    for text in texts:
        length += len(text) + (len(_SEPARATOR) if kept else 0)
        if length > limit:
            break
        kept.append(text)
    return _SEPARATOR.join(kept)


def report_text(report: Report, now: float) -> str:
    """Return a report as a line tells it: its own age, and the ages it had then."""
    at = report.reported_at
    receipts = " and ".join(_receipt_text(each, at) for each in report.receipts)
    announced = f"announcements {_age_text(at - report.announced_at)}"
    if report.announced_revision != sys.maxsize:
        announced += f" to revision {report.announced_revision}"
    age = _age_text(now - at)
    return f"{report.position} {age} ago: {receipts or 'none left'}, {announced}"


def _receipt_text(receipt: Receipt, at: float) -> str:
    draining = " draining" if receipt.is_draining else ""
    age = _age_text(at - receipt.connected_at)
    name = f"{receipt.replica}/{receipt.incarnation}"
    return f"{name}{draining} to {receipt.shown} connected {age}"


def _age_text(seconds: float) -> str:
    return f"{seconds:.3f} s" if math.isfinite(seconds) else "unknown"
