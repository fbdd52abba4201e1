"""Callers of a soak who send odd and malformed text, too much, or do not read."""

import asyncio

from tests.soak_caller_connection import CallerEndedError
from tests.soak_statement_callers import Drawn, StatementCaller
from tests.soak_statement_checker import Answer, Sent
from tests.soak_statement_texts import (
    HOSTILE_SHAPES,
    MALFORMED_IDENTIFIERS,
    MALFORMED_TEXTS,
    NAMES,
    ODD_TEXTS,
    RAW,
    execute_text,
    read_text,
)

LARGE_SHAPE_BYTES = (20_000, 300_000, 700_000, (1 << 20) - 100)
OVERLONG_BYTES = (1 << 20) + 10
HANG_UP_SECONDS = 0.3
DEAF_SECONDS = 1.0
DEAF_READS = 300
MANY_SHAPES = 60
CHURNS = 5


class HostileCaller(StatementCaller):
    """A caller whom the others must not notice."""

    async def _operate(self) -> None:
        operations = {
            self._use_shapes: 8,
            self._send_odd: 4,
            self._send_malformed: 4,
            self._misname: 1,
            self._send_raw: 2,
            self._prepare_many: 0.5,
            self._prepare_large: 0.3,
            self._be_deaf: 0.2,
            self._connect_often: 0.5,
            self._start_again: 0.5,
            self._transact: 2,
            self._leave: 0.5,
        }
        weights = list(operations.values())
        (operation,) = self._rng.choices(list(operations), weights)
        await operation()

    def _lose(self, what: str) -> None:
        """Ask for nothing better."""

    def _follow(self, drawn: Drawn, sent: Sent, answer: Answer) -> None:
        """Go on after errors."""

    def _report(self, sent: Sent, answer: Answer) -> None:
        """Report nothing: names may be prepared otherwise than was noted."""

    async def _use_shapes(self) -> None:
        """Execute statements whose shapes hold words of the grammar."""
        name, shape = self._rng.choice(NAMES), self._rng.choice(HOSTILE_SHAPES)
        word = self._rng.choice(("READ", "READ", "READ", "WRITE"))
        await self._run_text(f"PREPARE {name} {word} {shape}")
        for _ in range(self._rng.randint(1, 3)):
            await self._run_text(execute_text(self._rng, name))

    async def _send_odd(self) -> None:
        await self._run_text(self._rng.choice(ODD_TEXTS))
        await self._run_text(read_text(self._rng))

    async def _send_malformed(self) -> None:
        await self._run_text(self._rng.choice(MALFORMED_TEXTS))
        await self._run_text(read_text(self._rng))

    async def _misname(self) -> None:
        """Use an identifier that is the system's, or none."""
        self._open.send(self._rng.choice(MALFORMED_IDENTIFIERS), read_text(self._rng))
        await self._open.answer()

    async def _send_raw(self) -> None:
        """Send no statement, also behind others and in a transaction."""
        for text in self._rng.choice(((), ("BEGIN",), ("BEGIN", "READ item"))):
            self._send(text)
        await self._hang_up_after(self._rng.choice(RAW))

    async def _hang_up_after(self, data: bytes) -> None:
        self._open.write(data)
        await asyncio.sleep(self._rng.uniform(0.0, HANG_UP_SECONDS))
        raise CallerEndedError("left")

    async def _prepare_many(self) -> None:
        for number in range(MANY_SHAPES):
            self._send(f"PREPARE s{number} READ {self._number} {self._statements}")
            self._send(execute_text(self._rng, f"s{number}"))
        for _ in range(2 * MANY_SHAPES):
            await self._open.answer()

    async def _prepare_large(self) -> None:
        if self._rng.random() < 0.3:
            await self._hang_up_after(b"QUERY raw-4 READ " + b"x" * OVERLONG_BYTES)
        size = self._rng.choice(LARGE_SHAPE_BYTES)
        await self._run_text(f"PREPARE s1 READ {'x' * size}")
        await self._run_text(execute_text(self._rng, "s1"))

    async def _be_deaf(self) -> None:
        """Send many reads and read no answer."""
        for _ in range(DEAF_READS):
            self._send(read_text(self._rng))
        await asyncio.sleep(DEAF_SECONDS)
        raise CallerEndedError("left")

    async def _connect_often(self) -> None:
        for _ in range(CHURNS):
            self._close()
            await self._connect()

    async def _start_again(self) -> None:
        """Send a second startup inside a transaction, and go on in a new session."""
        for drawn in self._draw_transaction():
            await self._run_text(drawn.text)
        await self._hang_up_after(b"STARTUP orders again\r\n")
