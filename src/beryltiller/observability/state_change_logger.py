"""Logs and metrics of changes of the members, terms and promotions."""

import time
from collections.abc import Callable

from beryltiller.membership.members import Member, Members
from beryltiller.observability import events, logs
from beryltiller.observability.metrics import Counter, Gauge, Metrics, Timer
from beryltiller.primaries.evidence import Evidence
from beryltiller.primaries.term_actions import ReportPromotion


class StateChangeLogger:
    """A logger of what differs between each new snapshot and the one before."""

    def __init__(
        self,
        metrics: Metrics,
        log: Callable[[logs.Event], None] = logs.log,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without a snapshot, so that everything in the first one is logged."""
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._terms: dict[str, tuple[int, str]] = {}
        self._promotions: dict[tuple[str, int], float] = {}

    def log_members(self, members: Members) -> None:
        """Log the members that joined or left, and set the gauge of live ones."""
        live_members = {member.address: member for member in members.live}
        for address, member in live_members.items():
            if address not in self._members and member is not members.me:
                joined = events.MemberUp(
                    member.name, member.availability_zone, member.incarnation
                )
                self._log(joined)
        for address, member in self._members.items():
            if address not in live_members:
                left = events.MemberDown(member.name, member.availability_zone, "gone")
                self._log(left)
        self._members = live_members
        self._metrics.set_gauge(Gauge.MEMBERS_UP, len(live_members))

    def log_terms(self, evidence: Evidence) -> None:
        """Log each group whose term, or the state of its term, changed."""
        for group, known in evidence.known_rows.items():
            row = known.row
            current = (row.term, row.state.value)
            if self._terms.get(group) != current:
                self._terms[group] = current
                changed = events.TermChanged(group, row.term, row.primary, current[1])
                self._log(changed)

    def log_promotion(self, report: ReportPromotion) -> None:
        """Log, count and time a promotion that this proxy carries out.

        The first report of a promotion starts it; one with step `done` or `abandoned`
        ends it.
        """
        now = self._clock()
        key = (report.group, report.term)
        if key not in self._promotions:
            self._promotions[key] = now
            self._metrics.count(Counter.PROMOTIONS_STARTED)
            started = events.PromotionStarted(report.group, report.term, report.step)
            self._log(started)
        if report.step in ("done", "abandoned"):
            seconds = now - self._promotions.pop(key)
            is_opened = report.step == "done"
            if is_opened:
                self._metrics.count(Counter.PROMOTIONS_OPENED)
                self._metrics.observe(Timer.PROMOTION, seconds)
            primary = "" if not is_opened else "opened"
            ended = events.PromotionEnded(
                report.group, report.term, primary, report.step, seconds
            )
            self._log(ended)
