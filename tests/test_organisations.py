"""Tests of organisations: who is served, and on whose connections."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace

import msgspec

from beryltiller.core.ports import Row
from beryltiller.platform import wire
from beryltiller.platform.records import RecordError, decode_configuration
from beryltiller.quotas.rules import RetryAfter
from beryltiller.sessions.connections.admission_semaphore import AdmissionSemaphore
from beryltiller.sessions.connections.connection_limits import ConnectionPoolPolicy
from beryltiller.sessions.connections.database_pools import DatabasePools
from beryltiller.sessions.connections.pooled_connection import DatabaseConnection
from beryltiller.sessions.databases.catalog import Configuration
from beryltiller.sessions.databases.placement import Placer
from beryltiller.sessions.errors import NoCapacityError, NotSentError
from beryltiller.sessions.organisations import (
    NO_ORGANISATION,
    Credential,
    Organisation,
    Organisations,
    Quota,
)
from beryltiller.sessions.serving.isolation import IsolationMonitor
from beryltiller.sessions.serving.session_service import SessionService
from beryltiller.sessions.session import Session
from beryltiller.sessions.statements import Begin, Code, Commit, Read, Write
from tests.fake_group import FakeConnection, FakeDatabase, GroupFixture
from tests.virtual_loop import run_virtual, virtual_now

ACME = Organisation("acme", quota=Quota(5.0, 10.0))
BOLT = Organisation("bolt")


def configuration_row(tenants: object, **route: object) -> Row:
    """Return a configuration with one route and the tenants."""
    fields = {
        "config_version": 4,
        "routes": [
            {
                "name": "r",
                "database_name": "db",
                "service": "s",
                "route_kind": "primary",
                "timeout_ms": 800,
                **route,
            }
        ],
        "services": [{"name": "s"}],
        "tenants": tenants,
    }
    return Row("config", 1, msgspec.json.encode(fields))


class ConfigurationTest(unittest.TestCase):
    """Odd organisations refuse a configuration, and no key stands in the reason."""

    def test_organisations_are_decoded(self) -> None:
        tenants = [
            {"name": "a", "api_keys": ["k1"], "rate_per_s": 0, "burst": 0},
            {"name": "b", "api_keys": ["k2", "k3"], "priority": 2},
        ]
        found = decode_configuration(configuration_row(tenants)).organisations
        assert found is not None
        first = found.find(Credential.of_key("k1"))
        self.assertEqual(first, Organisation("a", quota=Quota(0.0, 0.0)))
        self.assertEqual(found.find(Credential.of_key("k3")), Organisation("b", 2))

    def test_deployment_without_organisations_has_none(self) -> None:
        configuration = decode_configuration(configuration_row(None))
        self.assertIsNone(configuration.organisations)

    def test_odd_organisations_are_refused_without_naming_a_key(self) -> None:
        key = "secret-key"
        cases: dict[str, list[dict[str, object]]] = {
            "same name": [{"name": "a"}, {"name": "a"}],
            "same key": [
                {"name": "a", "api_keys": [key]},
                {"name": "b", "api_keys": [key]},
            ],
            "empty key": [{"name": "a", "api_keys": [""]}],
            "key of another type": [{"name": "a", "api_keys": [key, 5]}],
            "name with a blank": [{"name": "a b", "api_keys": [key]}],
            "no name": [{"api_keys": [key]}],
            "negative rate": [{"name": "a", "api_keys": [key], "rate_per_s": -1}],
            "negative burst": [{"name": "a", "api_keys": [key], "burst": -0.1}],
            "rate of another type": [{"name": "a", "rate_per_s": key}],
        }
        for name, tenants in cases.items():
            with self.subTest(name), self.assertRaises(RecordError) as caught:
                decode_configuration(configuration_row(tenants))
            self.assertNotIn(key, str(caught.exception))

    def test_key_is_in_no_representation(self) -> None:
        organisations = Organisations.of(((ACME, ("secret-key",)),))
        startup = wire.decode_message(b"STARTUP db secret-key")
        session = Session("db", credential=Credential.of_key("secret-key"))
        for each in (organisations, startup, session):
            with self.subTest(type(each).__name__):
                self.assertNotIn("secret-key", repr(each))


class FakeQuotas:
    """Quotas that admit an operation or reject it, and count the operations."""

    def __init__(self) -> None:
        self.retry: RetryAfter | None = None
        self.asked: list[str] = []

    async def admit(
        self, organisation: Organisation, deadline_seconds: float
    ) -> RetryAfter | None:
        assert 0 < deadline_seconds <= 1.0
        self.asked.append(organisation.name)
        return self.retry


class OrganisationFixture(GroupFixture):
    """A proxy before a group of databases, with two organisations."""

    def __init__(self) -> None:
        self.opened_for: list[str] = []
        super().__init__()
        self.adopt(((ACME, ("a1", "a2")), (BOLT, ("b1",))))

    def adopt(
        self,
        organisations: tuple[tuple[Organisation, tuple[str, ...]], ...],
        is_public: bool = False,
    ) -> None:
        """Put the next version of the configuration in force."""
        present = self.fleet.configuration
        assert present is not None
        routes = {
            name: replace(route, is_public=is_public)
            for name, route in present.routes.items()
        }
        configuration: Configuration = replace(
            present,
            version=present.version + 1,
            routes=routes,
            organisations=Organisations.of(organisations),
        )
        self.fleet.adopt(configuration)

    def use_quotas(self) -> FakeQuotas:
        """Let the proxy admit operations by quotas from now on."""
        quotas = FakeQuotas()
        self.service = SessionService(
            self.fleet, Placer("a"), IsolationMonitor(), virtual_now, quotas=quotas
        )
        return quotas

    def session_of(self, key: str) -> Session:
        session = self.service.open_session("db", key)
        assert isinstance(session, Session)
        return session

    async def _connect(
        self, database: object, organisation: str = NO_ORGANISATION
    ) -> FakeConnection:
        self.opened_for.append(organisation)
        return await super()._connect(database, organisation)  # type: ignore[arg-type]


def run(work: Callable[[OrganisationFixture], Awaitable[None]]) -> None:
    """Run a test's work on the virtual clock."""

    async def main() -> None:
        fixture = OrganisationFixture()
        try:
            await work(fixture)
        finally:
            fixture.fleet.close()

    run_virtual(main())


