"""New keys for a set of proxies: signing key and CURVE pairs."""

import os
import secrets
from collections.abc import Iterator
from dataclasses import dataclass, field, fields
from pathlib import Path

import zmq

_SIGNING_KEY_BYTES = 32
_PRIVATE_MODE = 0o600


@dataclass(frozen=True, slots=True)
class Keys:
    """Hold one set of keys; every proxy is given the same set.

    The field names are those of the settings.
    """

    token_signing_key: str = field(repr=False)
    curve_server_public_key: str
    curve_server_secret_key: str = field(repr=False)
    curve_client_public_key: str
    curve_client_secret_key: str = field(repr=False)

    def items(self) -> Iterator[tuple[str, str]]:
        """Yield each key's name and value."""
        for item in fields(self):
            yield item.name, getattr(self, item.name)


def new_keys() -> Keys:
    """Return a set of keys from the system's random source."""
    server_public, server_secret = zmq.curve_keypair()
    client_public, client_secret = zmq.curve_keypair()
    return Keys(
        token_signing_key=secrets.token_hex(_SIGNING_KEY_BYTES),
        curve_server_public_key=server_public.decode("ascii"),
        curve_server_secret_key=server_secret.decode("ascii"),
        curve_client_public_key=client_public.decode("ascii"),
        curve_client_secret_key=client_secret.decode("ascii"),
    )


def write_keys(keys: Keys, directory: Path) -> tuple[Path, ...]:
    """Write each key to a file that only its owner can read; return the paths.

    Raise FileExistsError rather than replace a key.
    """
    return tuple(_write(directory / name, value) for name, value in keys.items())


def _write(path: Path, value: str) -> Path:
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    with open(os.open(path, flags, _PRIVATE_MODE), "w", encoding="ascii") as file:
        file.write(value + "\n")
    return path
