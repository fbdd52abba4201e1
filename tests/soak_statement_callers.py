"""Callers of a soak who use the whole grammar and keep to the rules of the page."""

import asyncio
import random
from dataclasses import dataclass

from tests.soak_caller_connection import CallerConnection, CallerEndedError
from tests.soak_callers import (
    PROMISES,
    READING_DATABASE,
    RETRY_SECONDS,
    WRITING_DATABASE,
)
from tests.soak_checker import Checker
from tests.soak_proxies import ProxyProcess
from tests.soak_statement_checker import DEFAULT_KEY, Answer, Sent
from tests.soak_statement_texts import (
    BLANK_SHAPES,
    NAMES,
    SHAPES,
    execute_text,
    read_text,
    set_text,
    write_text,
)

# A caller ends its session after this many operations, and starts another.
MAX_OPERATIONS = 200


@dataclass(frozen=True, slots=True)
class Drawn:
    """A statement to be sent, and whether it writes."""

    text: str
    is_write: bool = False


class StatementCaller:
    """A caller who reconnects to the same proxy whenever a session ends."""

    shapes = SHAPES

    def __init__(
        self,
        number: int,
        proxy: ProxyProcess,
        checker: Checker,
        rng: random.Random,
        key: str = DEFAULT_KEY,
    ) -> None:
        """Create a caller; its statements' identifiers begin with `number`."""
        self._number = number
        self._key = key
        self._proxy = proxy
        self._checker = checker
        self._rng = rng
        self._is_reader = number % 4 == 3
        self._statements = 0
        self._connection: CallerConnection | None = None
        # The acknowledged names, and whether each writes.
        self._prepared: dict[str, bool] = {}

    async def run(self) -> None:
        """Run operations for ever."""
        while True:
            try:
                await self._connect()
                for _ in range(MAX_OPERATIONS):
                    await self._operate()
                    await asyncio.sleep(self._rng.choice((0.005, 0.02, 0.05)))
            except (OSError, EOFError, TimeoutError, CallerEndedError) as error:
                self._lose(repr(error))
                await asyncio.sleep(RETRY_SECONDS)
            finally:
                self._close()

    @property
    def _open(self) -> CallerConnection:
        assert self._connection is not None
        return self._connection

    async def _connect(self) -> None:
        kind = type(self).__name__
        session = self._checker.statements.open_session(
            f"{kind} {self._number}", self._key
        )
        database = READING_DATABASE if self._is_reader else WRITING_DATABASE
        self._prepared = {}
        self._connection = await CallerConnection.open(self._proxy, database, session)

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _lose(self, what: str) -> None:
        self._checker.statements.record_loss(f"caller {self._number}", what)

    async def _operate(self) -> None:
        operations = {
            self._change_state: 4,
            self._run_single: 4,
            self._run_batch: 2,
            self._transact: 3,
            self._transact_in_one_batch: 1,
            self._leave: 0.2,
        }
        weights = list(operations.values())
        (operation,) = self._rng.choices(list(operations), weights)
        await operation()

    # Operations.

    async def _change_state(self) -> None:
        await self._run(self._draw_change(dict(self._prepared)))

    async def _run_single(self) -> None:
        await self._run(self._draw_statement(self._prepared))

    async def _run_batch(self) -> None:
        """Send changes of the session's state and statements without waiting."""
        names = dict(self._prepared)
        batch = [
            (
                self._draw_change(names)
                if self._rng.random() < 0.6
                else self._draw_statement(names)
            )
            for _ in range(self._rng.randint(2, 6))
        ]
        await self._run_together(batch)

    async def _transact(self) -> None:
        """Run a transaction, and end it; a statement that fails ends it."""
        has_written = False
        for drawn in self._draw_transaction():
            _, answer = await self._run(drawn)
            if answer.word != "COMPLETE":
                await self._run_text("ROLLBACK")
                return
            has_written = has_written or drawn.is_write
            if self._rng.random() < 0.2:
                await asyncio.sleep(0.02)
        end = self._rng.choice(("COMMIT", "COMMIT", "ROLLBACK"))
        sent, answer = await self._run_text(end)
        if has_written and end == "COMMIT":
            self._report(sent, answer)
        if answer.state != "I":
            await self._run_text("ROLLBACK")

    async def _transact_in_one_batch(self) -> None:
        batch = [*self._draw_transaction(), Drawn("COMMIT")]
        answers = await self._run_together(batch)
        written = [
            drawn
            for drawn, (_, answer) in zip(batch, answers, strict=True)
            if drawn.is_write and answer.word == "COMPLETE"
        ]
        sent, answer = answers[-1]
        if written:
            self._report(sent, answer)
        if answer.state != "I":
            await self._run_text("ROLLBACK")

    async def _leave(self) -> None:
        """Leave in the middle of a transaction."""
        for drawn in self._draw_transaction():
            await self._run(drawn)
        self._close()
        await self._connect()

    # Statements. `names` are the prepared ones, and whether each writes.

    def _draw_change(self, names: dict[str, bool]) -> Drawn:
        """Draw a change of the session's state, and apply it to `names`."""
        kind = self._rng.choice(("SET", "PREPARE", "PREPARE", "DEALLOCATE"))
        if kind == "SET":
            return Drawn(set_text(self._rng))
        name = self._rng.choice(NAMES)
        if kind == "DEALLOCATE" and name in names:
            del names[name]
            return Drawn(f"DEALLOCATE {name}")
        names[name] = not self._is_reader and self._rng.random() < 0.4
        word = "WRITE" if names[name] else "READ"
        return Drawn(f"PREPARE {name} {word} {self._rng.choice(self.shapes)}")

    def _draw_statement(
        self, names: dict[str, bool], only_reads: bool = False
    ) -> Drawn:
        only_reads = only_reads or self._is_reader
        usable = [each for each in names if not (names[each] and only_reads)]
        if usable and self._rng.random() < 0.6:
            name = self._rng.choice(usable)
            return Drawn(execute_text(self._rng, name), names[name])
        if only_reads or self._rng.random() < 0.6:
            return Drawn(read_text(self._rng))
        return Drawn(write_text(self._rng), is_write=True)

    def _draw_transaction(self) -> list[Drawn]:
        """Return the statements of a transaction without its end."""
        only_reads = self._is_reader or self._rng.random() < 0.3
        names = dict(self._prepared)
        drawn = [Drawn("BEGIN READ" if only_reads else "BEGIN")]
        for _ in range(self._rng.randint(1, 5)):
            if self._rng.random() < 0.3:
                drawn.append(self._draw_change(names))
            else:
                drawn.append(self._draw_statement(names, only_reads))
        return drawn

    def _send(self, text: str) -> Sent:
        self._statements += 1
        return self._open.send(f"{self._number}-{self._statements}", text)

    async def _run(self, drawn: Drawn) -> tuple[Sent, Answer]:
        (answered,) = await self._run_together([drawn])
        return answered

    async def _run_text(self, text: str) -> tuple[Sent, Answer]:
        return await self._run(Drawn(text))

    async def _run_together(self, batch: list[Drawn]) -> list[tuple[Sent, Answer]]:
        """Send statements without waiting; return each with its answer."""
        answers = []
        for drawn, sent in [(each, self._send(each.text)) for each in batch]:
            answer = await self._open.answer()
            self._follow(drawn, sent, answer)
            answers.append((sent, answer))
        return answers

    def _follow(self, drawn: Drawn, sent: Sent, answer: Answer) -> None:
        """Follow an answer; a session whose state could not be changed is closed."""
        word, _, rest = sent.text.partition(" ")
        name = rest.partition(" ")[0]
        if drawn.is_write and answer.state == "I":
            self._report(sent, answer)
        if answer.word != "COMPLETE":
            self._lose(f"{sent.identifier} {sent.text!r}: {answer.text}")
            if word in ("SET", "PREPARE", "DEALLOCATE"):
                raise CallerEndedError(answer.text)
        elif word == "PREPARE":
            self._prepared[name] = rest.startswith(f"{name} WRITE ")
        elif word == "DEALLOCATE":
            del self._prepared[name]

    def _report(self, sent: Sent, answer: Answer) -> None:
        if answer.word == "COMPLETE":
            self._checker.record_report(sent.identifier, self._proxy.name)
        elif answer.code in PROMISES:
            self._checker.record_promise(sent.identifier)


class BlankShapeCaller(StatementCaller):
    """A caller whose shapes hold blanks, which the page allows."""

    shapes = BLANK_SHAPES
