"""Callers of simulated proxies, which check what they are answered."""

import asyncio

from beryltiller.sessions.databases.catalog import RouteKind
from beryltiller.sessions.session import Session
from beryltiller.sessions.statements import (
    Begin,
    CallerStatement,
    Commit,
    Read,
    Reply,
    Rollback,
    Write,
)
from tests.simulated_checker import ReadCheck
from tests.simulated_proxy import SimulatedProxy
from tests.simulated_store import Surroundings
from tests.virtual_loop import virtual_now


class CallerSession:
    """A caller's session at one proxy."""

    def __init__(
        self,
        simulation: Surroundings,
        proxy: SimulatedProxy,
        session: Session,
        kind: RouteKind,
        number: int,
    ) -> None:
        self._simulation = simulation
        self._proxy = proxy
        self._generation = proxy.generation
        self._service = proxy.service
        self._session = session
        self._kind = kind
        # Each connection is a session of its own.
        self._number = number * 100_000 + simulation.statements
        self._rng = simulation.rng

    async def use(self) -> None:
        """Run operations until one fails or the session ends."""
        for _ in range(self._rng.randint(1, 30)):
            await asyncio.sleep(self._rng.uniform(0.02, 0.12))
            if self._generation != self._proxy.generation:
                break
            if not await self._operate():
                break
        await self._service.end_session(self._session)

    async def _operate(self) -> bool:
        draw = self._rng.random()
        if draw < 0.55:
            return await self._send(Read("i"), virtual_now())
        if draw < 0.75:
            return await self._send(Write("i", "d"), virtual_now())
        if draw < 0.87:
            return await self._transact(Begin(True), (Read("i"), Read("i")))
        return await self._transact(Begin(), (Read("i"), Write("i", "d")))

    async def _transact(
        self, begin: Begin, statements: tuple[CallerStatement, ...]
    ) -> bool:
        began = virtual_now()
        has_written = not begin.is_read_only
        for each in (begin, *statements, Commit()):
            if not await self._send(each, began, has_written):
                await self._send(Rollback(), began)
                return False
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        return True

    async def _send(
        self, statement: CallerStatement, sent_at: float, is_in_writing: bool = False
    ) -> bool:
        checker, identifier = (
            self._simulation.checker,
            self._simulation.next_identifier(),
        )
        is_read = isinstance(statement, Read)
        if is_read:
            checker.reads[identifier] = ReadCheck(self._kind, sent_at, self._number)
        await asyncio.sleep(self._rng.uniform(0.0005, 0.002))
        await self._proxy.pass_gate()
        was_open = self._session.transaction is not None
        reply = await self._service.answer(
            self._session, identifier, statement, virtual_now()
        )
        await self._proxy.pass_gate()
        if not reply.is_success or self._generation != self._proxy.generation:
            return False
        self._record(statement, identifier, reply, was_open, is_in_writing)
        return True

    def _record(
        self,
        statement: CallerStatement,
        identifier: str,
        reply: Reply,
        was_open: bool,
        is_in_writing: bool,
    ) -> None:
        checker = self._simulation.checker
        match statement:
            case Read():
                checker.record_read_answer(identifier)
            case Write() if not was_open:
                checker.record_commit_answer(identifier, self._number)
            case Commit() if is_in_writing:
                checker.record_commit_answer(identifier, self._number)
