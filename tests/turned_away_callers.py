"""Callers that write at one simulated proxy, and count what they are answered."""

import asyncio
from dataclasses import dataclass, field
from itertools import pairwise

from beryltiller.sessions.databases.catalog import RouteKind
from beryltiller.sessions.session import Session
from beryltiller.sessions.statements import Read, Reply, Write
from tests.simulated_checker import ReadCheck
from tests.simulated_proxy import SimulatedProxy
from tests.simulated_sessions import Simulation
from tests.virtual_loop import virtual_now

PAUSE_SECONDS = 0.03
# The number of this caller's session, beyond those of the simulation's own callers.
SESSION = 10**9


@dataclass
class Served:
    """The outcomes of one caller's statements, and when they were answered."""

    written_at: list[float] = field(default_factory=list)
    read_at: list[float] = field(default_factory=list)
    failed_at: list[tuple[float, str]] = field(default_factory=list)

    def longest_gap(self, since: float, until: float) -> float:
        """Return the longest time without an acknowledged write, in seconds."""
        within = [each for each in self.written_at if since < each < until]
        moments = [since, *within, until]
        return max(b - a for a, b in pairwise(moments))

    def failures(self, since: float, until: float) -> list[str]:
        """Return the codes of the statements that failed in a span of time."""
        return [code for at, code in self.failed_at if since < at < until]


async def call(
    simulation: Simulation, proxy: SimulatedProxy, until: float, served: Served
) -> None:
    """Write and read at the primary by turns, on one session, until a moment."""
    session = proxy.service.open_session(RouteKind.PRIMARY.name)
    assert isinstance(session, Session)
    while virtual_now() < until:
        reply = await _write(simulation, proxy, session)
        if reply.is_success:
            served.written_at.append(virtual_now())
        else:
            served.failed_at.append((virtual_now(), f"write {reply.code}"))
        reply = await _read(simulation, proxy, session)
        if reply.is_success:
            served.read_at.append(virtual_now())
        else:
            served.failed_at.append((virtual_now(), f"read {reply.code}"))
        await asyncio.sleep(PAUSE_SECONDS)


async def _write(
    simulation: Simulation, proxy: SimulatedProxy, session: Session
) -> Reply:
    identifier = simulation.next_identifier()
    reply = await proxy.service.answer(
        session, identifier, Write("i", "d"), virtual_now()
    )
    if reply.is_success:
        simulation.checker.record_commit_answer(identifier, SESSION)
    return reply


async def _read(
    simulation: Simulation, proxy: SimulatedProxy, session: Session
) -> Reply:
    identifier = simulation.next_identifier()
    now = virtual_now()
    check = ReadCheck(RouteKind.PRIMARY, now, SESSION)
    simulation.checker.reads[identifier] = check
    reply = await proxy.service.answer(session, identifier, Read("i"), now)
    if reply.is_success:
        simulation.checker.record_read_answer(identifier)
    return reply
