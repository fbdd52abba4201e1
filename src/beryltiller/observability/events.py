"""Log events of a process, its configuration, terms and peers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Started:
    """The process listens on its addresses but is not ready for callers yet."""

    host_name: str
    availability_zone: str
    release: str
    caller_address: str
    # On the users' platform, the address for readiness probes.
    operator_address: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class Ready:
    """The proxy has a configuration in force and serves callers."""

    configuration_version: int


@dataclass(frozen=True, slots=True)
class Draining:
    """The proxy drains; `in_flight` counts its requests or callers' connections."""

    cause: str
    # On the users' platform, callers' connections; otherwise requests.
    in_flight: int


@dataclass(frozen=True, slots=True)
class Stopped:
    """The process ends; `cut_requests` is the number of requests without an answer."""

    cause: str
    cut_requests: int


@dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """A newer configuration is in force; `source` is `store` or `adopted`."""

    version: int
    # `store` on the users' platform, otherwise `adopted`.
    source: str


@dataclass(frozen=True, slots=True)
class ConfigurationRefused:
    """A newer configuration is invalid; the previous one stays in force."""

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class TermChanged:
    """A group has a newer term, or the state of its term changed to `state`."""

    group: str
    term: int
    primary: str
    state: str


@dataclass(frozen=True, slots=True)
class PromotionStarted:
    """This proxy began to promote a primary; `cause` is the promotion's first step."""

    group: str
    term: int
    cause: str


@dataclass(frozen=True, slots=True)
class PromotionEnded:
    """This proxy's promotion ended; `cause` is its last step, `done` or `abandoned`."""

    group: str
    term: int
    # `opened` after `done`, else empty.
    primary: str
    cause: str
    duration_seconds: float


@dataclass(frozen=True, slots=True)
class MemberUp:
    """Another proxy joined, or is reachable again."""

    member: str
    availability_zone: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class MemberDown:
    """Another proxy left, or was suspected and did not refute it in time."""

    member: str
    availability_zone: str
    # Always `gone`, for a member that left as for one that was suspected.
    cause: str


@dataclass(frozen=True, slots=True)
class EndpointLeaving:
    """A database is leaving and gets no new statements; `source` is always `news`."""

    database: str
    source: str


@dataclass(frozen=True, slots=True)
class StoreReachable:
    """The platform's table service, object store or host list answers again."""

    outage_seconds: float


@dataclass(frozen=True, slots=True)
class StoreUnreachable:
    """The platform's table service, object store or host list stopped answering."""

    reason: str


@dataclass(frozen=True, slots=True)
class WorkFailed:
    """The task or function `work` failed; periodic work is tried again later."""

    work: str
    reason: str
