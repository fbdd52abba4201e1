"""Revisions that go on rising when the store comes back from an older copy.

The store counts its versions, and counts them again after it was restored from a copy.
It then is in a higher era. A revision joins the era and the version in one number, so
that whatever was written later has the higher revision, across restorations too.

>>> before, after = join(1, 700), join(2, 650)
>>> before < after
True
>>> split(after)
(2, 650)

A store without eras is in era 0, in which revisions are the store's versions.
"""

VERSION_BITS = 40
MAX_VERSION = 2**VERSION_BITS - 1
# Revisions are numbers of at most 62 bits, as are all that come from outside.
MAX_ERA = 2 ** (62 - VERSION_BITS) - 1


class RevisionError(Exception):
    """An era or a version that is no number, or too large."""


def join(era: int, version: int) -> int:
    """Return a version's revision in an era; raise `RevisionError` if too large."""
    if version > MAX_VERSION or era > MAX_ERA:
        raise RevisionError(f"version {version} or era {era} is too large")
    return era << VERSION_BITS | version


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> VERSION_BITS


def split(revision: int) -> tuple[int, int]:
    """Return the era and the version of a revision."""
    return revision >> VERSION_BITS, revision & MAX_VERSION