class AccessTest(unittest.TestCase):
    """Only callers with a key in force are served, also on sessions that are open."""

    def test_unknown_key_is_denied_except_on_a_public_route(self) -> None:
        async def work(fixture: OrganisationFixture) -> None:
            self.assertIs(fixture.service.open_session("db", "?"), Code.DENIED)
            self.assertIs(fixture.service.open_session("db", ""), Code.DENIED)
            self.assertIs(fixture.service.open_session("no", "?"), Code.NO_ROUTE)
            self.assertEqual(fixture.session_of("a2").organisation, "acme")
            fixture.adopt(((ACME, ("a1",)),), is_public=True)
            self.assertEqual(fixture.session_of("?").organisation, NO_ORGANISATION)
            self.assertEqual(fixture.session_of("a1").organisation, "acme")

        run(work)

    def test_removed_key_is_denied_on_an_open_session(self) -> None:
        async def work(fixture: OrganisationFixture) -> None:
            removed, kept = fixture.session_of("a1"), fixture.session_of("a2")
            fixture.adopt(((ACME, ("a2",)), (BOLT, ("b1",))))
            reply = await fixture.run(removed, Read("i"))
            self.assertIs(reply.code, Code.DENIED)
            self.assertEqual(fixture.leader.ran, [])
            self.assertTrue((await fixture.run(kept, Read("i"))).is_success)

        run(work)

    def test_removed_key_commits_nothing_that_its_transaction_wrote(self) -> None:
        async def work(fixture: OrganisationFixture) -> None:
            session = fixture.session_of("a1")
            await fixture.run(session, Begin())
            self.assertTrue((await fixture.run(session, Write("i", "d"))).is_success)
            fixture.adopt(((BOLT, ("b1",)),))
            reply = await fixture.run(session, Commit())
            self.assertIs(reply.code, Code.DENIED)
            self.assertNotIn("Commit", fixture.leader.statement_names())
            self.assertIn("Rollback", fixture.leader.statement_names())

        run(work)

    def test_added_key_serves_at_once(self) -> None:
        async def work(fixture: OrganisationFixture) -> None:
            self.assertIs(fixture.service.open_session("db", "a3"), Code.DENIED)
            fixture.adopt(((ACME, ("a3",)),))
            session = fixture.session_of("a3")
            self.assertTrue((await fixture.run(session, Read("i"))).is_success)

        run(work)

    def test_key_that_passes_to_another_organisation_leaves_its_transaction(
        self,
    ) -> None:
        async def work(fixture: OrganisationFixture) -> None:
            idle, busy = fixture.session_of("a1"), fixture.session_of("a1")
            await fixture.run(busy, Begin())
            fixture.adopt(((ACME, ("a2",)), (BOLT, ("a1",))))
            self.assertIs((await fixture.run(busy, Read("i"))).code, Code.DENIED)
            self.assertTrue((await fixture.run(idle, Read("i"))).is_success)
            self.assertEqual(idle.organisation, "bolt")

        run(work)


