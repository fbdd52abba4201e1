"""Log changes of state and count what control does."""

import time
from collections.abc import Callable

from beryltiller.membership.members import Member, Members
from beryltiller.observability import logs
from beryltiller.observability.metrics import Counter, Gauge, Metrics, Timer
from beryltiller.primaries.evidence import Evidence
from beryltiller.primaries.term_actions import ReportPromotion


class Announcer:
    """Compare each new snapshot with the last one, and log what differs."""

    def __init__(
        self,
        metrics: Metrics,
        log: Callable[[logs.Event], None] = logs.log,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with nothing known."""
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._terms: dict[str, tuple[int, str]] = {}
        self._promotions: dict[tuple[str, int], float] = {}

    def members(self, members: Members) -> None:
        """Log members that came up or went down."""
        live = {member.address: member for member in members.live}
        for address, member in live.items():
            if address not in self._members and member is not members.me:
                up = logs.MemberUp(
                    member.name, member.availability_zone, member.incarnation
                )
                self._log(up)
        for address, member in self._members.items():
            if address not in live:
                down = logs.MemberDown(member.name, member.availability_zone, "gone")
                self._log(down)
        self._members = live
        self._metrics.gauge(Gauge.MEMBERS_UP, len(live))

    def evidence(self, evidence: Evidence) -> None:
        """Log groups whose term or its state changed."""
        for group, known in evidence.known_rows.items():
            row = known.row
            seen = (row.term, row.state.value)
            if self._terms.get(group) != seen:
                self._terms[group] = seen
                changed = logs.TermChanged(group, row.term, row.primary, seen[1])
                self._log(changed)

    def promotion(self, report: ReportPromotion) -> None:
        """Log and count the beginning and the end of a promotion."""
        now = self._clock()
        key = (report.group, report.term)
        if key not in self._promotions:
            self._promotions[key] = now
            self._metrics.count(Counter.PROMOTIONS)
            started = logs.PromotionStarted(report.group, report.term, report.step)
            self._log(started)
        if report.step in ("done", "abandoned"):
            seconds = now - self._promotions.pop(key)
            is_opened = report.step == "done"
            if is_opened:
                self._metrics.count(Counter.PROMOTIONS_OPENED)
                self._metrics.observe(Timer.PROMOTION, seconds)
            primary = "" if not is_opened else "opened"
            ended = logs.PromotionEnded(
                report.group, report.term, primary, report.step, seconds
            )
            self._log(ended)
