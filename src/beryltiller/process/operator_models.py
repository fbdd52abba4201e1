"""What a proxy answers on its operators' port, as JSON."""

import msgspec

from beryltiller.observability.traces import SpanModel


class TermModel(msgspec.Struct, frozen=True):
    """Hold a database group's term as the proxy sees it."""

    group: str
    term: int
    primary: str = ""
    state: str = ""


class MemberModel(msgspec.Struct, frozen=True):
    """Hold another proxy as this one sees it; `state` is such as `alive`."""

    name: str
    availability_zone: str = ""
    state: str = ""


class StatusModel(msgspec.Struct, frozen=True):
    """Answer `GET /v1/status`.

    `configuration_version` is 0 while none is in force. Counts are of this proxy
    alone: `connections` to databases, `queued` statements in all its queues, and
    `executing` ones sent and not yet answered.
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
    """Answer `GET /v1/explain/REQUEST`; 404 when the record is gone."""

    request: str
    lines: tuple[str, ...]


class TraceModel(msgspec.Struct, frozen=True):
    """Answer `GET /v1/trace/ID`; empty when no span of it is kept here."""

    spans: tuple[SpanModel, ...] = ()


class FailoverRequestModel(msgspec.Struct, frozen=True):
    """Ask by `POST /v1/failover/GROUP` for a new primary; `to` may be empty."""

    to: str = ""


class FailoverModel(msgspec.Struct, frozen=True):
    """Answer a request for a failover once the new primary is open."""

    group: str
    term: int
    primary: str
