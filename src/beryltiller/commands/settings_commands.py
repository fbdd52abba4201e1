"""Commands that check, show and document settings, and that create keys."""

import os
from argparse import Namespace
from collections.abc import Iterator
from pathlib import Path

from beryltiller.commands.command_errors import CommandError, ExitCode
from beryltiller.core.text import columns, markdown_table
from beryltiller.process.settings import SettingDefinition, setting_definitions
from beryltiller.process.settings_source import LoadedSettings, read_settings


def load_settings(arguments: Namespace) -> LoadedSettings:
    """Return the settings from flags and environment.

    Raise CommandError that names the setting if one is missing or invalid.
    """
    result = read_settings(vars(arguments), os.environ)
    if error := result.swap().value_or(None):
        remedy = "see `beryltiller settings document`"
        raise CommandError(ExitCode.INVALID, f"setting {error}", remedy)
    return result.unwrap()


def check(arguments: Namespace) -> ExitCode:
    """Check that a proxy would start with these settings."""
    load_settings(arguments)
    print("settings are valid")
    return ExitCode.OK


def show(arguments: Namespace) -> ExitCode:
    """Print each setting with its value and source; secrets are hidden."""
    loaded = load_settings(arguments)
    rows = [
        (
            definition.name,
            loaded.display_value(definition),
            loaded.sources[definition.name].value,
        )
        for definition in setting_definitions()
    ]
    print(*columns(("SETTING", "VALUE", "FROM"), rows), sep="\n")
    return ExitCode.OK


def document(arguments: Namespace) -> ExitCode:
    """Print the text of docs/SETTINGS.md."""
    print(*settings_page(), sep="\n")
    return ExitCode.OK


def settings_page() -> Iterator[str]:
    """Yield the lines of docs/SETTINGS.md."""
    yield "# Settings"
    yield ""
    yield "Made by `make documents`; a test checks that it is current."
    yield "A flag wins over an environment variable, which wins over the default."
    yield "A secret comes from its variable, or from the file that its flag or the"
    yield "variable with `_FILE` at the end names; it is never printed."
    yield ""
    yield from markdown_table(
        ("flag", "variable", "meaning", "value", "default"),
        (_page_row(definition) for definition in setting_definitions()),
    )


def _page_row(definition: SettingDefinition) -> tuple[str, str, str, str, str]:
    variable = f"`{definition.variable}`"
    if definition.is_secret:
        variable += f" or `{definition.file_variable}`"
    return (
        f"`{definition.flag}`",
        variable,
        definition.meaning,
        definition.limits,
        _default_cell(definition),
    )


def _default_cell(definition: SettingDefinition) -> str:
    if definition.is_required:
        return "required"
    return "unset" if definition.default is None else str(definition.default)


def new_keys(arguments: Namespace) -> ExitCode:
    """Write a new set of keys to files in a directory and print their paths."""
    from beryltiller.process.keys import new_keys, write_keys

    try:
        paths = write_keys(new_keys(), Path(arguments.directory))
    except OSError as error:
        cause = f"cannot write {error.filename}: {error.strerror}"
        raise CommandError(ExitCode.FAILED, cause, "give an empty directory") from None
    print(*paths, sep="\n")
    return ExitCode.OK
