"""Requests for switchovers: planned changes of primary.

An operator requests one, or this proxy does because the primary is leaving.
"""

import asyncio
from collections.abc import Callable

from beryltiller.configuration.tables import Group
from beryltiller.consistency.session import Planner
from beryltiller.dispatching.database_observer import TERMS_PART
from beryltiller.dispatching.databases import Databases
from beryltiller.dispatching.term_board import TermBoard
from beryltiller.primaries.term_events import SwitchoverRequested
from beryltiller.process.control import Control

SWITCHOVER_INTERVAL_SECONDS = 1.0

SendEvent = Callable[[str, object], None]


class SwitchoverRequester:
    """Requests switchovers from the terms part, and chooses their targets.

    A target must first have the fenced former primary's log. If that takes too long,
    the terms part goes on as in a promotion without a target.
    """

    def __init__(
        self,
        planner: Planner,
        board: TermBoard,
        databases: Databases,
        control: Control,
        send_event: SendEvent,
    ) -> None:
        """Set the sources of the state by which switchovers and targets are chosen."""
        self._planner = planner
        self._board = board
        self._databases = databases
        self._control = control
        self._send_event = send_event

    def request(self, group: str, target: str = "") -> None:
        """Request a switchover to `target`, or else to the most advanced replica."""
        chosen = target or self._most_advanced_replica(group)
        self._send_event(TERMS_PART, SwitchoverRequested(group, chosen))

    async def run(self) -> None:
        """Request switchovers from primaries that are leaving, until cancelled.

        Only the proxy that ranks first for the group requests one. Requests by several
        proxies would do no harm, as only one of them can claim the new term.
        """
        while True:
            await asyncio.sleep(SWITCHOVER_INTERVAL_SECONDS)
            for group in self._databases.groups.values():
                if self._is_due_here(group):
                    self.request(group.name)

    def _is_due_here(self, group: Group) -> bool:
        """Return True if the group's primary is leaving and this proxy ranks first."""
        row = self._board.evidence.row(group.name)
        if (
            row is None
            or not row.is_open
            or row.primary not in self._control.leaving_databases
        ):
            return False
        members = self._control.members
        return members is not None and members.rank(f"switch/{group.name}") == 0

    def _most_advanced_replica(self, group: str) -> str:
        """Return the reachable replica with the highest position, or "" without one."""
        state = self._planner.group(group)
        if state is None:
            return ""
        replicas = [
            each
            for each in state.view.databases
            if each.name != state.view.primary
            and each.is_reachable
            and not each.is_draining
        ]
        best = max(replicas, key=lambda each: each.applied, default=None)
        return best.name if best else ""
