"""Generation of the keys that a set of proxies shares.

These are a signing key for session tokens and the CURVE key pairs of peer sockets.
"""

import os
import secrets
from collections.abc import Iterator
from dataclasses import dataclass, field, fields
from pathlib import Path

import zmq

_SIGNING_KEY_BYTES = 32
_OWNER_ONLY_MODE = 0o600


@dataclass(frozen=True, slots=True)
class Keys:
    """The keys of a set of proxies, which must be the same on each of them.

    The fields have the names of the settings.
    """

    token_signing_key: str = field(repr=False)
    curve_server_public_key: str
    curve_server_secret_key: str = field(repr=False)
    curve_client_public_key: str
    curve_client_secret_key: str = field(repr=False)

    def items(self) -> Iterator[tuple[str, str]]:
        """Yield the name and value of each key, in the order of the fields."""
        for item in fields(self):
            yield item.name, getattr(self, item.name)


def new_keys() -> Keys:
    """Generate a set of keys from the operating system's random source."""
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
    """Write each key to a file of its name, and return the paths.

    Only the files' owner can read them. Raise FileExistsError if a file exists, so
    that no key is replaced.
    """
    return tuple(
        _write_key_file(directory / name, value) for name, value in keys.items()
    )


def _write_key_file(path: Path, value: str) -> Path:
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    with open(os.open(path, flags, _OWNER_ONLY_MODE), "w", encoding="ascii") as file:
        file.write(value + "\n")
    return path
