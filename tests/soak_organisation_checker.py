"""Checks of organisations, keys and forwarding in a soak.

The rules are FOREIGN (a statement ran on a connection of another organisation),
REVOKED (a statement of a key ran more than 5 s after the key was removed), LEAKED (a
key is in a log or reached a database), OVERCAP (a database had more connections than it
accepts) and UNFORWARDED (no proxy served its callers without a connection to the
primary).
"""

import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from tests.soak_connection_record import RunPlace
from tests.soak_statement_checker import Sent, SentSession, StatementChecker

# `revocation_ms` of the settings.
REVOCATION_SECONDS = 5.0
COMPLETE = "COMPLETE"


@dataclass(frozen=True, slots=True)
class Removal:
    """A time during which the configuration lacked a key."""

    key: str
    since: float
    until: float = float("inf")

    def forbids(self, key: str, at: float) -> bool:
        """Return True if no statement of `key` may run at a time."""
        return key == self.key and self.since + REVOCATION_SECONDS < at < self.until


class OrganisationChecker:
    """Compares the places at which statements ran with the keys of their callers."""

    def __init__(
        self, statements: StatementChecker, organisations: Mapping[str, str]
    ) -> None:
        """Check the runs of `statements`; `organisations` has the name for each key."""
        # How many answered statements ran at a primary without a connection of the
        # caller's own proxy, by the address of that proxy.
        self.forwarded: Counter[str] = Counter()
        self._statements = statements
        self._organisations = organisations
        self._removed: dict[str, float] = {}
        self._removals: list[Removal] = []

    def record_removal(self, key: str) -> None:
        """Record that a configuration without a key has just been written."""
        self._removed[key] = time.monotonic()

    def record_addition(self, key: str) -> None:
        """Record that a configuration with a removed key is about to be written."""
        since = self._removed.pop(key)
        self._removals.append(Removal(key, since, time.monotonic()))

    async def has_forwarded(self) -> bool:
        """Return True if a proxy without a connection to the primary served callers."""
        return any(_is_forwarded(*each) for each in self._runs())

    def finish(self, logs: Mapping[str, Path]) -> None:
        """Check all runs, and the proxies' `logs`, by the name of the proxy."""
        for key, since in self._removed.items():
            self._removals.append(Removal(key, since))
        for place, session, sent in self._runs():
            self._check(place, session, sent)
            if _is_forwarded(place, session, sent):
                self.forwarded[session.proxy] += 1
        if not self.forwarded:
            self._statements.find(
                "UNFORWARDED each proxy that served had a connection to the primary"
            )
        self._check_texts(logs)

    def _check(self, place: RunPlace, session: SentSession, sent: Sent) -> None:
        organisation = self._organisations[session.key]
        startup = self._statements.connections.startups[place.connection]
        what = f"{sent.identifier!r} {sent.text[:80]!r} of {organisation}"
        if startup.identity != organisation:
            self._statements.find(f"FOREIGN {what} ran on {startup}")
        for removal in self._removals:
            if removal.forbids(session.key, place.at):
                late = place.at - removal.since
                self._statements.find(
                    f"REVOKED {what} ran {late:.3f} s after its key was removed,"
                    f" sent to {session.proxy}, from {startup.source}"
                )

    def _runs(self) -> list[tuple[RunPlace, SentSession, Sent]]:
        """Return the place of each run, with the statement and its session.

        Statements that nobody sent are findings of the statement checker.
        """
        sent = {
            each.identifier: (session, each)
            for session in self._statements.sessions
            for each in session.sent
        }
        places = self._statements.connections.places
        return [
            (each, *sent[each.identifier]) for each in places if each.identifier in sent
        ]

    def _check_texts(self, logs: Mapping[str, Path]) -> None:
        startups = "\n".join(self._statements.connections.lines)
        texts = {"a STARTUP to a database": startups}
        for name, path in logs.items():
            texts[f"the log of {name}"] = path.read_text("utf-8", errors="replace")
        for where, text in texts.items():
            for key, organisation in self._organisations.items():
                if key in text:
                    self._statements.find(f"LEAKED a key of {organisation} in {where}")


def _is_forwarded(place: RunPlace, session: SentSession, sent: Sent) -> bool:
    """Return True if a statement was served, though its proxy was not connected."""
    is_served = sent.answer is not None and sent.answer.word == COMPLETE
    return is_served and place.is_primary and session.proxy not in place.sources
