"""Checks of what callers, databases and the platform of a soak see."""

import asyncio
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from tests.soak_database import Commit, SoakDatabase
from tests.soak_record import Record
from tests.soak_statement_checker import StatementChecker


@dataclass
class Findings:
    """What must not happen, one text each, and counts of what did happen.

    `lost` are reported commits that a promoted log lacks, `replaced` those that a
    replaced primary has acknowledged, `kept` those that are in the log although the
    caller was promised that nothing is kept, `twice` those that are in it twice.
    `tokens` are promotion calls with a wrong fencing token, `unserved` proxies that
    serve no write at the end. `statements` are findings of the `StatementChecker`,
    each with the name of its rule.
    """

    lost: list[str] = field(default_factory=list)
    replaced: list[str] = field(default_factory=list)
    kept: list[str] = field(default_factory=list)
    twice: list[str] = field(default_factory=list)
    tokens: list[str] = field(default_factory=list)
    unserved: list[str] = field(default_factory=list)
    statements: list[str] = field(default_factory=list)
    reported: int = 0
    promotions: int = 0

    def texts(self) -> list[str]:
        """Return all findings, with the name of the check before each."""
        checks = {
            "LOST": self.lost,
            "REPLACED": self.replaced,
            "KEPT": self.kept,
            "TWICE": self.twice,
            "TOKEN": self.tokens,
            "UNSERVED": self.unserved,
        }
        texts = [f"{name} {each}" for name, found in checks.items() for each in found]
        return texts + self.statements

    def losses(self) -> list[str]:
        """Return the findings that tell of callers who were refused in calm times."""
        return [each for each in self.statements if each.startswith("HURT ")]

    def outages(self) -> list[str]:
        """Return the findings that tell of proxies which serve no write."""
        return [f"UNSERVED {each}" for each in self.unserved]


@dataclass(frozen=True, slots=True)
class _Reported:
    """A commit that a proxy has reported as done."""

    at: float
    proxy: str


class Checker:
    """Finds reported commits that are lost, and other faults."""

    def __init__(self, record: Record) -> None:
        """Check a group that `watch` names later."""
        self.findings = Findings()
        self.statements = StatementChecker(self._find_statement)
        self._record = record
        self._leader = SoakDatabase("", "", "")
        self._promoted_at = 0.0
        self._committed: dict[str, tuple[float, int]] = {}
        self._reported: dict[str, _Reported] = {}
        self._promised: set[str] = set()
        self._newest_call = ("", 0)
        self._awaited: set[str] = set()
        self._has_all = asyncio.Event()

    async def wait_for_reports(self, proxies: Iterable[str], seconds: float) -> None:
        """Wait until each proxy has reported a commit; find those that do not."""
        self._awaited = set(proxies)
        self._has_all.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._has_all.wait()
        except TimeoutError:
            for name in sorted(self._awaited):
                text = f"{name} serves no write for {seconds:.0f} s"
                self._find(self.findings.unserved, "UNSERVED", text)

    def watch(self, leader: SoakDatabase) -> None:
        """Begin with a first leader."""
        self._leader = leader

    def record_commit(self, commit: Commit) -> None:
        """Record that a primary acknowledges a commit."""
        self._committed[commit.identifier] = (time.monotonic(), commit.term)

    def record_call(self, holder: str, token: int) -> None:
        """Record a promotion call."""
        newest_holder, newest = self._newest_call
        if token < newest or (token == newest and holder != newest_holder):
            text = f"{holder} calls with {token} after {newest_holder} with {newest}"
            self._find(self.findings.tokens, "TOKEN", text)
        self._newest_call = max(self._newest_call, (holder, token), key=_token)

    def record_promotion(self, database: SoakDatabase) -> None:
        """Record that a promotion takes effect."""
        self.findings.promotions += 1
        self._promoted_at = time.monotonic()
        self._leader = database
        self._check_log(f"at promotion of {database.describe()}")

    def record_report(self, identifier: str, proxy: str) -> None:
        """Record that a proxy reports a commit as done."""
        self.findings.reported += 1
        self._awaited.discard(proxy)
        if not self._awaited:
            self._has_all.set()
        self._reported[identifier] = _Reported(time.monotonic(), proxy)
        if identifier in self._leader.identifiers:
            return
        del self._reported[identifier]
        at, term = self._committed.get(identifier, (0.0, 0))
        text = f"{identifier} of term {term}, reported by {proxy} after the promotion"
        if at > self._promoted_at:
            self._find(self.findings.replaced, "REPLACED", text)
        else:
            self._find(self.findings.lost, "LOST", text)

    def record_promise(self, identifier: str) -> None:
        """Record that a caller is promised that nothing of a commit is kept."""
        self._promised.add(identifier)

    def finish(self) -> None:
        """Check the log of the leader at the end, and the statements that ran."""
        self.statements.finish()
        self._check_log("at the end")
        seen: set[str] = set()
        for commit in self._leader.log:
            identifier = commit.identifier
            if identifier in seen:
                self._find(self.findings.twice, "TWICE", identifier)
            if identifier in self._promised:
                self._find(self.findings.kept, "KEPT", identifier)
            seen.add(identifier)

    def _check_log(self, moment: str) -> None:
        held = self._leader.identifiers
        for identifier in [each for each in self._reported if each not in held]:
            reported = self._reported.pop(identifier)
            ago = time.monotonic() - reported.at
            text = f"{identifier}, reported by {reported.proxy} {ago:.3f} s ago"
            self._find(self.findings.lost, "LOST", f"{text}, {moment}")

    def _find_statement(self, text: str) -> None:
        self.findings.statements.append(text)
        self._record.add(text)

    def _find(self, found: list[str], name: str, text: str) -> None:
        found.append(text)
        self._record.add(f"{name} {text}")


def _token(call: tuple[str, int]) -> int:
    return call[1]
