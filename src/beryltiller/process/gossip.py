"""I/O of the membership part, which gossips over the peer sockets."""

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
class MembershipCallbacks:
    """The functions that receive the results of membership; none of them may block."""

    publish: Callable[[Members], None]
    report_digest: Callable[[ReportDigest], None]
    report_endpoint: Callable[[EndpointNote], None]


def is_for_membership(message: Message) -> bool:
    """Return True if the membership part answers this request of a peer."""
    return isinstance(message, Ping | PingRequest | MembersRequest)


class MembershipIO:
    """The I/O of the membership part; it runs on the event loop's thread."""

    def __init__(self, peers: Peers, callbacks: MembershipCallbacks) -> None:
        """Set the peer sockets and the functions for results."""
        self._peers = peers
        self._callbacks = callbacks

    async def perform(self, action: Action) -> Replied | None:
        """Perform one action and return the event that results, if any.

        A request that fails results in no event.
        """
        match action:
            case Request():
                return await self._send_request(action)
            case Reply(reply_to, message):
                self._peers.reply(reply_to, message)
            case PublishMembers(members):
                self._callbacks.publish(members)
            case ReportDigest():
                self._callbacks.report_digest(action)
            case ReportEndpointNote(note):
                self._callbacks.report_endpoint(note)
        return None

    async def _send_request(self, action: Request) -> Replied | None:
        try:
            message = await self._peers.request(
                action.address, action.message, action.timeout_seconds
            )
        except PeerError:
            return None
        return Replied(action.address, message, action.asked_at)
