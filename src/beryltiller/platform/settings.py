"""The part of the platform's settings file that the proxy uses."""

import os
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec

from beryltiller.core.addresses import Address
from beryltiller.core.decoding import (
    MAX_NAME_CHARACTERS,
    DecodingError,
    decode_json,
    shorten,
)
from beryltiller.quotas.rules import QuotaRules
from beryltiller.sessions.databases.regions import NO_REGIONS, Regions

SETTINGS_VARIABLE = "BERYLTILLER_SETTINGS"
MAX_DURATION_SECONDS = 86_400
MAX_MEMORY_MB = 1 << 30
# The link that a host of capacity 1 needs beside its one core: 600 statements a second
# of 4 KB each with their replies take about 20 Mbit/s.
STANDARD_LINK_MBPS = 20.0
# The most cores, share of a core, or Mbit/s that the settings may name.
MAX_AMOUNT = 1_000_000
MEGABYTE = 1_000_000

# The port of the peer channel is this much above that of the relay, on all hosts.
PEER_PORT_OFFSET = 1

_Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_SECONDS)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_SECONDS * 1000)]

_Amount = Annotated[float, msgspec.Meta(gt=0, le=MAX_AMOUNT)]


class SettingsFileError(Exception):
    """A settings file that cannot be used; its message names the field and reason."""


class ListenModel(msgspec.Struct, frozen=True):
    """Listen addresses: `front` for callers, `ready` for readiness probes."""

    front: str
    ready: str


class PlatformModel(msgspec.Struct, frozen=True):
    """The address of the platform's metadata store."""

    address: str


class CloudModel(msgspec.Struct, frozen=True):
    """The address at which the platform accepts promotion requests."""

    address: str


class BoundsModel(msgspec.Struct, frozen=True):
    """A stopping proxy's grace period, a draining database's drain period, quotas.

    In any `quota_window_s` an organisation's operations may exceed its limit by
    `quota_overage` of it and by `quota_slack` operations.
    """

    grace_period_s: _Seconds = 6.0
    drain_timeout_ms: _Milliseconds = 7000.0
    quota_window_s: Annotated[float, msgspec.Meta(gt=0, le=3_600)] = 5.0
    quota_overage: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    quota_slack: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] = 20.0


class LimitsModel(msgspec.Struct, frozen=True):
    """Limits of the process; one that uses more than `memory_mb` is killed.

    It may use `cpu_share` of each of `cpu_cores`, and its host's link has `link_mbps`.
    """

    memory_mb: Annotated[float, msgspec.Meta(gt=0, le=MAX_MEMORY_MB)] | None = None
    cpu_share: _Amount | None = None
    cpu_cores: _Amount | None = None
    link_mbps: _Amount | None = None