class QuotaTest(unittest.TestCase):
    """Each operation with a quota is admitted once, before it takes anything."""

    def test_each_operation_is_admitted_once(self) -> None:
        async def work(fixture: OrganisationFixture) -> None:
            quotas = fixture.use_quotas()
            session = fixture.session_of("a1")
            await fixture.run(session, Read("i"))
            for statement in (Begin(), Read("i"), Begin(), Write("i", "d"), Commit()):
                await fixture.run(session, statement)
            await fixture.run(fixture.session_of("b1"), Read("i"))
            self.assertEqual(quotas.asked, ["acme", "acme"])

        run(work)

    def test_rejection_names_the_time_and_sends_nothing(self) -> None:
        async def work(fixture: OrganisationFixture) -> None:
            fixture.use_quotas().retry = RetryAfter(0.25)
            session = fixture.session_of("a1")
            for statement in (Read("i"), Write("i", "d"), Begin()):
                reply = await fixture.run(session, statement)
                self.assertIs(reply.code, Code.BUSY)
                self.assertIn("retry after 250 ms", reply.text)
            self.assertEqual(fixture.leader.ran, [])
            self.assertEqual(fixture.opened_for, [])
            self.assertIsNone(session.transaction)

        run(work)


class ConnectionsTest(unittest.TestCase):
    """No organisation uses a connection that was opened for another one."""

    def test_each_connection_serves_its_organisation(self) -> None:
        async def work(fixture: OrganisationFixture) -> None:
            for key in ("a1", "b1", "a2", "b1"):
                reply = await fixture.run(fixture.session_of(key), Write("i", key))
                self.assertTrue(reply.is_success)
            ran = [
                (number, request.statement.data)
                for number, request in fixture.leader.ran
                if isinstance(request.statement, Write)
            ]
            of_acme = {number for number, data in ran if data != "b1"}
            of_bolt = {number for number, data in ran if data == "b1"}
            self.assertFalse(of_acme & of_bolt)
            self.assertLessEqual({"acme", "bolt"}, set(fixture.opened_for))

        run(work)


