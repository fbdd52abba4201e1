"""Objections of a proxy to a change of primary that another proxy has announced."""

from collections.abc import Collection
from dataclasses import replace

from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.registry import DEPARTED_RETENTION_SECONDS
from beryltiller.sessions.succession.announcement import Announcement, bounded_names

# Proxies see entries go at different times. A database that the promoter has ceased to
# keep as departed just before is no reason to object.
FORGETTING_SECONDS = 5.0


def with_objection(
    fleet: Fleet, announcement: Announcement, is_own: bool, now: float
) -> Announcement | None:
    """Return an announcement with this proxy's objection, or None if not new.

    Others may have objected with a commit that they have reported, which suffices. The
    promoter itself, whose announcement `is_own`, has asked the databases that it knows.
    """
    group = fleet.group(announcement.service)
    covering, objection = announcement.covering, announcement.objection
    lacking = frozenset[str]() if is_own else _unasked(fleet, announcement, now)
    if not lacking and not group.changes.objects_to(covering, group.term):
        return None
    later_term = announcement.later_term
    if group.term > covering.replaced_term:
        later_term = max(later_term, group.term)
    if objection is None:
        objection = group.changes.reported_beyond(covering)
    opposed = replace(
        announcement,
        objection=objection,
        later_term=later_term,
        lacking=bounded_names({*announcement.lacking, *lacking}),
    )
    return opposed if opposed != announcement else None


def known_databases(
    fleet: Fleet, service: str, departed_since: float = 0.0
) -> frozenset[str]:
    """Return a service's databases, with those departed since a moment."""
    departed = frozenset(
        each.database.identifier
        for each in fleet.directory.departed_of(service)
        if each.missing_since >= departed_since
    )
    return departed | fleet.group(service).members.keys()


def _unasked(fleet: Fleet, announcement: Announcement, now: float) -> frozenset[str]:
    """Return the databases known here that another promoter has not asked."""
    service, asked = announcement.service, announcement.asked
    if not asked:
        return frozenset()
    kept_since = now - DEPARTED_RETENTION_SECONDS + FORGETTING_SECONDS
    unasked = known_databases(fleet, service, kept_since).difference(asked)
    return unasked - _replaced(fleet, service, asked)


def _replaced(fleet: Fleet, service: str, asked: Collection[str]) -> frozenset[str]:
    """Return the departed databases at whose address one that was asked has started.

    That one has their logs.
    """
    members = fleet.group(service).members
    started = [members[name].database for name in asked if name in members]
    return frozenset(
        each.database.identifier
        for each in fleet.directory.departed_of(service)
        if any(
            later.address == each.database.address
            and later.incarnation > each.database.incarnation > 0
            for later in started
        )
    )
