"""Settings of a proxy: the one table of them, and their validated form.

`Settings` is the table. Each field gives a setting's name with its unit, its
type and limits, its default and its meaning. From it come the flag
(`--lease-seconds`), the environment variable (`BERYLTILLER_LEASE_SECONDS`), the
validating model and the page docs/SETTINGS.md. A secret has no flag of its own:
it is read from its environment variable, or from the file named by
`--token-signing-key-file` or `BERYLTILLER_TOKEN_SIGNING_KEY_FILE`.
"""

from collections.abc import Iterator
from dataclasses import MISSING, Field, dataclass, field, fields
from functools import cache
from types import UnionType
from typing import Annotated, Any, Union, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Meta

from beryltiller.core.addresses import Address

ENVIRONMENT_PREFIX = "BERYLTILLER_"
FILE_SUFFIX = "_file"

_KIBIBYTE = 1024
_MEBIBYTE = 1024 * _KIBIBYTE
_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
_CURVE_KEY_PATTERN = r"^[0-9A-Za-z.\-:+=^!/*?&<>()\[\]{}@%$#]{40}$"
_PATTERN_MEANINGS = {
    _NAME_PATTERN: "1 to 64 letters, digits, dots, dashes and underscores",
    _CURVE_KEY_PATTERN: "40 characters of Z85",
}

