"""Events and actions of membership."""

from dataclasses import dataclass

from beryltiller.core.ports import Host
from beryltiller.membership.members import Members
from beryltiller.membership.messages import Digest, Message, ReplyTo


@dataclass(frozen=True, slots=True)
class Tick:
    """Let time pass; due every `TICK_SECONDS`."""


@dataclass(frozen=True, slots=True)
class Received:
    """Hold a message from a peer that awaits an answer."""

    message: Message
    reply_to: ReplyTo


@dataclass(frozen=True, slots=True)
class Replied:
    """Hold a peer's answer to a message sent at `asked_at`."""

    address: str
    message: Message
    asked_at: float


@dataclass(frozen=True, slots=True)
class HostsListed:
    """Hold the platform's list, whose entry hosts are the seeds."""

    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True)
class Facts:
    """Hold what this proxy tells of itself; times are of its own clock."""

    configuration_version: int = -1
    configuration_confirmed_at: float | None = None
    terms_revision: int = 0
    terms_confirmed_at: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointNote:
    """Hold whether an endpoint is leaving, and when that was seen on our clock.

    `is_listed` tells the word of the platform's list from the endpoint's own.
    """

    name: str
    is_leaving: bool
    observed_at: float
    is_listed: bool = False

    @property
    def key(self) -> str:
        """Return what tells the notes of both kinds about all endpoints apart."""
        return f"list:{self.name}" if self.is_listed else self.name


@dataclass(frozen=True, slots=True)
class Drain:
    """Tell the others that this proxy takes no new work."""


@dataclass(frozen=True, slots=True)
class Leave:
    """Tell the others that this process ends."""


Event = Tick | Received | Replied | HostsListed | Facts | EndpointNote | Drain | Leave


@dataclass(frozen=True, slots=True)
class Request:
    """Send a message and return the answer, if any, as `Replied`."""

    address: str
    message: Message
    timeout_seconds: float
    asked_at: float


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a received message."""

    reply_to: ReplyTo
    message: Message


@dataclass(frozen=True, slots=True)
class PublishMembers:
    """Replace the view of the members that others read."""

    members: Members


@dataclass(frozen=True, slots=True)
class ReportDigest:
    """Pass on what a peer holds; ages are dated from `asked_at` when it is known."""

    address: str
    digest: Digest
    asked_at: float | None


@dataclass(frozen=True, slots=True)
class ReportEndpoint:
    """Pass on a peer's news of an endpoint."""

    note: EndpointNote


Action = Request | Reply | PublishMembers | ReportDigest | ReportEndpoint
