"""Observe databases: poll their status, and record how statements ended at them."""

import asyncio
import math
import time
from collections.abc import Callable

from beryltiller.consistency.attempts import Answered, Lost, Refused, Result
from beryltiller.consistency.session import Planner
from beryltiller.core.ports import (
    EndpointStatus,
    LostAnswerError,
    PortError,
    RefusedError,
)
from beryltiller.dispatching.databases import ConfiguredDatabase, Databases
from beryltiller.membership.draining import LeavingReport
from beryltiller.primaries.term_events import DatabaseObserved, Observation

# The age of each database's last status is checked at the interval; a new status is
# requested at the maximum age. Statuses that the terms part requests count as well.
STATUS_INTERVAL_SECONDS = 0.25
MAX_STATUS_AGE_SECONDS = 0.7
STATUS_TIMEOUT_SECONDS = 0.5
ANSWER_REPORT_INTERVAL_SECONDS = 0.2

SendEvent = Callable[[str, object], None]

TERMS_PART = "terms"
DRAINING_PART = "draining"


class DatabaseObserver:
    """Passes observations of databases to the planner and to the control parts."""

    def __init__(
        self,
        planner: Planner,
        databases: Databases,
        send_event: SendEvent,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Set the receivers of observations.

        `send_event` sends an event to a part by name. `clock` is monotonic, in seconds.
        `on_unresponsive`, which the owner may set, is called with the name of a
        database that did not answer a status request.
        """
        self._planner = planner
        self._databases = databases
        self._send_event = send_event
        self._clock = clock
        self._answer_reported_at: dict[str, float] = {}
        self._status_asked_at: dict[str, float] = {}
        self.on_unresponsive: Callable[[str], None] = lambda database: None

    def record_result(self, group: str, database: str, result: Result) -> None:
        """Record what a statement's result shows about its database.

        A refusal shows nothing unless its code is `leaving`, `unreachable` or
        `no-connection`.
        """
        match result:
            case Answered():
                self._record_answer(group, database)
            case Refused("leaving"):
                now = self._clock()
                self._send_event(DRAINING_PART, LeavingReport(database, True, now))
            case Refused("unreachable" | "no-connection"):
                self._record(group, database, Observation.UNREACHABLE)
            case Lost():
                self._record(group, database, Observation.TIMEOUT)

    async def poll(self) -> None:
        """Request the status of each database that this proxy connects to, forever.

        The state of other databases is known from the answers to forwarded statements
        and from gossip, so that not every proxy polls every database.
        """
        while True:
            databases = [
                connected.configured for connected in self._databases.connected.values()
            ]
            due = [
                configured for configured in databases if self._is_due(configured.name)
            ]
            await asyncio.gather(
                *(self._request_status(configured) for configured in due)
            )
            await asyncio.sleep(STATUS_INTERVAL_SECONDS)

    def record_status(
        self, group: str, status: EndpointStatus, asked_at: float
    ) -> None:
        """Record a database's status, which `poll` or the terms part requested."""
        name = status.database
        self._status_asked_at[name] = asked_at
        self._record_answer(group, name)
        if self._planner.group(group) is not None:
            self._planner.record_status(group, status, asked_at, self._clock())
        self._send_event(
            DRAINING_PART, LeavingReport(name, status.is_leaving, asked_at)
        )

    def _is_due(self, database: str) -> bool:
        asked_at = self._status_asked_at.get(database, -math.inf)
        return self._clock() - asked_at >= MAX_STATUS_AGE_SECONDS

    async def _request_status(self, configured: ConfiguredDatabase) -> None:
        name = configured.name
        asked_at = self._clock()
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
                status = await configured.endpoint.status()
        except RefusedError as error:
            if error.code == "unreachable":
                self._record(configured.group, name, Observation.UNREACHABLE)
            return
        except (LostAnswerError, PortError, TimeoutError):
            self._record(configured.group, name, Observation.TIMEOUT)
            self.on_unresponsive(name)
            return
        self.record_status(configured.group, status, asked_at)

    def _record_answer(self, group: str, database: str) -> None:
        """Report that a database answered, at most once in the report interval."""
        now = self._clock()
        last = self._answer_reported_at.get(database, 0.0)
        if now - last < ANSWER_REPORT_INTERVAL_SECONDS:
            return
        self._answer_reported_at[database] = now
        self._record(group, database, Observation.ANSWERED)

    def _record(self, group: str, database: str, observation: Observation) -> None:
        if observation is not Observation.ANSWERED:
            # The next answer is then reported at once.
            self._answer_reported_at.pop(database, None)
        is_reachable = observation is Observation.ANSWERED
        if self._planner.group(group) is not None:
            self._planner.record_reachability(group, database, is_reachable)
        self._send_event(TERMS_PART, DatabaseObserved(group, database, observation))
