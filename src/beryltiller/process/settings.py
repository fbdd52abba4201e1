"""The settings of a proxy: their names, types, limits, defaults and descriptions.

Each field of `Settings` defines one setting; its name includes the unit. The
command-line flag (`--lease-seconds`), the environment variable
(`BERYLTILLER_LEASE_SECONDS`), the validating model and the page docs/SETTINGS.md are
derived from the field. A secret has no flag for its value: it is read from its
environment variable, or from the file named by `--token-signing-key-file` or
`BERYLTILLER_TOKEN_SIGNING_KEY_FILE`.
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
_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z"
_CURVE_KEY_PATTERN = r"^[0-9A-Za-z.\-:+=^!/*?&<>()\[\]{}@%$#]{40}\Z"
_PATTERN_DESCRIPTIONS = {
    _NAME_PATTERN: "1 to 64 letters, digits, dots, dashes and underscores",
    _CURVE_KEY_PATTERN: "40 characters of Z85",
}

Name = Annotated[str, Meta(pattern=_NAME_PATTERN)]
Interval = Annotated[float, Meta(ge=0.01, le=3600.0)]
Milliseconds = Annotated[int, Meta(ge=1, le=60_000)]
Bytes = Annotated[int, Meta(ge=_KIBIBYTE, le=64 * _MEBIBYTE)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
SamplingInterval = Annotated[int, Meta(ge=0, le=1_000_000)]
_SECRET = {"is_secret": True}
SigningKey = Annotated[str, Meta(min_length=32, max_length=256, extra=_SECRET)]
CurveKey = Annotated[str, Meta(pattern=_CURVE_KEY_PATTERN)]
CurveSecretKey = Annotated[str, Meta(pattern=_CURVE_KEY_PATTERN, extra=_SECRET)]


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """The validated settings with which a proxy is started."""

    host_name: Annotated[Name, Meta(description="unique name of this host")]
    availability_zone: Annotated[
        Name,
        Meta(description="availability zone of this host"),
    ]
    caller_address: Annotated[
        Address,
        Meta(
            description="ip:port for callers; outgoing connections use its IP address"
            " as their source"
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
        Meta(description="ip:port of the statsd server; if unset, no metrics are sent"),
    ] = None
    trace_sampling_interval: Annotated[
        SamplingInterval,
        Meta(
            description="one request in this many is traced; 0 traces only requests"
            " that ask for it"
        ),
    ] = 100
    lease_seconds: Annotated[
        Interval,
        Meta(description="age at which the evidence that a term is in force lapses"),
    ] = 1.0
    evidence_interval_seconds: Annotated[
        Interval,
        Meta(
            description="time between two renewals of the evidence that a term is in"
            " force"
        ),
    ] = 0.25
    detection_timeout_seconds: Annotated[
        Interval,
        Meta(
            description="time without an answer from a primary after which it is"
            " suspected"
        ),
    ] = 0.5
    host_list_poll_seconds: Annotated[
        Interval,
        Meta(description="time between two reads of the platform's host list"),
    ] = 1.0
    max_answer_bytes: Annotated[
        Bytes,
        Meta(
            description="maximum size of a database's answer; a larger one counts as"
            " lost"
        ),
    ] = _MEBIBYTE
    pool_queue_length: Annotated[
        Count,
        Meta(description="statements that may wait in each database's queue"),
    ] = 1000
    replica_wait_ms: Annotated[
        Milliseconds,
        Meta(description="time that a read may wait for a replica to catch up"),
    ] = 50
    connect_timeout_seconds: Annotated[
        Interval,
        Meta(description="time to open a connection to a database"),
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
        Meta(description="previous signing key, whose tokens are still accepted"),
    ] = field(default=None, repr=False)
    curve_server_public_key: Annotated[
        CurveKey,
        Meta(
            description="CURVE public key that proxies expect of the peers they connect"
            " to, the same on all proxies"
        ),
    ]
    curve_server_secret_key: Annotated[
        CurveSecretKey,
        Meta(description="CURVE secret key of curve_server_public_key"),
    ] = field(repr=False)
    curve_client_public_key: Annotated[
        CurveKey,
        Meta(
            description="CURVE public key that a proxy accepts from the peers that"
            " connect to it"
        ),
    ]
    curve_client_secret_key: Annotated[
        CurveSecretKey,
        Meta(description="CURVE secret key of curve_client_public_key"),
    ] = field(repr=False)

    @property
    def source_ip(self) -> str:
        """Return the source IP address of outgoing connections."""
        return self.caller_address.ip


@dataclass(frozen=True, slots=True)
class SettingDefinition:
    """The definition of one setting, from which flags and documents are generated."""

    name: str
    type: Any
    default: Any
    meaning: str
    is_secret: bool

    @property
    def is_required(self) -> bool:
        """Return True if the setting has no default."""
        return self.default is MISSING

    @property
    def is_address(self) -> bool:
        """Return True if the value is an `Address`, which is written as ip:port."""
        return _plain_type(self.type) is Address

    @property
    def flag(self) -> str:
        """Return the command-line flag; for a secret, the one that names its file."""
        suffix = FILE_SUFFIX if self.is_secret else ""
        return "--" + (self.name + suffix).replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the name of the environment variable that has the value."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def file_variable(self) -> str:
        """Return the name of the environment variable that has a secret's file name."""
        return self.variable + FILE_SUFFIX.upper()

    @property
    def limits(self) -> str:
        """Return the type and limits, such as `float, 0.01 to 3600.0`."""
        return ", ".join(_describe_limits(self.type))


@cache
def setting_definitions() -> tuple[SettingDefinition, ...]:
    """Return the definitions of all settings, in the order of the fields."""
    types = get_type_hints(Settings, include_extras=True)
    return tuple(_definition(item, types[item.name]) for item in fields(Settings))


def _definition(item: Field[Any], kind: Any) -> SettingDefinition:
    metas = tuple(_meta_annotations(kind))
    return SettingDefinition(
        name=item.name,
        type=kind,
        default=item.default,
        meaning=next(meta.description for meta in metas if meta.description),
        is_secret=any(meta.extra == _SECRET for meta in metas),
    )


def _meta_annotations(kind: Any) -> Iterator[Meta]:
    """Yield the `Meta` annotations of a type and, recursively, of its arguments."""
    for argument in get_args(kind):
        if isinstance(argument, Meta):
            yield argument
        else:
            yield from _meta_annotations(argument)


def _plain_type(kind: Any) -> Any:
    """Return the unannotated type T of a type such as `Annotated[T | None, ...]`."""
    if get_origin(kind) in (Annotated, UnionType, Union):
        return _plain_type(get_args(kind)[0])
    return kind


def _describe_limits(kind: Any) -> Iterator[str]:
    base = _plain_type(kind)
    yield {str: "text", Address: "ip:port"}.get(base, base.__name__)
    for meta in _meta_annotations(kind):
        if meta.ge is not None:
            yield f"{meta.ge} to {meta.le}"
        if meta.min_length is not None:
            yield f"{meta.min_length} to {meta.max_length} characters"
        if meta.pattern is not None:
            yield _PATTERN_DESCRIPTIONS[meta.pattern]


@cache
def settings_model() -> type[msgspec.Struct]:
    """Return the model that validates raw values, built from the definitions."""
    required = [item for item in setting_definitions() if item.is_required]
    optional = [item for item in setting_definitions() if not item.is_required]
    return msgspec.defstruct(
        "SettingsModel",
        [(item.name, item.type) for item in required]
        + [(item.name, item.type, item.default) for item in optional],
        kw_only=True,
        frozen=True,
        forbid_unknown_fields=True,
    )
