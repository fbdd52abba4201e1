"""Tests of which endpoints get no new work, and which reports of it are accepted."""

import unittest

from beryltiller.core.ports import Host, HostKind
from beryltiller.membership.draining import (
    HOST_LIST_LAG_SECONDS,
    Event,
    LeavingReport,
    NotifyPeers,
    PublishLeaving,
    State,
    decide,
)
from beryltiller.membership.membership_events import EndpointNote, HostsListed, Tick


def _host_list(is_leaving: bool) -> HostsListed:
    host = Host("d1", HostKind.ENDPOINT, "127.0.0.1:7001", "perth-a", is_leaving)
    return HostsListed((host,))


def _state_after(*events: Event, now: float = 10.0) -> State:
    state = State()
    for event in events:
        state, _ = decide(state, event, now)
    return state


OWN_LEAVING = LeavingReport("d1", is_leaving=True, asked_at=5.0)
OWN_NOT_LEAVING = LeavingReport("d1", is_leaving=False, asked_at=6.0)
LISTED_BY_PEER = EndpointNote("d1", True, observed_at=9.0, is_listed=True)


class DrainingTest(unittest.TestCase):
    """An endpoint is leaving if a host list or its own newest report says so."""

    def test_precedence_of_sources(self) -> None:
        cases: tuple[tuple[str, tuple[Event, ...], bool], ...] = (
            ("host list", (_host_list(True),), True),
            ("own report", (OWN_LEAVING,), True),
            ("peer's note on its own report", (EndpointNote("d1", True, 5.0),), True),
            ("newer own report", (OWN_LEAVING, OWN_NOT_LEAVING), False),
            ("older own report", (OWN_NOT_LEAVING, OWN_LEAVING), False),
            ("newer note", (OWN_LEAVING, EndpointNote("d1", False, 7.0)), False),
            ("older note", (OWN_LEAVING, EndpointNote("d1", False, 4.0)), True),
            ("host list over own report", (_host_list(True), OWN_NOT_LEAVING), True),
            (
                "own report over lagging host list",
                (OWN_LEAVING, _host_list(False)),
                True,
            ),
            (
                "peer's host list over lagging host list",
                (LISTED_BY_PEER, _host_list(False)),
                True,
            ),
            (
                "peer's host list over own report",
                (LISTED_BY_PEER, OWN_NOT_LEAVING),
                True,
            ),
            (
                "host list that no longer shows it",
                (_host_list(True), _host_list(False)),
                False,
            ),
        )
        for name, events, is_leaving in cases:
            with self.subTest(name=name):
                self.assertEqual("d1" in _state_after(*events).leaving, is_leaving)

    def test_peers_list_expires_after_the_lag_of_the_host_list(self) -> None:
        state = _state_after(LISTED_BY_PEER)
        state, actions = decide(state, Tick(), 9.0 + HOST_LIST_LAG_SECONDS)
        self.assertEqual(actions, (PublishLeaving(frozenset()),))

    def test_peers_are_notified_once(self) -> None:
        for event in (_host_list(True), OWN_LEAVING):
            state, actions = decide(State(), event, 10.0)
            with self.subTest(event=event):
                self.assertEqual(actions[0], PublishLeaving(frozenset({"d1"})))
                self.assertIsInstance(actions[1], NotifyPeers)
                self.assertFalse(decide(state, event, 10.1)[1])

    def test_endpoint_that_is_not_leaving_causes_no_notification(self) -> None:
        self.assertFalse(decide(State(), OWN_NOT_LEAVING, 10.0)[1])

    def test_note_of_a_peer_is_not_sent_again(self) -> None:
        _, actions = decide(State(), LISTED_BY_PEER, 10.0)
        self.assertEqual(actions, (PublishLeaving(frozenset({"d1"})),))
