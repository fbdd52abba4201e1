"""The log of set-ups of sessions' state that databases refuse."""

from beryltiller.observability import logs, session_events
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.databases.member import NEVER
from beryltiller.sessions.errors import SetUpRefusedError

# A caller can have a set-up refused with each of its statements.
LOG_INTERVAL_SECONDS = 1.0


class SetUpRefusalLog:
    """Logs one refusal in each interval, with the number of those since the last."""

    def __init__(self) -> None:
        """Create a log without refusals."""
        self._refusals = 0
        self._logged_at = NEVER

    def record(self, database: Database, error: SetUpRefusedError, now: float) -> None:
        """Log a refusal by a database, or only count it."""
        self._refusals += 1
        if now < self._logged_at + LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        logs.log(
            session_events.SetUpRefused(
                database.service,
                database.identifier,
                error.statement,
                error.refusal,
                error.values,
                error.prepared,
                self._refusals,
            )
        )
        self._refusals = 0
