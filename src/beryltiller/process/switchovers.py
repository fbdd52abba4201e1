"""Switchovers: a planned change of primary, asked for or because it is leaving."""

import asyncio
from collections.abc import Callable

from beryltiller.configuration.tables import Group
from beryltiller.consistency.session import Planner
from beryltiller.dispatching.database_observer import TERMS_PART
from beryltiller.dispatching.databases import Databases
from beryltiller.dispatching.term_board import TermBoard
from beryltiller.primaries.term_events import SwitchoverAsked
from beryltiller.process.control import Control

SWITCHOVER_INTERVAL_SECONDS = 1.0

Tell = Callable[[str, object], None]


class Switchovers:
    """Ask for another primary; the target must first hold the old one's log."""

    def __init__(
        self,
        planner: Planner,
        board: TermBoard,
        databases: Databases,
        control: Control,
        tell: Tell,
    ) -> None:
        """Use the newest views to choose the target."""
        self._planner = planner
        self._board = board
        self._databases = databases
        self._control = control
        self._tell = tell

    def start(self, group: str, target: str = "") -> None:
        """Ask for `target` as primary, or for the replica that is furthest."""
        chosen = target or self._best_replica(group)
        self._tell(TERMS_PART, SwitchoverAsked(group, chosen))

    async def run(self) -> None:
        """Replace primaries that are leaving, for ever.

        One proxy asks, the first by rank for the group; the claim decides anyhow.
        """
        while True:
            await asyncio.sleep(SWITCHOVER_INTERVAL_SECONDS)
            for group in self._databases.groups.values():
                if self._is_ours(group):
                    self.start(group.name)

    def _is_ours(self, group: Group) -> bool:
        """Tell whether the group's primary is leaving and this proxy is to act."""
        row = self._board.evidence.row(group.name)
        if row is None or not row.is_open or row.primary not in self._control.leaving:
            return False
        members = self._control.members
        return members is not None and members.rank(f"switch/{group.name}") == 0

    def _best_replica(self, group: str) -> str:
        """Return the replica that is furthest, or nothing if none can be reached."""
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
