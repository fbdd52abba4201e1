"""Log positions that peers near the primary have proved, for reads far from it.

A proxy whose writes are forwarded to another region receives no replies of the primary
itself. Before a read it asks a holder of the primary's region for the newest position
that covers all acknowledged commits, with one request for all reads that wait.
"""

import asyncio
from collections.abc import Callable

from beryltiller.adapters.channels import PeerError
from beryltiller.adapters.peer_requests import PeerRequests
from beryltiller.core.position import Position
from beryltiller.membership.messages import PositionReply, PositionRequest
from beryltiller.sessions.databases.evidence import PeerCover
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.regions import Regions
from beryltiller.sessions.forwarding.forwarding_plan import ForwardingPlan

# How long a read waits for an answer, beyond a round trip between regions.
WAIT_SECONDS = 0.25
# An answer that has come from another region is at least this old.
MIN_AGE_SECONDS = 0.1
# A position that is older is asked for again while reads use it, so that few wait.
REFRESH_SECONDS = 0.5
# Minimum time between two questions of one group that found nothing.
RETRY_SECONDS = 0.2


class PeerCovers:
    """Asks peers for positions; use it on a single event loop."""

    def __init__(
        self,
        requests: PeerRequests,
        plan: ForwardingPlan,
        regions: Regions,
        clock: Callable[[], float],
    ) -> None:
        """Ask the holders of `plan`."""
        self._requests = requests
        self._plan = plan
        self._regions = regions
        self._clock = clock
        self._asking: dict[str, asyncio.Task[None]] = {}
        self._not_before: dict[str, float] = {}

    def close(self) -> None:
        """Cancel the questions under way."""
        for task in self._asking.values():
            task.cancel()

    async def prepare(self, group: Group, moment: float) -> None:
        """Learn what covers the commits before `moment`, if the primary is far.

        A read could otherwise only be served by the primary itself. One that must see
        the newest commits gains nothing, and does not wait.
        """
        now = self._clock()
        if moment >= now - MIN_AGE_SECONDS:
            return
        if group.cover(moment) is None:
            question = self._ask(group)
            if question is not None:
                await asyncio.wait((question,), timeout=WAIT_SECONDS)
            return
        known = group.peer_cover
        if known is not None and known.moment < now - REFRESH_SECONDS:
            self._ask(group)

    def _ask(self, group: Group) -> asyncio.Task[None] | None:
        """Return the question under way, or begin one; None if there is nobody."""
        service = group.service
        asking = self._asking.get(service)
        if asking is not None:
            return asking
        address = self._address(group)
        if address is None or self._clock() < self._not_before.get(service, 0.0):
            return None
        self._not_before[service] = self._clock() + RETRY_SECONDS
        task = asyncio.get_running_loop().create_task(self._question(group, address))
        self._asking[service] = task
        task.add_done_callback(lambda _: self._asking.pop(service, None))
        return task

    def _address(self, group: Group) -> str | None:
        """Return the peer to ask, or None if the primary is in this region."""
        members, leader = self._plan.members, group.leader
        if members is None or leader is None:
            return None
        region = self._regions.of(leader.database.availability_zone)
        if region == self._regions.of(members.me.availability_zone):
            return None
        candidates = self._plan.candidates(
            group.service, region, "", self._requests.in_flight
        )
        usable = (each.address for each in candidates)
        return next(
            (each for each in usable if not self._requests.is_avoided(each)), None
        )

    async def _question(self, group: Group, address: str) -> None:
        asked_at = self._clock()
        try:
            reply = await self._requests.send(
                address, PositionRequest(group.service), WAIT_SECONDS
            )
        except PeerError:
            return
        if not isinstance(reply, PositionReply) or reply.age_ms < 0:
            return
        try:
            position = Position.parse(reply.position)
        except ValueError:
            return
        # The peer counted the age when it answered, which was after the question.
        moment = asked_at - reply.age_ms / 1000
        group.record_peer_cover(PeerCover(moment, position))
