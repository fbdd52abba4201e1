"""JSON bodies of the requests and answers on a proxy's operator address."""

import msgspec

from beryltiller.observability.traces import SpanModel


class TermModel(msgspec.Struct, frozen=True):
    """The newest term of a database group that the proxy knows, with its primary."""

    group: str
    term: int
    primary: str = ""
    state: str = ""


class MemberModel(msgspec.Struct, frozen=True):
    """A proxy as this one's membership lists it; `state` is, for example, `alive`."""

    name: str
    availability_zone: str = ""
    state: str = ""


class StatusModel(msgspec.Struct, frozen=True):
    """The answer to `GET /v1/status`.

    `configuration_version` is 0 while no configuration is in force. The counts are
    those of this proxy alone: `connections` to databases, `queued` statements in all
    of its queues, `executing` statements that were sent and not yet answered, and
    callers' requests `in_flight`.
    """

    proxy: str
    availability_zone: str = ""
    is_ready: bool = False
    is_draining: bool = False
    configuration_version: int = 0
    terms: tuple[TermModel, ...] = ()
    members: tuple[MemberModel, ...] = ()
    connections: int = 0
    queued: int = 0
    executing: int = 0
    in_flight: int = 0


class ExplanationModel(msgspec.Struct, frozen=True):
    """The answer to `GET /v1/explain/REQUEST`; 404 if the record is no longer kept."""

    request: str
    lines: tuple[str, ...]


class TraceModel(msgspec.Struct, frozen=True):
    """The answer to `GET /v1/trace/ID`; empty if this proxy keeps no span of it."""

    spans: tuple[SpanModel, ...] = ()


class FailoverRequestModel(msgspec.Struct, frozen=True):
    """The body of `POST /v1/failover/GROUP`, which requests a new primary.

    With an empty `to`, the proxy chooses the database.
    """

    to: str = ""


class FailoverModel(msgspec.Struct, frozen=True):
    """The answer to a request for a failover, sent once the new primary is open."""

    group: str
    term: int
    primary: str
