"""The platform's settings file, as far as the proxy needs it."""

import os
from dataclasses import dataclass
from pathlib import Path

import msgspec

from beryltiller.core.addresses import Address

SETTINGS_VARIABLE = "BERYLTILLER_SETTINGS"


class SettingsFileError(Exception):
    """Report a settings file that cannot be used, by field and reason."""


class ListenModel(msgspec.Struct, frozen=True):
    """Addresses of what the process serves; `front` is for callers."""

    front: str
    ready: str


class PlatformModel(msgspec.Struct, frozen=True):
    """The metadata store."""

    address: str


class CloudModel(msgspec.Struct, frozen=True):
    """Where promotions are asked for."""

    address: str


class BoundsModel(msgspec.Struct, frozen=True):
    """Bounds of the rules."""

    grace_period_s: float = 6.0
    drain_timeout_ms: float = 7000.0


class FileModel(msgspec.Struct, frozen=True):
    """The settings file; fields that are not needed are passed over."""

    node_name: str
    ip_address: str
    zone: str
    listen_addresses: ListenModel
    platform: PlatformModel
    cloud_api: CloudModel
    bounds: BoundsModel = BoundsModel()
    internal_port_range: tuple[int, int] | None = None


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What one proxy on the platform is told at its start.

    Other proxies hear it at `relay_address`, if it has one.
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


def read_settings_file(path: str) -> PlatformSettings:
    """Return the settings, or raise `SettingsFileError`."""
    if not path:
        raise SettingsFileError(f"${SETTINGS_VARIABLE}: no settings file is named")
    try:
        model = msgspec.json.decode(Path(path).read_bytes(), type=FileModel)
    except OSError as error:
        raise SettingsFileError(f"{path}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise SettingsFileError(f"{path}: {error}") from error
    return PlatformSettings(
        host_name=model.node_name,
        source_ip=model.ip_address,
        availability_zone=model.zone,
        caller_address=_address("listen_addresses.front", model.listen_addresses.front),
        readiness_address=_address(
            "listen_addresses.ready", model.listen_addresses.ready
        ),
        store_address=_address("platform.address", model.platform.address),
        duty_address=_address("cloud_api.address", model.cloud_api.address),
        grace_seconds=model.bounds.grace_period_s,
        drain_seconds=model.bounds.drain_timeout_ms / 1000,
        relay_address=_relay_address(model),
    )


class SettingsWatch:
    """Tell when the settings file has changed, as it may without a signal."""

    def __init__(self, path: str) -> None:
        """Take the file as it is now for known."""
        self._path = path
        self._seen = self._state()

    def look(self) -> bool:
        """Tell whether the file has changed since the last look."""
        seen, self._seen = self._seen, self._state()
        return self._seen != seen

    def _state(self) -> tuple[int, int, int] | None:
        """Return what a change of the file changes, or None without a file."""
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino


def _relay_address(model: FileModel) -> Address | None:
    """Return where other proxies hear this one, if a port is free for that."""
    if model.internal_port_range is None:
        return None
    port, _ = model.internal_port_range
    return _address("internal_port_range", f"{model.ip_address}:{port}")


def _address(field: str, text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as error:
        raise SettingsFileError(f"{field}: {error}") from error
