"""Checks of the statements that a soak's databases run against what callers sent.

The rules are PINNED (another shape, other values, another transaction or connection),
UNASKED (a statement that nobody sent, or with changed text) and MIXED (an answer that
is not the database's). Besides, HURT is a caller who keeps to the rules and was refused
in calm times, and OVERLONG a message that is too long for a database.

All is recorded while the soak runs and checked at its end: a statement's values depend
on how those before it were answered.
"""

import time
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from tests.page_reader import (
    Prepared,
    Query,
    SessionState,
    UnreadableError,
    read_statement,
)
from tests.soak_connection_record import ConnectionRecord

# What callers give as their key where there are no organisations.
DEFAULT_KEY = "soak"
# The identifier of statements that the system issues itself.
SYSTEM = "-"
# A delay of the soak's event loop from which on a caller's loss is told with it, and
# for how long.
NOTED_DELAY_SECONDS = 0.05
# All databases are silent while the event loop is late. Proxies take a database for
# silent after this long, and refuse statements then.
SILENCE_SECONDS = 0.25
DELAY_MEMORY_SECONDS = 1.5
MAX_DELAYS = 100
RUNNING_WORDS = frozenset({"READ", "WRITE", "EXECUTE", "COMMIT"})


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer: its word, the code or signature, the state, and the rows."""

    word: str
    text: str
    state: str
    rows: tuple[str, ...] = ()

    @property
    def code(self) -> str:
        """Return the code of an error, or ''."""
        return self.text.partition(" ")[0] if self.word == "ERROR" else ""


@dataclass(slots=True)
class Sent:
    """A statement that a caller has sent, and its answer if it has arrived."""

    identifier: str
    text: str
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class Ran:
    """A read, write, executed statement or commit that a database ran.

    `transaction` numbers the transactions of a connection; 0 is outside of any.
    """

    identifier: str
    text: str
    signature: str
    rows: tuple[str, ...]
    connection: int
    transaction: int
    values: dict[str, str]
    prepared: Prepared | None = None


@dataclass
class SentSession:
    """What a caller sent on one connection, in order.

    `key` is that of its startup, and `proxy` the IP address that it connected to.
    """

    caller: str
    key: str = DEFAULT_KEY
    proxy: str = ""
    sent: list[Sent] = field(default_factory=list)

    def send(self, identifier: str, text: str) -> Sent:
        """Record a statement that is about to be sent."""
        sent = Sent(identifier, text)
        self.sent.append(sent)
        return sent


class StatementChecker:
    """Records what callers sent and databases ran, and compares them at the end."""

    def __init__(self, find: Callable[[str], None]) -> None:
        """Report each finding, which begins with the name of its rule, to `find`."""
        self.find = find
        # Whether a caller who keeps to the rules may lose nothing at present.
        self.is_calm = False
        # When the soak itself was late, and by how much.
        self._delays: deque[tuple[float, float]] = deque(maxlen=MAX_DELAYS)
        # How many statements of each word ran, and how answers ended.
        self.ran_words: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        # What each connection of a database received, with the state before it.
        self.lines: defaultdict[int, list[str]] = defaultdict(list)
        self.connections = ConnectionRecord(find)
        self.sessions: list[SentSession] = []
        self._ran: defaultdict[str, list[Ran]] = defaultdict(list)
        self._transactions: dict[tuple[int, int], tuple[int, int]] = {}
        self._suspects: set[int] = set()
        self._places: dict[tuple[int, int], tuple[int, int]] = {}

    def open_session(self, caller: str, key: str = DEFAULT_KEY) -> SentSession:
        """Return the record of a new session of a caller."""
        session = SentSession(caller, key)
        self.sessions.append(session)
        return session

    def record_run(self, ran: Ran) -> None:
        """Record a statement that a database ran."""
        self.ran_words[ran.text.partition(" ")[0]] += 1
        self._ran[ran.identifier].append(ran)

    def record_overlong_line(self) -> None:
        """Record that a database got a line that is longer than the page allows."""
        self.find("OVERLONG a line of more than 1 MiB reached a database")

    def record_loss(self, caller: str, what: str) -> None:
        """Record that a caller who keeps to the rules was refused or cut off.

        It is a finding in calm times, unless the soak's databases were silent.
        """
        if not self.is_calm:
            return
        since = time.monotonic() - DELAY_MEMORY_SECONDS
        delay = max((late for at, late in self._delays if at > since), default=0.0)
        if delay >= SILENCE_SECONDS:
            return
        self.find(f"HURT {caller}: {what} (soak late by {delay:.2f} s)")

    def record_delay(self, seconds: float) -> None:
        """Record that the soak's event loop was late."""
        if seconds > NOTED_DELAY_SECONDS:
            self._delays.append((time.monotonic(), seconds))

    def record_line(self, connection: int, state: str, query: Query) -> None:
        """Record what a connection of a database received, and in which state."""
        text = f"{state} {query.identifier!r} {query.text[:60]!r}"
        self.lines[connection].append(f"{time.time():.3f} {text}")

    def write_lines(self, path: Path) -> None:
        """Write what was received on the connections that findings name."""
        path.write_text(
            "\n".join(
                f"{number} {line}"
                for number in sorted(self._suspects)
                for line in self.lines[number]
            ),
            "utf-8",
        )

    def finish(self) -> None:
        """Check all that was recorded."""
        unasked = dict(self._ran)
        for number, session in enumerate(self.sessions):
            walk = _Walk(self, number)
            for sent in session.sent:
                is_named = sent.identifier not in ("", SYSTEM)
                runs = unasked.pop(sent.identifier, []) if is_named else []
                walk.check(sent, runs)
        for each in unasked.values():
            for ran in each:
                self.find(f"UNASKED nobody sent {ran.identifier!r} {ran.text[:80]!r}")

    def suspect(self, connection: int) -> None:
        """Note that a statement has broken a rule on a connection."""
        self._suspects.add(connection)

    def is_in_its_place(self, transaction: tuple[int, int], ran: Ran) -> bool:
        """Return True if a transaction's statement ran where the others of it did."""
        place = (ran.connection, ran.transaction)
        is_alone = self._transactions.setdefault(place, transaction) == transaction
        return is_alone and self._places.setdefault(transaction, place) == place


