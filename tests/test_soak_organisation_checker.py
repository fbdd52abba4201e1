"""Tests of the soak's checker of organisations: it finds what breaks each rule."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from tests.soak_connection_record import Startup
from tests.soak_organisation_checker import REVOCATION_SECONDS, OrganisationChecker
from tests.soak_statement_checker import Answer, StatementChecker

KEY = "key-of-acme"
OWN, HOLDER = "127.0.0.1", "127.0.0.2"
DATABASE = "d"


class OrganisationCheckerTest(unittest.TestCase):
    """A checker that misses a broken rule would let the soak pass."""

    def setUp(self) -> None:
        """Let a proxy forward a caller's statements to a holder."""
        self.found: list[str] = []
        self.statements = StatementChecker(self.found.append)
        self.checker = OrganisationChecker(self.statements, {KEY: "acme"})
        self.connections = self.statements.connections
        self.session = self.statements.open_session("caller", KEY)
        self.session.proxy = OWN
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = Path(folder.name) / "log"
        self.log.write_text("started", "utf-8")
        self.now = 100.0
        clock = mock.patch("time.monotonic", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)

    def connect(self, number: int, source: str, identity: str = "acme") -> None:
        """Open a connection to the database."""
        line = f"STARTUP orders-db {identity}"
        self.connections.lines.add(line)
        self.connections.add(number, Startup(DATABASE, source, identity, line))

    def run_statement(self, connection: int = 1) -> None:
        """Run a statement of the caller, which is answered."""
        sent = self.session.send("a", "READ item")
        sent.answer = Answer("COMPLETE", "s", "I")
        self.connections.record_run("a", connection, DATABASE, is_primary=True)

    def finish(self) -> list[str]:
        """Return the names of the rules that are found to be broken."""
        self.checker.finish({"front": self.log})
        return [each.split()[0] for each in self.found]

    def test_forwarded_statement_breaks_no_rule(self) -> None:
        self.connect(1, HOLDER)
        self.run_statement()
        self.assertEqual(self.finish(), [])
        self.assertEqual(dict(self.checker.forwarded), {OWN: 1})

    def test_statement_is_not_forwarded_if_its_proxy_is_connected(self) -> None:
        self.connect(1, HOLDER)
        self.connect(2, OWN)
        self.run_statement()
        self.assertEqual(self.finish(), ["UNFORWARDED"])

    def test_connection_of_another_organisation_is_found(self) -> None:
        self.connect(1, HOLDER, "bolt")
        self.run_statement()
        self.assertEqual(self.finish(), ["FOREIGN"])

    def test_statement_of_a_removed_key_is_found_after_the_bound(self) -> None:
        self.connect(1, HOLDER)
        self.checker.record_removal(KEY)
        self.now += REVOCATION_SECONDS + 0.1
        self.run_statement()
        self.assertEqual(self.finish(), ["REVOKED"])

    def test_statement_of_a_removed_key_may_run_within_the_bound(self) -> None:
        self.connect(1, HOLDER)
        self.checker.record_removal(KEY)
        self.now += REVOCATION_SECONDS - 0.1
        self.run_statement()
        self.assertEqual(self.finish(), [])

    def test_key_that_was_added_again_may_be_used(self) -> None:
        self.connect(1, HOLDER)
        self.checker.record_removal(KEY)
        self.now += REVOCATION_SECONDS + 1.0
        self.checker.record_addition(KEY)
        self.now += 0.1
        self.run_statement()
        self.assertEqual(self.finish(), [])

    def test_key_in_a_log_or_a_startup_is_found(self) -> None:
        self.connect(1, HOLDER)
        self.run_statement()
        self.connections.lines.add(f"STARTUP orders-db {KEY}")
        self.log.write_text(f"denied {KEY}", "utf-8")
        self.assertEqual(self.finish(), ["LEAKED", "LEAKED"])

    def test_connection_above_the_cap_is_found(self) -> None:
        self.connections.max_connections = 1
        self.connect(1, HOLDER)
        self.connections.remove(1)
        self.connect(2, HOLDER)
        self.connect(3, HOLDER)
        self.run_statement(2)
        self.assertEqual(self.finish(), ["OVERCAP"])
