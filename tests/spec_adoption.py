"""Specification of configuration adoption, for an explicit-state model checker.

Three hosts start with version 1 in force, and the store's row may change to version 2.
A host may restart at any time and then loses its state. Store reads may be answered
late or not at all, and answers of peers may be missing, so store outages and network
partitions need no transition of their own. `floor` is the newest version that was ever
in force at a host.

A host's `confirmed_for` is the set of hosts that may adopt its version without a
majority, because their present process started before the store read that confirmed it.
`read` is the one store read that is answered late, with a set of the same kind.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum, unique
from typing import Any

from minicheck import Protocol

HOST_COUNT = 3
NEWEST_VERSION = 2
NEEDED_ANSWERS = 2
MAX_RESTARTS = 2
ALL_HOSTS = frozenset(range(HOST_COUNT))
NO_HOSTS: frozenset[int] = frozenset()


@unique
class Rule(Enum):
    """A rule of adoption; a broken variant of the protocol omits one of them."""

    ONLY_HIGHER = "once ready, adopt only a higher version"
    READ_SINCE_START = "drop answers to reads of an earlier process"
    CONFIRMED_SINCE_START = "believe a peer only if confirmed since the start"
    MAJORITY = "in an outage, ask a majority"
    READY_ANSWERS = "count only answers of ready peers"
    HELD_BY_MAJORITY = "assume that a majority held what was in force here"


@dataclass(frozen=True, slots=True)
class Host:
    """The state of one host; version 0 means that its process is not ready.

    `answers` and `best` are the peers that answered a process that is not ready, and
    the highest version among their answers. `lacks_majority` is true if, when the host
    restarted, no majority of hosts had ever had its `floor`, or a newer version, in
    force.
    """

    version: int = 1
    floor: int = 1
    confirmed_for: frozenset[int] = NO_HOSTS
    answers: frozenset[int] = NO_HOSTS
    best: int = 0
    lacks_majority: bool = False


@dataclass(frozen=True, slots=True)
class Read:
    """A read of the store whose answer arrives late or never."""

    host: int
    version: int
    confirmed_for: frozenset[int]


Hosts = tuple[Host, ...]
State = tuple[int, Hosts, Read | None, int]
Transition = tuple[str, State]


def adoption(without: Rule | None = None) -> Protocol:
    """Return the protocol, without one of its rules if `without` is given.

    A broken variant is explored only until the first state in which a host has gone
    back to an older version. Breadth-first search reaches it by a shortest path.
    """
    reverted: list[Transition] = []

    def transitions(state: State) -> list[Transition]:
        if reverted:
            return []
        next_transitions = list(_transitions(state, without))
        reverted.extend(step for step in next_transitions if not _is_valid(step[1]))
        return next_transitions

    return Protocol(
        name=f"adoption without {without.name}" if without else "adoption",
        candidate=False,
        fields=("store", "hosts", "read", "restarts"),
        initial=(1, (Host(),) * HOST_COUNT, None, 0),
        transitions=transitions,
        invariants={
            "never_reverts": lambda state: _never_reverts(state["hosts"]),
            "nothing_unaccepted": _no_unaccepted_version,
        },
    )


def _is_valid(state: State) -> bool:
    return _never_reverts(state[1])


def _never_reverts(hosts: Hosts) -> bool:
    return all(host.version in (0, host.floor) for host in hosts)


def _no_unaccepted_version(state: dict[str, Any]) -> bool:
    return all(host.version <= state["store"] for host in state["hosts"])


def _transitions(state: State, without: Rule | None) -> Iterator[Transition]:
    store, hosts, read, restarts = state
    if store < NEWEST_VERSION:
        yield "accept a change", (store + 1, hosts, read, restarts)
    if read is not None:
        yield "lose the answer", (store, hosts, None, restarts)
        answered = _answer_read(hosts, read, without)
        yield f"answer {read.host}", (store, answered, None, restarts)
    for index, host in enumerate(hosts):
        new_read = Read(index, store, ALL_HOSTS)
        if read is None:
            yield f"read {index}", (store, hosts, new_read, restarts)
        answered_at_once = _answer_read(hosts, new_read, without)
        yield f"read {index} at once", (store, answered_at_once, read, restarts)
        if restarts < MAX_RESTARTS and host.version:
            after, remaining_read = _restart(hosts, read, index, without)
            yield f"restart {index}", (store, after, remaining_read, restarts + 1)
        for name, changed in _learn_from_peers(hosts, index, without):
            yield name, (store, _with_host(hosts, index, changed), read, restarts)


def _learn_from_peers(
    hosts: Hosts, index: int, without: Rule | None
) -> Iterator[tuple[str, Host]]:
    host = hosts[index]
    for number, peer in enumerate(hosts):
        if number == index:
            continue
        if host.version:
            yield from _learn_when_ready(host, index, peer, number, without)
        else:
            yield from _learn_before_ready(host, index, peer, number, without)
    if not host.version and _has_majority(host, without):
        yield f"outage: {index} adopts the newest answer", _adopt(
            host, host.best, NO_HOSTS
        )


def _learn_when_ready(
    host: Host, index: int, peer: Host, number: int, without: Rule | None
) -> Iterator[tuple[str, Host]]:
    is_older_accepted = without is Rule.ONLY_HIGHER and peer.version
    if peer.version > host.version or (is_older_accepted and peer != host):
        yield f"{index} adopts from {number}", _adopt(
            host, peer.version, peer.confirmed_for
        )
    elif peer.version == host.version and not peer.confirmed_for <= host.confirmed_for:
        changed = replace(host, confirmed_for=host.confirmed_for | peer.confirmed_for)
        yield f"{number} confirms to {index}", changed


def _learn_before_ready(
    host: Host, index: int, peer: Host, number: int, without: Rule | None
) -> Iterator[tuple[str, Host]]:
    may_adopt = index in peer.confirmed_for or without is Rule.CONFIRMED_SINCE_START
    if peer.version and may_adopt:
        yield f"{index} adopts its first version from {number}", _adopt(
            host, peer.version, peer.confirmed_for
        )
    is_counted = peer.version or without is Rule.READY_ANSWERS
    if is_counted and number not in host.answers:
        best = max(host.best, peer.version)
        changed = replace(host, answers=host.answers | {number}, best=best)
        yield f"{number} answers {index}", changed


def _has_majority(host: Host, without: Rule | None) -> bool:
    if host.lacks_majority and without is not Rule.HELD_BY_MAJORITY:
        return False
    needed = 1 if without is Rule.MAJORITY else NEEDED_ANSWERS
    return host.best > 0 and len(host.answers) >= needed


def _answer_read(hosts: Hosts, read: Read, without: Rule | None) -> Hosts:
    host = hosts[read.host]
    if read.version > host.version or without is Rule.ONLY_HIGHER:
        host = _adopt(host, read.version, read.confirmed_for)
    elif read.version == host.version:
        host = replace(host, confirmed_for=host.confirmed_for | read.confirmed_for)
    return _with_host(hosts, read.host, host)


def _adopt(host: Host, version: int, confirmed_for: frozenset[int]) -> Host:
    return Host(
        version=version, floor=max(host.floor, version), confirmed_for=confirmed_for
    )


def _restart(
    hosts: Hosts, read: Read | None, index: int, without: Rule | None
) -> tuple[Hosts, Read | None]:
    floor = hosts[index].floor
    holders = sum(host.floor >= floor for host in hosts)
    lacks_majority = holders <= HOST_COUNT // 2
    after = [
        replace(host, confirmed_for=host.confirmed_for - {index}) for host in hosts
    ]
    after[index] = Host(version=0, floor=floor, lacks_majority=lacks_majority)
    if read is None:
        return tuple(after), None
    if read.host == index and without is not Rule.READ_SINCE_START:
        return tuple(after), None
    return tuple(after), replace(read, confirmed_for=read.confirmed_for - {index})


def _with_host(hosts: Hosts, index: int, host: Host) -> Hosts:
    return (*hosts[:index], host, *hosts[index + 1 :])