class PoolsFixture:
    """The pools of one database, whose openings are counted by organisation."""

    def __init__(self, share: int) -> None:
        self.database = FakeDatabase("d")
        self.opened: list[str] = []
        self.refuses = False
        self.pools = DatabasePools(
            self._connect, AdmissionSemaphore(9), ConnectionPoolPolicy(share)
        )

    async def _connect(self, organisation: str) -> DatabaseConnection:
        await asyncio.sleep(0.01)
        if self.refuses:
            raise NotSentError(Code.CONNECTION_LIMIT, "full")
        self.opened.append(organisation)
        return FakeConnection(self.database)


class SharedLimitTest(unittest.TestCase):
    """All organisations together keep to the limit on connections to a database."""

    def test_idle_connection_of_another_organisation_gives_way(self) -> None:
        async def work() -> None:
            fixture = PoolsFixture(share=2)
            first, second, third = map(fixture.pools.pool, ("a", "b", "c"))
            connection = await first.acquire({}, 1.0)
            first.release(connection)
            await second.acquire({}, 1.0)
            await third.acquire({}, 1.0)
            self.assertFalse(connection.is_open)
            self.assertEqual(fixture.pools.size, 2)

        run_virtual(work())

    def test_proxy_that_forwards_keeps_no_idle_connections(self) -> None:
        """Connections opened before forwarding began would use up the limit."""

        async def work() -> None:
            fixture = PoolsFixture(share=3)
            for organisation in ("a", "b"):
                pool = fixture.pools.pool(organisation)
                pool.release(await pool.acquire({}, 1.0))
            now = asyncio.get_running_loop().time()
            fixture.pools.close_idle(now + 100.0)
            self.assertEqual(fixture.pools.size, 2)
            fixture.pools.set_share(0)
            fixture.pools.close_idle(now + 100.0)
            await asyncio.sleep(0.1)
            self.assertEqual(fixture.pools.size, 0)
            # Without a holder that responds, this proxy runs statements itself.
            self.assertTrue((await fixture.pools.pool("a").acquire({}, 1.0)).is_open)

        run_virtual(work())

    def test_waiting_organisation_takes_the_place_of_a_released_connection(
        self,
    ) -> None:
        async def work() -> None:
            fixture = PoolsFixture(share=1)
            first, second = map(fixture.pools.pool, ("a", "b"))
            held = await first.acquire({}, 1.0)
            waiting = asyncio.create_task(second.acquire({}, 1.0))
            await asyncio.sleep(0.1)
            first.release(held)
            self.assertTrue((await waiting).is_open)
            self.assertFalse(held.is_open)
            self.assertEqual(fixture.pools.size, 1)

        run_virtual(work())

    def test_organisation_waits_in_vain_while_all_connections_are_in_use(
        self,
    ) -> None:
        async def work() -> None:
            fixture = PoolsFixture(share=1)
            await fixture.pools.pool("a").acquire({}, 1.0)
            with self.assertRaises(NoCapacityError):
                await fixture.pools.pool("b").acquire({}, 0.2)
            self.assertEqual(fixture.opened, ["a"])

        run_virtual(work())

    def test_refused_organisation_replaces_an_idle_connection_of_another(
        self,
    ) -> None:
        async def work() -> None:
            fixture = PoolsFixture(share=4)
            idle = await fixture.pools.pool("a").acquire({}, 1.0)
            fixture.pools.pool("a").release(idle)
            fixture.refuses = True
            with self.assertRaises(NotSentError):
                await fixture.pools.pool("b").acquire({}, 0.1)
            fixture.refuses = False
            await fixture.pools.pool("b").acquire({}, 0.1)
            self.assertEqual(fixture.opened, ["a", "b"])

        run_virtual(work())

    def test_query_of_the_proxy_uses_any_idle_connection(self) -> None:
        async def work() -> None:
            fixture = PoolsFixture(share=2)
            pool = fixture.pools.pool("a")
            pool.release(await pool.acquire({}, 1.0))
            self.assertIs(fixture.pools.for_queries(), pool)
            await pool.acquire({}, 1.0)
            self.assertIs(fixture.pools.for_queries(), fixture.pools.pool())

        run_virtual(work())
