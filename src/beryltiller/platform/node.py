"""A proxy on the users' platform: its sockets, table followers and session service.

Everything here runs on the event loop.
"""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine, Sequence
from contextlib import AsyncExitStack
from typing import Any

from beryltiller.adapters.broadcast import Broadcast, BroadcastError
from beryltiller.core.ports import Row
from beryltiller.observability import events, logs
from beryltiller.platform import databases, records
from beryltiller.platform.announcements import (
    CHANGES_TABLE,
    StoredAnnouncements,
    decode_announcement,
)
from beryltiller.platform.drain import drain_ingress
from beryltiller.platform.duty import Duty
from beryltiller.platform.ingress import Ingress
from beryltiller.platform.peer_channel import (
    leave_peers,
    open_peering,
    peer_addresses,
)
from beryltiller.platform.readiness import serve_readiness
from beryltiller.platform.settings import PlatformSettings
from beryltiller.platform.store import StoreClient, create_http_session
from beryltiller.process import periodic
from beryltiller.process.actors import Part
from beryltiller.sessions.connections.pooled_connection import DatabaseConnection
from beryltiller.sessions.databases import continuity_watch
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.placement import Placer
from beryltiller.sessions.databases.registry import Registry
from beryltiller.sessions.forwarding.peering import Peering, SendEvent
from beryltiller.sessions.organisations import NO_ORGANISATION
from beryltiller.sessions.running.read_log import ReadLog
from beryltiller.sessions.serving.isolation import IsolationMonitor, IsolationWatch
from beryltiller.sessions.serving.memory_budget import total_bytes
from beryltiller.sessions.serving.session_service import SessionService
from beryltiller.sessions.serving.shutdown import BALANCER_SECONDS
from beryltiller.sessions.succession.announcer import Announcer
from beryltiller.sessions.succession.in_sync_keeper import InSyncKeeper
from beryltiller.sessions.succession.runner import SuccessionRunner
from beryltiller.sessions.tables.relay import Feeder, feeder_lease_keys
from beryltiller.sessions.tables.relay_runner import ANNOUNCE_SECONDS, RelayRunner
from beryltiller.sessions.tables.store_time import StoreTime
from beryltiller.sessions.tables.table_follower import Rows, TableFollower

# One message of the maximum size takes up to 5 MiB, and is served also where memory is
# small.
MIN_MESSAGES_BYTES = 6 * 1024 * 1024
MAINTENANCE_INTERVAL_SECONDS = 0.3
# Interval of the checks of the leaders, and of this proxy's own isolation.
CHECK_INTERVAL_SECONDS = 0.1
# The store removes an entry after this many heartbeats of silence, and a little later.
ENTRY_HEARTBEATS = 3
ENTRY_MARGIN_SECONDS = 1.0
# A statement reaches its database in less than this time. None is sent to a draining
# primary in this last part of its drain period, since it could arrive after the end.
DRAIN_MARGIN_SECONDS = 1.0


