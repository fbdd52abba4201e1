"""Events that `membership.decide` takes, and the actions that it returns."""

from dataclasses import dataclass

from beryltiller.core.ports import Host
from beryltiller.membership.members import Members
from beryltiller.membership.messages import Digest, Message, ReplyTo


@dataclass(frozen=True, slots=True)
class Tick:
    """A timer event, due every `TICK_SECONDS`."""


@dataclass(frozen=True, slots=True)
class Received:
    """A request that a peer sent to this proxy, and the address for its answer."""

    message: Message
    reply_to: ReplyTo


@dataclass(frozen=True, slots=True)
class Replied:
    """A peer's answer to a `Request` that this proxy sent at `asked_at`."""

    address: str
    message: Message
    asked_at: float


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's host list; its entry hosts are the seeds of membership."""

    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True)
class LocalVersions:
    """The versions that this proxy announces in gossip.

    The times are the starts, on its own clock, of the last store reads that showed the
    versions to be the newest, or None.
    """

    configuration_version: int = -1
    configuration_confirmed_at: float | None = None
    terms_revision: int = 0
    terms_confirmed_at: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointNote:
    """A report of whether an endpoint is leaving, and its time on this proxy's clock.

    `is_listed` is true if the source is the platform's host list, and false if it is
    the endpoint itself.
    """

    name: str
    is_leaving: bool
    observed_at: float
    is_listed: bool = False

    @property
    def key(self) -> str:
        """The key of the note, distinct for each pair of endpoint and source."""
        return f"list:{self.name}" if self.is_listed else self.name


@dataclass(frozen=True, slots=True)
class Drain:
    """A command to announce that this proxy accepts no new work."""


@dataclass(frozen=True, slots=True)
class Leave:
    """A command to announce that this process is about to end."""


Event = (
    Tick
    | Received
    | Replied
    | HostsListed
    | LocalVersions
    | EndpointNote
    | Drain
    | Leave
)


@dataclass(frozen=True, slots=True)
class Request:
    """A message to send to a peer; its answer, if any, comes back as `Replied`."""

    address: str
    message: Message
    timeout_seconds: float
    asked_at: float


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer to send to a request that came as `Received`."""

    reply_to: ReplyTo
    message: Message


@dataclass(frozen=True, slots=True)
class PublishMembers:
    """A new view of the members, for the rest of the proxy to read."""

    members: Members


@dataclass(frozen=True, slots=True)
class ReportDigest:
    """A peer's digest, for the rest of the proxy.

    The ages in the digest are counted back from `asked_at`; it is None if the digest
    came with a peer's request rather than its answer.
    """

    address: str
    digest: Digest
    asked_at: float | None


@dataclass(frozen=True, slots=True)
class ReportEndpointNote:
    """A new note on an endpoint, received from a peer, for `draining`."""

    note: EndpointNote


Action = Request | Reply | PublishMembers | ReportDigest | ReportEndpointNote