class FileModel(msgspec.Struct, frozen=True):
    """The settings file; fields that the proxy does not use are ignored.

    `internal_port_range` begins with the port at which this proxy relays changes of the
    store to other proxies; the next one is that of its peer channel. Without a range it
    has neither. `bootstrap` is True only when the whole system starts for the first
    time. `zones` maps availability zones to their regions, and `region` is that
    of this proxy's zone.
    """

    node_name: str
    ip_address: str
    zone: str
    listen_addresses: ListenModel
    platform: PlatformModel
    cloud_api: CloudModel
    bounds: BoundsModel = BoundsModel()
    limits: LimitsModel = LimitsModel()
    heartbeat_interval_ms: _Milliseconds = 1200.0
    internal_port_range: tuple[int, int] | None = None
    bootstrap: bool = False
    region: str | None = None
    zones: dict[str, str] = msgspec.field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The settings of one proxy on the platform.

    Its connections to the store and to databases start from `source_ip`. It must stop
    within `grace_seconds`; a draining database stops after `drain_seconds`, and writes
    its entry every `heartbeat_seconds`. Other proxies receive its relayed changes from
    `relay_address`, and send it requests at `peer_address`, if it has them. `regions`
    are those of all availability zones that the settings name. With `logs_reads` each
    read is logged. Its memory is limited to `memory_bytes`, if known. `quota_rules` say
    by how much an organisation may exceed its limit. With `is_bootstrap` the whole
    system starts for the first time. `capacity` is that of the host, compared to one
    with a single core.
    """

    host_name: str
    source_ip: str
    availability_zone: str
    caller_address: Address
    readiness_address: Address
    store_address: Address
    duty_address: Address
    grace_seconds: float
    drain_seconds: float
    relay_address: Address | None = None
    peer_address: Address | None = None
    logs_reads: bool = False
    heartbeat_seconds: float = 1.2
    memory_bytes: int | None = None
    quota_rules: QuotaRules = field(default_factory=QuotaRules)
    is_bootstrap: bool = False
    regions: Regions = NO_REGIONS
    capacity: float = 1.0


def read_settings_file(path: str) -> PlatformSettings:
    """Read the settings file, or raise `SettingsFileError`."""
    if not path:
        raise SettingsFileError(
            f"${SETTINGS_VARIABLE} is not set and no settings file is given"
        )
    try:
        model = decode_json(Path(path).read_bytes(), FileModel)
    except OSError as error:
        raise SettingsFileError(f"{path}: {error.strerror}") from error
    except DecodingError as error:
        raise SettingsFileError(f"{path}: {error}") from error
    return PlatformSettings(
        host_name=_checked_name("node_name", model.node_name),
        source_ip=model.ip_address,
        availability_zone=model.zone,
        caller_address=_parse_address(
            "listen_addresses.front", model.listen_addresses.front
        ),
        readiness_address=_parse_address(
            "listen_addresses.ready", model.listen_addresses.ready
        ),
        store_address=_parse_remote("platform.address", model.platform.address),
        duty_address=_parse_remote("cloud_api.address", model.cloud_api.address),
        grace_seconds=model.bounds.grace_period_s,
        drain_seconds=model.bounds.drain_timeout_ms / 1000,
        heartbeat_seconds=model.heartbeat_interval_ms / 1000,
        relay_address=_internal_address(model, 0),
        peer_address=_internal_address(model, PEER_PORT_OFFSET),
        memory_bytes=_memory_bytes(model.limits),
        is_bootstrap=model.bootstrap,
        quota_rules=QuotaRules(
            model.bounds.quota_window_s,
            model.bounds.quota_overage,
            model.bounds.quota_slack,
        ),
        regions=_regions(model),
        capacity=_capacity(model.limits),
    )


class SettingsWatch:
    """A detector of changes of the settings file, for use at short intervals."""

    def __init__(self, path: str) -> None:
        """Record the file's present state, with which the first call compares."""
        self._path = path
        self._last_state = self._file_state()

    def has_changed(self) -> bool:
        """Return True if the file has changed since the last call."""
        previous, self._last_state = self._last_state, self._file_state()
        return self._last_state != previous

    def _file_state(self) -> tuple[int, int, int] | None:
        """Return values that differ after a change of the file; None without a file."""
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino


def _memory_bytes(limits: LimitsModel) -> int | None:
    return None if limits.memory_mb is None else int(limits.memory_mb * MEGABYTE)


def _regions(model: FileModel) -> Regions:
    """Return the regions of the zones; that of the own zone may be named on its own.

    Raise `SettingsFileError` if the two name different regions of it.
    """
    if model.region is None:
        return Regions(model.zones)
    if model.zones.get(model.zone, model.region) != model.region:
        raise SettingsFileError(
            f"region: {shorten(model.region)!r} is not that of the zone in zones"
        )
    return Regions({**model.zones, model.zone: model.region})


def _capacity(limits: LimitsModel) -> float:
    """Return the capacity of the host: its cores, or its link if that allows less.

    It is 1.0 if the limits name neither.
    """
    share = 1.0 if limits.cpu_share is None else limits.cpu_share
    cores = 1.0 if limits.cpu_cores is None else limits.cpu_cores
    if limits.link_mbps is None:
        return share * cores
    return min(share * cores, limits.link_mbps / STANDARD_LINK_MBPS)


def _internal_address(model: FileModel, offset: int) -> Address | None:
    """Return the address at an internal port, or None if the file has too few."""
    if model.internal_port_range is None:
        return None
    first, last = model.internal_port_range
    if offset and first + offset > last:
        return None
    return _parse_remote("internal_port_range", f"{model.ip_address}:{first + offset}")


def _checked_name(field: str, text: str) -> str:
    """Return a name, unless a header or a row of the store would not keep it."""
    is_kept = text.isprintable() and text == text.strip()
    if not 0 < len(text) <= MAX_NAME_CHARACTERS or not is_kept:
        raise SettingsFileError(
            f"{field}: {shorten(text)!r} is empty, too long, or contains blanks at an"
            " end or unprintable characters"
        )
    return text


def _parse_address(field: str, text: str) -> Address:
    return _parse(field, text, Address.parse)


def _parse_remote(field: str, text: str) -> Address:
    return _parse(field, text, Address.parse_remote)


def _parse(field: str, text: str, parse: Callable[[str], Address]) -> Address:
    try:
        return parse(text)
    except ValueError as error:
        raise SettingsFileError(f"{field}: {error}") from error
