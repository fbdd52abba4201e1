"""Reading of settings from flags, environment variables and files of secrets.

A flag takes precedence over an environment variable, and that over the default. Every
problem is reported as a `SettingsError` with the field and the reason, which never
includes the value of a secret.
"""

import argparse
import errno
import re
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from enum import Enum, unique
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from beryltiller.core.addresses import Address
from beryltiller.process.settings import (
    ENVIRONMENT_PREFIX,
    FILE_SUFFIX,
    SettingDefinition,
    Settings,
    setting_definitions,
    settings_model,
)

_HIDDEN = "(hidden)"
_UNSET = "(unset)"
_MAX_SECRET_BYTES = 4096
_DEFINITIONS = {item.name: item for item in setting_definitions()}
_MISSING_FIELD = re.compile(r"missing required field `(\w+)`")
_INVALID_FIELD = re.compile(r" - at `\$\.(\w+)`$")


class SettingsError(Exception):
    """Raised for a setting that is missing, unknown, invalid or contradictory."""

    def __init__(self, field: str, reason: str) -> None:
        """Store the setting's name, or an unknown variable's, and the reason."""
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


@unique
class Source(Enum):
    """The kind of place that a setting's value was read from."""

    DEFAULT = "default"
    ENVIRONMENT = "environment"
    FLAG = "flag"
    FILE = "file"


@dataclass(frozen=True, slots=True)
class LoadedSettings:
    """The validated settings, with the source of each value by the setting's name."""

    settings: Settings
    sources: Mapping[str, Source]

    def display_value(self, definition: SettingDefinition) -> str:
        """Return a setting's value as text to print; a secret is hidden."""
        value = getattr(self.settings, definition.name)
        if value is None:
            return _UNSET
        return _HIDDEN if definition.is_secret else str(value)


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Add the flags of all settings to the parser, as one group of its help text."""
    group = parser.add_argument_group("settings")
    for item in setting_definitions():
        group.add_argument(
            item.flag,
            dest=_destination(item),
            metavar="PATH" if item.is_secret else "VALUE",
            help=_help(item).replace("%", "%%"),
        )


def _destination(item: SettingDefinition) -> str:
    return item.name + FILE_SUFFIX if item.is_secret else item.name


def _help(item: SettingDefinition) -> str:
    text = f"{item.meaning} ({item.limits}"
    if not item.is_required and item.default is not None:
        text += f"; default {item.default}"
    return text + ")"


def read_settings(
    flags: Mapping[str, Any],
    environment: Mapping[str, str],
    read_file: Callable[[str], str] | None = None,
) -> Result[LoadedSettings, SettingsError]:
    """Return the validated settings, or the first problem found in them.

    `flags` are the parsed arguments by destination; an argument that is None was not
    given, and those of other subcommands are ignored. `read_file` returns the content
    of a secret's file.
    """
    try:
        values, sources = _collect(flags, environment, read_file or _read_secret)
        settings = _validate(values)
        _check_conflicts(settings)
    except SettingsError as error:
        return Failure(error)
    return Success(LoadedSettings(settings, sources))


def _collect(
    flags: Mapping[str, Any],
    environment: Mapping[str, str],
    read_file: Callable[[str], str],
) -> tuple[dict[str, str], dict[str, Source]]:
    _check_unknown_variables(environment)
    values: dict[str, str] = {}
    sources: dict[str, Source] = {}
    for item in setting_definitions():
        look_up = _secret_value if item.is_secret else _plain_value
        found, source = look_up(item, flags, environment, read_file)
        sources[item.name] = source
        if source is not Source.DEFAULT:
            values[item.name] = found
    return values, sources


def _check_unknown_variables(environment: Mapping[str, str]) -> None:
    known = {item.variable for item in setting_definitions()}
    known |= {item.file_variable for item in setting_definitions() if item.is_secret}
    for variable in sorted(environment):
        if variable.startswith(ENVIRONMENT_PREFIX) and variable not in known:
            raise SettingsError(variable, "unknown environment variable")


def _plain_value(
    item: SettingDefinition,
    flags: Mapping[str, Any],
    environment: Mapping[str, str],
    _read_file: Callable[[str], str],
) -> tuple[str, Source]:
    if (flag := flags.get(item.name)) is not None:
        return str(flag), Source.FLAG
    if (variable := environment.get(item.variable)) is not None:
        return variable, Source.ENVIRONMENT
    return "", Source.DEFAULT


def _secret_value(
    item: SettingDefinition,
    flags: Mapping[str, Any],
    environment: Mapping[str, str],
    read_file: Callable[[str], str],
) -> tuple[str, Source]:
    variable = environment.get(item.variable)
    path = flags.get(_destination(item)) or environment.get(item.file_variable)
    if variable is not None and path is not None:
        raise SettingsError(
            item.name, f"is set both by {item.variable} and by a file; remove one"
        )
    if path is not None:
        return _read_file_value(item, path, read_file), Source.FILE
    if variable is not None:
        return variable, Source.ENVIRONMENT
    return "", Source.DEFAULT


def _read_file_value(
    item: SettingDefinition, path: str, read_file: Callable[[str], str]
) -> str:
    try:
        return read_file(path).strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not a text file"
        raise SettingsError(item.name, f"cannot read {path}: {reason}") from error


def _read_secret(path: str) -> str:
    """Return a file's text; one over the limit is not a secret, and is not cut."""
    with Path(path).open(encoding="ascii") as file:
        text = file.read(_MAX_SECRET_BYTES + 1)
    if len(text) > _MAX_SECRET_BYTES:
        raise OSError(errno.EFBIG, f"longer than {_MAX_SECRET_BYTES} bytes")
    return text