Name = Annotated[str, Meta(pattern=_NAME_PATTERN)]
Interval = Annotated[float, Meta(ge=0.01, le=3600.0)]
Milliseconds = Annotated[int, Meta(ge=1, le=60_000)]
Bytes = Annotated[int, Meta(ge=_KIBIBYTE, le=64 * _MEBIBYTE)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Ratio = Annotated[int, Meta(ge=0, le=1_000_000)]
_SECRET = {"is_secret": True}
SigningKey = Annotated[str, Meta(min_length=32, max_length=256, extra=_SECRET)]
CurveKey = Annotated[str, Meta(pattern=_CURVE_KEY_PATTERN)]
CurveSecretKey = Annotated[str, Meta(pattern=_CURVE_KEY_PATTERN, extra=_SECRET)]


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Hold everything that a proxy is told at its start."""

    host_name: Annotated[Name, Meta(description="unique name of this host")]
    availability_zone: Annotated[
        Name,
        Meta(description="availability zone of this host"),
    ]
    caller_address: Annotated[
        Address,
        Meta(
            description="ip:port for callers; outgoing connections start from its IP"
            " number"
        ),
    ]
    operator_address: Annotated[
        Address,
        Meta(description="ip:port for operators and health checks"),
    ]
    peer_address: Annotated[Address, Meta(description="ip:port for other proxies")]
    platform_address: Annotated[
        Address,
        Meta(description="ip:port of the platform's services"),
    ]
    statsd_address: Annotated[
        Address | None,
        Meta(
            description="ip:port of the statsd server; without one no counters are"
            " sent"
        ),
    ] = None
    trace_sampling_interval: Annotated[
        Ratio,
        Meta(
            description="one request in this many is traced; 0 traces only those that"
            " ask for it"
        ),
    ] = 100
    lease_seconds: Annotated[
        Interval,
        Meta(description="age at which evidence that a term is in force lapses"),
    ] = 1.0
    evidence_interval_seconds: Annotated[
        Interval,
        Meta(description="time between two renewals of that evidence"),
    ] = 0.25
    detection_timeout_seconds: Annotated[
        Interval,
        Meta(description="silence of a primary after which it is suspected"),
    ] = 0.5
    host_list_poll_seconds: Annotated[
        Interval,
        Meta(description="time between two reads of the platform's host list"),
    ] = 1.0
    max_answer_bytes: Annotated[
        Bytes,
        Meta(description="size past which an answer is refused whole"),
    ] = _MEBIBYTE
    pool_queue_length: Annotated[
        Count,
        Meta(description="statements that may wait in each pool's queue"),
    ] = 1000
    replica_wait_ms: Annotated[
        Milliseconds,
        Meta(description="time that a read may wait for a replica to catch up"),
    ] = 50
    connect_timeout_seconds: Annotated[
        Interval,
        Meta(description="time to open a connection to a database or to the platform"),
    ] = 1.0
    drain_timeout_seconds: Annotated[
        Interval,
        Meta(description="time for requests in flight to end once the proxy drains"),
    ] = 30.0
    token_signing_key: Annotated[
        SigningKey,
        Meta(description="key that signs session tokens, the same on every proxy"),
    ] = field(repr=False)
    token_signing_key_previous: Annotated[
        SigningKey | None,
        Meta(description="key before the current one; its tokens are still accepted"),
    ] = field(default=None, repr=False)
    curve_server_public_key: Annotated[
        CurveKey,
        Meta(
            description="CURVE public key that proxies expect of each other, the same"
            " on all"
        ),
    ]
    curve_server_secret_key: Annotated[
        CurveSecretKey,
        Meta(description="CURVE secret key of that pair"),
    ] = field(repr=False)
    curve_client_public_key: Annotated[
        CurveKey,
        Meta(
            description="CURVE public key that a proxy accepts from those that"
            " connect to it"
        ),
    ]
    curve_client_secret_key: Annotated[
        CurveSecretKey,
        Meta(description="CURVE secret key of that pair"),
    ] = field(repr=False)

    @property
    def source_ip(self) -> str:
        """Return the IP number from which outgoing connections are made."""
        return self.caller_address.ip


@dataclass(frozen=True, slots=True)
class Definition:
    """Describe one setting, as flags, environment and documents show it."""

    name: str
    type: Any
    default: Any
    meaning: str
    is_secret: bool

    @property
    def is_required(self) -> bool:
        """Tell whether the proxy cannot start without it."""
        return self.default is MISSING

    @property
    def is_address(self) -> bool:
        """Tell whether the value is an address."""
        return _base(self.type) is Address

    @property
    def flag(self) -> str:
        """Return the command line's flag; a secret's names a file."""
        suffix = FILE_SUFFIX if self.is_secret else ""
        return "--" + (self.name + suffix).replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def file_variable(self) -> str:
        """Return the environment variable that names a secret's file."""
        return self.variable + FILE_SUFFIX.upper()

    @property
    def limits(self) -> str:
        """Return the type and limits, such as `float, 0.01 to 3600.0`."""
        return ", ".join(_limits(self.type))


@cache
def definitions() -> tuple[Definition, ...]:
    """Return the definition of every setting, in the order of the table."""
    types = get_type_hints(Settings, include_extras=True)
    return tuple(_definition(item, types[item.name]) for item in fields(Settings))


def _definition(item: Field[Any], kind: Any) -> Definition:
    metas = tuple(_metas(kind))
    return Definition(
        name=item.name,
        type=kind,
        default=item.default,
        meaning=next(meta.description for meta in metas if meta.description),
        is_secret=any(meta.extra == _SECRET for meta in metas),
    )


def _metas(kind: Any) -> Iterator[Meta]:
    """Yield the annotations of a type and of its alternatives."""
    for argument in get_args(kind):
        if isinstance(argument, Meta):
            yield argument
        else:
            yield from _metas(argument)


def _base(kind: Any) -> Any:
    """Return the plain type of `Annotated[T | None, ...]`."""
    if get_origin(kind) in (Annotated, UnionType, Union):
        return _base(get_args(kind)[0])
    return kind


def _limits(kind: Any) -> Iterator[str]:
    base = _base(kind)
    yield {str: "text", Address: "ip:port"}.get(base, base.__name__)
    for meta in _metas(kind):
        if meta.ge is not None:
            yield f"{meta.ge} to {meta.le}"
        if meta.min_length is not None:
            yield f"{meta.min_length} to {meta.max_length} characters"
        if meta.pattern is not None:
            yield _PATTERN_MEANINGS[meta.pattern]


@cache
def settings_model() -> type[msgspec.Struct]:
    """Return the model that validates raw settings; built from the table."""
    required = [item for item in definitions() if item.is_required]
    optional = [item for item in definitions() if not item.is_required]
    return msgspec.defstruct(
        "SettingsModel",
        [(item.name, item.type) for item in required]
        + [(item.name, item.type, item.default) for item in optional],
        kw_only=True,
        frozen=True,
        forbid_unknown_fields=True,
    )