def boot_clock() -> float:
    """Return seconds of a monotonic clock that counts suspension of the host too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PlatformNode:
    """The state and the tasks of one proxy on the event loop; `open` starts it."""

    def __init__(
        self,
        settings: PlatformSettings,
        send_event: SendEvent,
        on_drained: Callable[[], None],
    ) -> None:
        """Create a proxy; it calls `on_drained` after draining or if a task fails.

        `send_event` sends an event to a part's actor by name.
        """
        self._settings = settings
        self._send_event = send_event
        self._on_drained = on_drained
        self._rng = random.Random()
        self._registry = Registry()
        self._entries_refused = records.RefusalLog()
        self._configuration_refused: Row | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_draining = False
        self._peering: Peering | None = None
        self._monitor = IsolationMonitor()
        zone = settings.availability_zone
        self._fleet = Fleet(self._connect, zone, boot_clock, settings.regions)
        max_caller_bytes = total_bytes(settings.memory_bytes)
        self._store_time = StoreTime()
        self._placer = Placer(
            zone,
            settings.drain_seconds - DRAIN_MARGIN_SECONDS,
            settings.regions,
            self._count_proxies,
        )
        self._service = SessionService(
            self._fleet,
            self._placer,
            self._monitor,
            boot_clock,
            ReadLog(settings.logs_reads),
            max_caller_bytes,
        )
        max_message_bytes = max(max_caller_bytes, MIN_MESSAGES_BYTES)
        self._ingress = Ingress(self._service, boot_clock, max_message_bytes)

    @property
    def is_ready(self) -> bool:
        """Return True if load balancers should send callers to this proxy."""
        if self._is_draining or self._monitor.is_isolated:
            return False
        if self._fleet.configuration is None:
            return False
        return bool(self._fleet.directory.databases)

    @property
    def fleet(self) -> Fleet:
        """Return the known databases and this proxy's connections to them."""
        return self._fleet

    async def open(self, stack: AsyncExitStack) -> None:
        """Open the sockets and servers and start the tasks; `stack` ends them."""
        settings = self._settings
        session = await stack.enter_async_context(
            create_http_session(settings.source_ip)
        )
        self._store = StoreClient(session, str(settings.store_address), boot_clock)
        self._duty = Duty(
            session,
            self._store,
            str(settings.duty_address),
            settings.host_name,
            boot_clock,
        )
        self._announcer = Announcer(
            self._fleet, StoredAnnouncements(self._store), boot_clock
        )
        self._succession_runner = SuccessionRunner(
            self._fleet,
            self._duty,
            self._announcer,
            self._is_store_reachable,
            self._read_entries,
            self._rng,
            boot_clock,
        )
        self._fleet.keep_in_sync_sets(
            ENTRY_HEARTBEATS * settings.heartbeat_seconds + ENTRY_MARGIN_SECONDS
        )
        self._in_sync_keeper = InSyncKeeper(
            self._fleet,
            self._announcer,
            self._is_store_reachable,
            self._rng,
            boot_clock,
        )
        self._isolation = IsolationWatch(
            self._monitor, self._fleet, self._duty.is_store_reachable, boot_clock
        )
        stack.callback(self._cancel_tasks)
        stack.callback(self._fleet.close)
        self._peering = await self._open_peering(stack)
        self._relay_runner = self._open_relay(stack)
        self._follow(records.OPERATOR_TABLE, self._adopt_configuration)
        self._databases_follower = self._follow(
            records.DATABASES_TABLE, self._update_registry
        )
        self._announcements = self._follow(CHANGES_TABLE, self._observe_announcements)
        self._fleet.read_entries_with(
            self._read_entries, lambda: self._databases_follower.known_at
        )
        self._fleet.follow_announcements(self._announcements)
        self._start_checks()
        await serve_readiness(stack, settings.readiness_address, lambda: self.is_ready)
        caller = settings.caller_address
        await self._ingress.listen(caller.ip, caller.port)
        stack.callback(self._ingress.close)

    def parts(self) -> tuple[Part[Any, Any, Any], ...]:
        """Return the parts whose actors a supervisor must run; call `open` first."""
        succession = self._succession_runner.part()
        if self._peering is None:
            return (succession,)
        return succession, self._peering.part()

    def drain(self) -> None:
        """Start to close callers' connections step by step, then call `on_drained`."""
        if self._is_draining:
            return
        self._is_draining = True
        logs.log(events.Draining("asked", self._ingress.open_connections))
        if self._peering is not None:
            self._peering.drain()
        self._spawn(self._drain())

    def reconfigure(self, settings: PlatformSettings) -> None:
        """Use the store and duty addresses of changed settings from now on."""
        self._settings = settings
        self._store.address = str(settings.store_address)
        self._duty.address = str(settings.duty_address)

    def _start_checks(self) -> None:
        """Start the periodic maintenance, and the checks of leaders and isolation."""
        self._spawn(
            periodic.run_every(MAINTENANCE_INTERVAL_SECONDS, self._run_maintenance)
        )
        watch = self._fleet.watch_continuity
        self._spawn(periodic.run_every(continuity_watch.CHECK_SECONDS, watch))
        for check in (
            self._check_leaders,
            self._isolation.check,
            self._succession_runner.check_fences,
            self._in_sync_keeper.check,
        ):
            self._spawn(periodic.run_every(CHECK_INTERVAL_SECONDS, check))

    def _count_proxies(self) -> int:
        """Return how many proxies send statements to a database, at least one."""
        return 1 if self._peering is None else self._peering.plan.senders

    async def _connect(
        self, database: Database, organisation: str = NO_ORGANISATION
    ) -> DatabaseConnection:
        return await databases.connect(
            database, self._settings.source_ip, organisation=organisation
        )

    def _follow(self, table: str, on_rows: Callable[[Rows], None]) -> TableFollower:
        relay_runner = self._relay_runner
        follower = TableFollower(
            self._store,
            table,
            on_rows,
            self._rng,
            relay_runner,
            clock=boot_clock,
            store_time=self._store_time,
        )
        if relay_runner is not None:
            relay_runner.add_follower(follower)
        self._spawn(periodic.run_forever(follower.run))
        return follower

    async def _open_peering(self, stack: AsyncExitStack) -> Peering | None:
        """Open the channel to other proxies, and start its tasks and the quotas.

        Return None if no address is set for it or its port cannot be opened.
        """
        peering = await open_peering(
            stack,
            self._settings,
            self._fleet,
            self._service,
            self._placer,
            self._send_event,
            self._rng,
            boot_clock,
        )
        if peering is None:
            return None
        self._spawn(periodic.run_every(MAINTENANCE_INTERVAL_SECONDS, peering.maintain))
        quotas = peering.open_quotas(
            self._store, self._settings.quota_rules, self._settings.is_bootstrap
        )
        self._spawn(periodic.run_forever(quotas.run))
        return peering

    def _list_seeds(self, feeders: Sequence[Feeder]) -> None:
        """Take the feeders of all zones as seeds of the membership."""
        if self._peering is not None:
            self._peering.list_seeds(peer_addresses(feeders))

    def _open_relay(self, stack: AsyncExitStack) -> RelayRunner | None:
        """Start to exchange table changes with other proxies of the availability zone.

        Return None if no relay address is set or its port cannot be opened.
        """
        address = self._settings.relay_address
        if address is None:
            return None
        own = Feeder(self._settings.host_name, str(address))
        keys = feeder_lease_keys(self._settings.availability_zone)
        relay_runner = RelayRunner(
            own, keys, self._store, self._rng, boot_clock, self._store_time
        )
        broadcast = Broadcast(str(address), relay_runner.receive)
        try:
            broadcast.open(stack)
        except BroadcastError as error:
            # The proxy also works without a relay: it reads changes from the store.
            logs.log(events.WorkFailed("relay", str(error)))
            return None
        relay_runner.connect(broadcast)
        relay_runner.report_feeders(self._list_seeds)
        self._spawn(periodic.run_every(ANNOUNCE_SECONDS, relay_runner.announce))
        self._spawn(periodic.run_forever(relay_runner.maintain_lease))
        return relay_runner

    def _is_store_reachable(self) -> bool:
        return self._databases_follower.is_reachable

    async def _read_entries(self) -> bool:
        return await self._databases_follower.refresh()

    def _adopt_configuration(self, rows: Rows) -> None:
        row = rows.get(records.CONFIGURATION_KEY)
        if row is None:
            return
        try:
            configuration = records.decode_configuration(row)
        except records.RecordError as error:
            if row != self._configuration_refused:
                logs.log(events.ConfigurationRefused(row.version, str(error)))
            self._configuration_refused = row
            return
        if self._fleet.adopt(configuration):
            logs.log(events.ConfigurationInForce(configuration.version, "store"))
            self._ingress.end_denied()
            if self._peering is not None:
                self._peering.update_plan()

    def _update_registry(self, rows: Rows) -> None:
        found = records.decode_databases(rows.values(), self._entries_refused)
        self._registry.replace(found, boot_clock())
        self._update_directory()
        newest = self._fleet.newest_registration()
        if self._announcements.known_until < newest:
            self._spawn(self._announcements.catch_up(newest))

    def _observe_announcements(self, rows: Rows) -> None:
        self._announcer.record_rows(rows.keys())
        for row in rows.values():
            if not self._announcer.is_new(row.key, row.version):
                continue
            announcement = decode_announcement(row)
            if self._announcer.apply(announcement):
                self._spawn(self._announcer.object_to(announcement))

        self._remember_processes()

    def _remember_processes(self) -> None:
        """Keep the databases in sync as departed once they have no entry."""
        if self._registry.remember_all(self._fleet.databases_in_sync()):
            self._update_directory()

    def _update_directory(self) -> None:
        self._fleet.register(self._registry.directory(boot_clock()))

    async def _run_maintenance(self) -> None:
        """Close idle connections, and stop using databases that are missing for long.

        A database whose entry is missing is used until `LAPSE_GRACE_SECONDS` of the
        registry have passed, and counts as departed for a while after that.

        If this proxy has been isolated for so long that load balancers have noticed,
        callers' idle connections are closed, so that they connect to another proxy.
        """
        self._fleet.close_idle()
        self._fleet.set_follows_store(self._databases_follower.is_reachable)
        self._remember_processes()
        if self._isolation.isolated_seconds() > BALANCER_SECONDS:
            self._ingress.close_idle(is_lasting=False)
        expiry = self._registry.next_expiry()
        if expiry is not None and expiry <= boot_clock():
            self._update_directory()

    async def _check_leaders(self) -> None:
        """Probe unresponsive leaders, and query terms that leaders have not stated."""
        await self._succession_runner.probe_unresponsive_leaders()
        await self._fleet.confirm_leaders()

    async def _drain(self) -> None:
        forwarded = None if self._peering is None else self._peering.sessions
        await drain_ingress(
            self._ingress, self._settings.grace_seconds, boot_clock, forwarded
        )
        if self._peering is not None:
            await leave_peers(self._peering)
        self._on_drained()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.log(events.WorkFailed(task.get_name(), repr(task.exception())))
            self._on_drained()

    def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
