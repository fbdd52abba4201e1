"""Runs of work on a fake group of databases, on a virtual clock."""

from collections.abc import Awaitable, Callable

from beryltiller.sessions.databases.catalog import RouteKind
from tests.fake_group import GroupFixture
from tests.virtual_loop import run_virtual

Work = Callable[[GroupFixture], Awaitable[None]]


def run_with_fixture(
    work: Work, kind: RouteKind = RouteKind.READ_YOUR_WRITES
) -> GroupFixture:
    """Run work on a fixture whose replicas can prove its leader; return it."""

    async def run_work() -> GroupFixture:
        fixture = GroupFixture(kind)
        await work(fixture)
        fixture.fleet.close()
        return fixture

    return run_virtual(run_work())