def _validate(values: Mapping[str, str]) -> Settings:
    raw = {name: _raw_value(name, text) for name, text in values.items()}
    try:
        model = msgspec.convert(raw, settings_model(), strict=False)
    except msgspec.ValidationError as error:
        raise _settings_error(str(error), values) from None
    return Settings(**msgspec.structs.asdict(model))


def _raw_value(name: str, text: str) -> Any:
    if not _DEFINITIONS[name].is_address:
        return text
    try:
        return asdict(Address.parse(text))
    except ValueError as error:
        raise SettingsError(name, str(error)) from None


def _settings_error(message: str, values: Mapping[str, str]) -> SettingsError:
    if missing := _MISSING_FIELD.search(message):
        item = _DEFINITIONS[missing.group(1)]
        return SettingsError(item.name, f"required, set {item.flag} or {item.variable}")
    if (invalid := _INVALID_FIELD.search(message)) is None:
        return SettingsError("settings", message)
    item = _DEFINITIONS[invalid.group(1)]
    reason = f"expected {item.limits}"
    if not item.is_secret:
        reason += f", got {values[item.name]!r}"
    return SettingsError(item.name, reason)


def _check_conflicts(settings: Settings) -> None:
    _check_times(settings)
    _check_addresses(settings)
    if settings.token_signing_key_previous == settings.token_signing_key:
        raise SettingsError(
            "token_signing_key_previous", "must differ from token_signing_key"
        )


def _check_times(settings: Settings) -> None:
    """Refuse an evidence interval that is not below the lease and the detection time.

    Evidence that is not renewed within the lease would lapse between two renewals.
    """
    pairs = (
        ("evidence_interval_seconds", "lease_seconds"),
        ("evidence_interval_seconds", "detection_timeout_seconds"),
    )
    for shorter, longer in pairs:
        if getattr(settings, shorter) >= getattr(settings, longer):
            raise SettingsError(
                shorter, f"must be below {longer} ({getattr(settings, longer)})"
            )


def _check_addresses(settings: Settings) -> None:
    """Refuse one address for two listeners, and a platform address with port 0."""
    taken: dict[Address, str] = {}
    for name in ("caller_address", "operator_address", "peer_address"):
        address = getattr(settings, name)
        if address.port and address in taken:
            raise SettingsError(name, f"must differ from {taken[address]}")
        taken[address] = name
    if settings.platform_address.port == 0:
        raise SettingsError("platform_address", "port must not be 0")
