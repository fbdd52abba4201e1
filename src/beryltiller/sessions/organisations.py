"""Organisations, and the credentials by which their callers are recognised.

A caller presents a key. Only a digest of it is kept, which is made with a secret of
this process: neither a dump of the tables nor the time of a look-up reveals a key.

>>> acme = Organisation("acme")
>>> organisations = Organisations.of(((acme, ("k1", "k2")),))
>>> organisations.find(Credential.of_key("k2")) is acme
True
>>> organisations.find(Credential.of_key("k3")) is None
True
"""

import secrets
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

_SECRET = secrets.token_bytes(32)
_DIGEST_BYTES = 32

DEFAULT_PRIORITY = 1
# The name under which a proxy serves callers of no organisation.
NO_ORGANISATION = ""


class OrganisationError(Exception):
    """Organisations that cannot be told apart; the message names them, but no key."""


@dataclass(frozen=True, slots=True)
class Credential:
    """The digest of a key that a caller has presented."""

    digest: bytes = field(repr=False)

    @classmethod
    def of_key(cls, key: str) -> "Credential":
        """Return the credential of a caller that presents `key`."""
        data = key.encode(errors="surrogatepass")
        return cls(blake2b(data, digest_size=_DIGEST_BYTES, key=_SECRET).digest())


@dataclass(frozen=True, slots=True)
class Quota:
    """A limit on an organisation's operations, over all proxies.

    `rate_per_second` is the sustained rate and `burst` what may exceed it at once, in
    operations.
    """

    rate_per_second: float
    burst: float


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer whose callers share connections, a quota and a turn in each queue.

    Priority 0 is the highest. Without a quota its rate is not limited.
    """

    name: str
    priority: int = DEFAULT_PRIORITY
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class Organisations:
    """All organisations of a configuration, by name and by credential."""

    by_name: Mapping[str, Organisation]
    _by_credential: Mapping[Credential, Organisation] = field(repr=False)

    @classmethod
    def of(
        cls, organisations: Iterable[tuple[Organisation, Iterable[str]]]
    ) -> "Organisations":
        """Return the organisations, each given with its keys.

        Raise `OrganisationError` if two have the same name or key, or a key is empty.
        """
        by_name: dict[str, Organisation] = {}
        by_credential: dict[Credential, Organisation] = {}
        for organisation, keys in organisations:
            if organisation.name in by_name:
                raise OrganisationError(f"{organisation.name!r} is there twice")
            by_name[organisation.name] = organisation
            for key in keys:
                if not key:
                    raise OrganisationError(f"{organisation.name!r} has an empty key")
                holder = by_credential.setdefault(Credential.of_key(key), organisation)
                if holder is not organisation:
                    names = f"{holder.name!r} and {organisation.name!r}"
                    raise OrganisationError(f"{names} have a key in common")
        return cls(by_name, by_credential)

    def __len__(self) -> int:
        """Return how many organisations there are."""
        return len(self.by_name)

    def find(self, credential: Credential) -> Organisation | None:
        """Return the organisation that holds the key of a credential, or None."""
        return self._by_credential.get(credential)
