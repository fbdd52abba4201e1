"""Gossip: carries out what membership decides, over the peer sockets."""

from collections.abc import Callable
from dataclasses import dataclass

from beryltiller.adapters.channels import PeerError
from beryltiller.adapters.peers import Peers
from beryltiller.membership.members import Members
from beryltiller.membership.membership_events import (
    Action,
    EndpointNote,
    PublishMembers,
    Replied,
    Reply,
    ReportDigest,
    ReportEndpointNote,
    Request,
)
from beryltiller.membership.messages import MembersRequest, Message, Ping, PingRequest


@dataclass(frozen=True, slots=True)
class MembershipOutlets:
    """Hold what is called with membership's results; none of them may block."""

    publish: Callable[[Members], None]
    report_digest: Callable[[ReportDigest], None]
    report_endpoint: Callable[[EndpointNote], None]


def is_for_membership(message: Message) -> bool:
    """Tell whether a received request is one that membership answers."""
    return isinstance(message, Ping | PingRequest | MembersRequest)


class MembershipIO:
    """Perform membership's actions on the event loop's thread."""

    def __init__(self, peers: Peers, outlets: MembershipOutlets) -> None:
        """Keep the sockets and the outlets."""
        self._peers = peers
        self._outlets = outlets

    async def perform(self, action: Action) -> Replied | None:
        """Carry out one action, and return the event it leads to, if any."""
        match action:
            case Request():
                return await self._request(action)
            case Reply(reply_to, message):
                self._peers.reply(reply_to, message)
            case PublishMembers(members):
                self._outlets.publish(members)
            case ReportDigest():
                self._outlets.report_digest(action)
            case ReportEndpointNote(note):
                self._outlets.report_endpoint(note)
        return None

    async def _request(self, action: Request) -> Replied | None:
        try:
            message = await self._peers.request(
                action.address, action.message, action.timeout_seconds
            )
        except PeerError:
            return None
        return Replied(action.address, message, action.asked_at)
