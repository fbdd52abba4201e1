"""Tests of which endpoints get no new work, and of when the news is believed."""

import unittest

from beryltiller.core.ports import Host, HostKind
from beryltiller.membership.draining import (
    HOST_LIST_LAG_SECONDS,
    EndpointAnswered,
    Event,
    PublishLeaving,
    State,
    TellPeers,
    decide,
)
from beryltiller.membership.membership_events import EndpointNote, HostsListed, Tick


def _list(is_leaving: bool) -> HostsListed:
    host = Host("d1", HostKind.ENDPOINT, "127.0.0.1:7001", "perth-a", is_leaving)
    return HostsListed((host,))


def _after(*events: Event, now: float = 10.0) -> State:
    state = State()
    for event in events:
        state, _ = decide(state, event, now)
    return state


OWN_LEAVING = EndpointAnswered("d1", is_leaving=True, asked_at=5.0)
OWN_STAYING = EndpointAnswered("d1", is_leaving=False, asked_at=6.0)
LISTED_BY_PEER = EndpointNote("d1", True, observed_at=9.0, is_listed=True)


class DrainingTest(unittest.TestCase):
    """An endpoint is leaving if the list or its own newest word says so."""

    def test_who_is_believed(self) -> None:
        cases: tuple[tuple[str, tuple[Event, ...], bool], ...] = (
            ("list", (_list(True),), True),
            ("own word", (OWN_LEAVING,), True),
            ("peer's note of its word", (EndpointNote("d1", True, 5.0),), True),
            ("newer own word", (OWN_LEAVING, OWN_STAYING), False),
            ("older own word", (OWN_STAYING, OWN_LEAVING), False),
            ("newer note", (OWN_LEAVING, EndpointNote("d1", False, 7.0)), False),
            ("older note", (OWN_LEAVING, EndpointNote("d1", False, 4.0)), True),
            ("list over own word", (_list(True), OWN_STAYING), True),
            ("own word over lagging list", (OWN_LEAVING, _list(False)), True),
            ("peer's list over own lagging", (LISTED_BY_PEER, _list(False)), True),
            ("peer's list over own word", (LISTED_BY_PEER, OWN_STAYING), True),
            ("list that no longer says so", (_list(True), _list(False)), False),
        )
        for name, events, is_leaving in cases:
            with self.subTest(name=name):
                self.assertEqual("d1" in _after(*events).leaving, is_leaving)

    def test_peers_list_is_believed_until_the_own_one_must_show_it(self) -> None:
        state = _after(LISTED_BY_PEER)
        state, actions = decide(state, Tick(), 9.0 + HOST_LIST_LAG_SECONDS)
        self.assertEqual(actions, (PublishLeaving(frozenset()),))

    def test_peers_are_told_once(self) -> None:
        for event in (_list(True), OWN_LEAVING):
            state, actions = decide(State(), event, 10.0)
            with self.subTest(event=event):
                self.assertEqual(actions[0], PublishLeaving(frozenset({"d1"})))
                self.assertIsInstance(actions[1], TellPeers)
                self.assertFalse(decide(state, event, 10.1)[1])

    def test_quiet_endpoints_are_not_told(self) -> None:
        self.assertFalse(decide(State(), OWN_STAYING, 10.0)[1])

    def test_peers_note_is_not_told_again(self) -> None:
        _, actions = decide(State(), LISTED_BY_PEER, 10.0)
        self.assertEqual(actions, (PublishLeaving(frozenset({"d1"})),))
