"""Log lines: one JSON object for each change of state, written by eliot.

Statements are counted, not logged. Each event is a data class; its message type
is `beryltiller:` and the class's name in lower case with underscores, and its
fields are the line's fields.

    {"message_type": "beryltiller:term_changed", "group": "g1", "term": 4, ...}
"""

import re
from collections.abc import Iterator
from dataclasses import asdict, dataclass, fields
from typing import TextIO, get_args

import eliot

_PREFIX = "beryltiller:"
_WORD_START = re.compile(r"(?<=[a-z])(?=[A-Z])")


@dataclass(frozen=True, slots=True)
class Started:
    """The process listens, and is not ready yet."""

    host_name: str
    availability_zone: str
    release: str
    caller_address: str
    operator_address: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class Ready:
    """A configuration is in force; callers are served."""

    configuration_version: int


@dataclass(frozen=True, slots=True)
class Draining:
    """New requests are refused; those in flight are finished."""

    cause: str
    in_flight: int


@dataclass(frozen=True, slots=True)
class Stopped:
    """The process ends; `cut_requests` were still in flight at the deadline."""

    cause: str
    cut_requests: int


@dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """A newer configuration is in force; `source` is `store` or a peer's name."""

    version: int
    source: str


@dataclass(frozen=True, slots=True)
class ConfigurationRefused:
    """A newer configuration is invalid; the one before stays in force."""

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class TermChanged:
    """A group has a newer term, or its term's primary has opened."""

    group: str
    term: int
    primary: str
    state: str


@dataclass(frozen=True, slots=True)
class PromotionStarted:
    """This proxy began to promote a primary."""

    group: str
    term: int
    cause: str


@dataclass(frozen=True, slots=True)
class PromotionEnded:
    """This proxy's promotion opened `primary`, or was given up for `cause`."""

    group: str
    term: int
    primary: str
    cause: str
    duration_seconds: float


@dataclass(frozen=True, slots=True)
class MemberUp:
    """A proxy joined, or was reached again."""

    member: str
    availability_zone: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class MemberDown:
    """A proxy left, or refuted no suspicion in time."""

    member: str
    availability_zone: str
    cause: str


@dataclass(frozen=True, slots=True)
class EndpointLeaving:
    """A database is leaving and gets no new work; `source` told of it."""

    database: str
    source: str


@dataclass(frozen=True, slots=True)
class StoreReachable:
    """The table service answers again."""

    outage_seconds: float


@dataclass(frozen=True, slots=True)
class StoreUnreachable:
    """The table service has stopped answering."""

    reason: str


@dataclass(frozen=True, slots=True)
class FeedLost:
    """A table of the store can no longer be followed; its last state is used."""

    table: str
    reason: str


@dataclass(frozen=True, slots=True)
class FeedRegained:
    """A table of the store is followed again."""

    table: str
    failures: int


@dataclass(frozen=True, slots=True)
class PostTaken:
    """This proxy follows the store for others from now on, in `former`'s place."""

    post: str
    former: str


@dataclass(frozen=True, slots=True)
class RelayMessageRefused:
    """A message of another proxy cannot be read; it is dropped."""

    reason: str


@dataclass(frozen=True, slots=True)
class EntryRefused:
    """A row of the store cannot be used; the others are."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """Another database is believed to lead a service."""

    service: str
    leader: str
    term: int


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The promotion duty could not be claimed for a service."""

    service: str
    reason: str


@dataclass(frozen=True, slots=True)
class SuccessionStarted:
    """This proxy holds the promotion duty and replaces a service's primary."""

    service: str
    token: int
    cause: str


@dataclass(frozen=True, slots=True)
class ReplicasFenced:
    """Databases were asked to pause; `positions` are those that they received."""

    service: str
    term: int
    positions: str


@dataclass(frozen=True, slots=True)
class PromotionAsked:
    """The platform was asked to promote a database."""

    service: str
    successor: str
    is_accepted: bool
    reason: str


@dataclass(frozen=True, slots=True)
class CommandFailed:
    """A database did not carry out a command of a succession."""

    database: str
    command: str
    reason: str


@dataclass(frozen=True, slots=True)
class IsolationChanged:
    """The proxy finds itself cut off and sends callers elsewhere, or no longer so.

    Of `services`, `whole` had a majority of their databases within reach when last
    asked.
    """

    is_isolated: bool
    whole: int
    services: int


@dataclass(frozen=True, slots=True)
class WorkFailed:
    """A piece of the proxy's own work failed and is tried again later."""

    work: str
    reason: str


Event = (
    Started
    | Ready
    | Draining
    | Stopped
    | ConfigurationInForce
    | ConfigurationRefused
    | TermChanged
    | PromotionStarted
    | PromotionEnded
    | MemberUp
    | MemberDown
    | EndpointLeaving
    | StoreReachable
    | StoreUnreachable
    | FeedLost
    | FeedRegained
    | PostTaken
    | RelayMessageRefused
    | EntryRefused
    | LeaderChanged
    | ClaimRefused
    | SuccessionStarted
    | ReplicasFenced
    | PromotionAsked
    | CommandFailed
    | IsolationChanged
    | WorkFailed
)


def log_to(stream: TextIO) -> None:
    """Write every event from now on to the stream, one JSON object a line."""
    eliot.to_file(stream)


def log(event: Event) -> None:
    """Write one event."""
    eliot.log_message(message_type=message_type(type(event)), **asdict(event))


def message_type(kind: type[Event]) -> str:
    """Return the message type of an event's class.

    >>> message_type(StoreUnreachable)
    'beryltiller:store_unreachable'
    """
    return _PREFIX + _WORD_START.sub("_", kind.__name__).lower()


def message_rows() -> Iterator[tuple[str, str, str]]:
    """Yield each message type, its fields and its meaning."""
    for kind in get_args(Event):
        names = ", ".join(item.name for item in fields(kind))
        yield message_type(kind), names, kind.__doc__ or ""