class _Walk:
    """A walk through one session's statements, with the state that each meets."""

    def __init__(self, checker: StatementChecker, session: int) -> None:
        self._checker = checker
        self._session = session
        self._statements = 0
        self._held = SessionState()
        self._state = "I"
        self._transaction = 0

    def check(self, sent: Sent, runs: list[Ran]) -> None:
        """Check the next statement and what databases ran for it."""
        self._statements += 1
        query = _read(sent)
        for ran in runs:
            broken = self._broken_rule(sent, query, ran)
            if broken:
                self._checker.suspect(ran.connection)
                self._find(broken, sent, f"ran {ran}"[:600])
        self._check_answer(sent, query, runs)
        self._follow(sent, query)

    def _broken_rule(self, sent: Sent, query: Query, ran: Ran) -> str:
        """Return the rule that a run breaks and how, or ''."""
        if not _is_text_of(sent, ran):
            return "UNASKED with changed text"
        if ran.prepared != self._prepared(query):
            return "PINNED with another shape"
        if ran.values != self._held.values:
            return f"PINNED with other values than {self._held.values}"
        if self._state == "E":
            return "PINNED in a transaction that has failed"
        if self._state == "I":
            return "PINNED inside a transaction" if ran.transaction else ""
        key = (self._session, self._transaction)
        if not ran.transaction or not self._checker.is_in_its_place(key, ran):
            return "PINNED outside its transaction or inside another's"
        return ""

    def _prepared(self, query: Query) -> Prepared | None:
        is_execute = query.word == "EXECUTE"
        return self._held.prepared.get(query.fields[0]) if is_execute else None

    def _check_answer(self, sent: Sent, query: Query, runs: list[Ran]) -> None:
        answer = sent.answer
        if answer is None:
            return
        self._checker.answers[answer.code or answer.word] += 1
        if answer.code == "NOSUCHSTMT" and self._prepared(query):
            self._find("PINNED unknown though prepared", sent, "")
        word = sent.text.partition(" ")[0]
        if answer.word != "COMPLETE" or word not in RUNNING_WORDS:
            return
        if (answer.text, answer.rows) not in [
            (each.signature, each.rows) for each in runs
        ]:
            self._find("MIXED", sent, f"answered {answer}, ran {runs}"[:600])

    def _follow(self, sent: Sent, query: Query) -> None:
        """Follow the statement's effect on the session.

        One without an answer counts as having succeeded.
        """
        is_refused = sent.answer is not None and sent.answer.word != "COMPLETE"
        before = self._state
        if not is_refused and before != "E":
            self._held.apply(query)
        if sent.answer is not None:
            self._state = sent.answer.state
        elif query.word == "BEGIN" and before == "I":
            self._state = "T"
        elif query.word in ("COMMIT", "ROLLBACK"):
            self._state = "I"
        if before == "I" and self._state != "I":
            self._transaction = self._statements

    def _find(self, rule: str, sent: Sent, details: str) -> None:
        text = f"{rule}: {sent.identifier!r} {sent.text[:200]!r} {details}"
        self._checker.find(text)


def _read(sent: Sent) -> Query:
    """Return a caller's statement; one that does not follow the page has no word."""
    try:
        word, fields = read_statement(sent.text)
    except UnreadableError:
        word, fields = "", ()
    return Query(sent.identifier, "", sent.text, word, fields)


def _is_text_of(sent: Sent, ran: Ran) -> bool:
    """Return True if the text is the one sent, but for a renamed prepared name."""
    if not sent.text.startswith("EXECUTE "):
        return ran.text == sent.text
    word, _, *rest = ran.text.split(" ", 2)
    return [word, *rest] == ["EXECUTE", *sent.text.split(" ", 2)[2:]]
