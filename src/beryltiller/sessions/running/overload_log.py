"""The log of databases whose queue refuses statements, once per change of state."""

from dataclasses import dataclass

from beryltiller.observability import limit_events, logs
from beryltiller.sessions.databases.catalog import Database

# An overload has ended once no statement was refused for this long.
QUIET_SECONDS = 2.0


@dataclass(slots=True)
class _Overload:
    began_at: float
    refused_at: float
    refused_at_once: int = 0
    timed_out: int = 0


class OverloadLog:
    """Logs when a database's queue begins to refuse statements, and when it stops."""

    def __init__(self) -> None:
        """Create a log without overloads."""
        self._overloads: dict[str, _Overload] = {}

    def record_refusal(self, database: Database, is_at_once: bool, now: float) -> None:
        """Record a refusal, at once by an estimate or after a wait."""
        overload = self._overloads.get(database.identifier)
        if overload is None:
            overload = _Overload(now, now)
            self._overloads[database.identifier] = overload
            logs.log(limit_events.OverloadBegan(database.service, database.identifier))
        overload.refused_at = now
        overload.refused_at_once += is_at_once
        overload.timed_out += not is_at_once

    def record_admission(self, database: Database, now: float) -> None:
        """Record that a statement was admitted, which may show that it has ended."""
        if not self._overloads:
            return
        overload = self._overloads.get(database.identifier)
        if overload is None or now < overload.refused_at + QUIET_SECONDS:
            return
        del self._overloads[database.identifier]
        logs.log(
            limit_events.OverloadEnded(
                database.service,
                database.identifier,
                overload.refused_at - overload.began_at,
                overload.refused_at_once,
                overload.timed_out,
            )
        )
