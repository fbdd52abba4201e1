"""Tests of configuration adoption: single events, then proxies with random faults."""

import operator
import unittest
from collections.abc import Iterable
from functools import partial

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from beryltiller.benchmarks.control_simulation import SimulatedNetwork, entry_hosts
from beryltiller.configuration.adoption import decide
from beryltiller.configuration.adoption_events import (
    Action,
    AnnounceVersion,
    AskPeer,
    PeerAnswered,
    PeerDigest,
    PeersChanged,
    PutInForce,
    ReadStore,
    RejectDocument,
    StoreAnswered,
    StoreFailed,
)
from beryltiller.configuration.adoption_state import State, pack
from beryltiller.configuration.tables import EMPTY, KEY, encode
from beryltiller.core.ports import Row
from beryltiller.membership.membership_events import Received, Reply, Tick
from beryltiller.membership.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    ReplyTo,
)

PEERS = tuple(f"10.0.0.{number}:7100" for number in range(2, 6))
START = 100.0


def _row(version: int) -> Row:
    return Row(KEY, version, encode(EMPTY))


def _configuration_reply(
    version: int, known: int = -1, age_ms: int = -1
) -> ConfigurationReply:
    document = pack(EMPTY)
    return ConfigurationReply(version, max(version, known), age_ms, document)


def _starting_state() -> State:
    state, _ = decide(
        State("10.0.0.1:7100", 1, START), PeersChanged(PEERS, True), START
    )
    return state


def _ready_state(version: int) -> State:
    return decide(_starting_state(), StoreAnswered(_row(version), START), START)[0]


def _versions_put_in_force(actions: Iterable[Action]) -> list[int]:
    return [a.configuration.version for a in actions if isinstance(a, PutInForce)]


class FirstConfigurationTest(unittest.TestCase):
    """A process that has just started waits rather than adopt an older version."""

    def test_row_of_the_store_is_adopted(self) -> None:
        state, actions = decide(
            _starting_state(), StoreAnswered(_row(4), START + 1), START + 1
        )
        self.assertEqual(_versions_put_in_force(actions), [4])
        self.assertTrue(state.is_ready)

    def test_peers_version_is_adopted_only_if_confirmed_since_the_start(self) -> None:
        asked_at = START + 2
        for age_ms, is_adopted in ((1500, True), (2500, False), (-1, False)):
            event = PeerAnswered(
                PEERS[0], _configuration_reply(4, age_ms=age_ms), asked_at
            )
            _, actions = decide(_starting_state(), event, START + 2)
            with self.subTest(age_ms=age_ms):
                self.assertEqual(bool(_versions_put_in_force(actions)), is_adopted)

    def test_newest_of_a_majority_is_adopted_in_an_outage(self) -> None:
        state = _starting_state()
        self.assertEqual(state.needed_answers, 3)
        state, _ = decide(state, StoreFailed(), START + 1)
        for peer, version in zip(PEERS[:2], (3, 5), strict=True):
            event = PeerAnswered(peer, _configuration_reply(version), START + 1)
            state, actions = decide(state, event, START + 1)
            self.assertFalse(_versions_put_in_force(actions))
        event = PeerAnswered(PEERS[2], _configuration_reply(4), START + 1)
        _, actions = decide(state, event, START + 1)
        self.assertEqual(_versions_put_in_force(actions), [5])

    def test_unproven_version_of_peers_is_not_adopted(self) -> None:
        cases = {
            "the store may answer": (False, _configuration_reply(4)),
            "a newer version is known": (True, _configuration_reply(4, known=6)),
            "the rest are not ready": (True, ConfigurationReply(-1, -1)),
        }
        for name, (is_down, third_reply) in cases.items():
            state = _starting_state()
            if is_down:
                state, _ = decide(state, StoreFailed(), START + 1)
            for peer, reply in zip(
                PEERS,
                (_configuration_reply(4), _configuration_reply(4), third_reply),
                strict=False,
            ):
                event = PeerAnswered(peer, reply, START + 1)
                state, _ = decide(state, event, START + 1)
            with self.subTest(name=name):
                self.assertFalse(state.is_ready)

    def test_proxy_that_is_not_ready_asks_store_and_peers(self) -> None:
        _, actions = decide(_starting_state(), Tick(), START)
        self.assertTrue(any(isinstance(action, ReadStore) for action in actions))
        self.assertEqual(sum(isinstance(action, AskPeer) for action in actions), 3)

    def test_bad_row_is_reported_and_not_adopted(self) -> None:
        row = Row(KEY, 4, b'{"routes": 5}')
        state, actions = decide(_starting_state(), StoreAnswered(row, START), START)
        self.assertTrue(any(isinstance(a, RejectDocument) for a in actions))
        self.assertFalse(state.is_ready)


class InForceTest(unittest.TestCase):
    """Once a configuration is in force, only a higher version is adopted."""

    def test_only_a_higher_version_is_adopted(self) -> None:
        for version, expected in ((3, []), (4, []), (5, [5])):
            events = (
                StoreAnswered(_row(version), START),
                PeerAnswered(PEERS[0], _configuration_reply(version), START),
            )
            for event in events:
                with self.subTest(event=event):
                    self.assertEqual(
                        _versions_put_in_force(
                            decide(_ready_state(4), event, START)[1]
                        ),
                        expected,
                    )

    def test_missing_row_does_not_replace_the_configuration(self) -> None:
        _, actions = decide(_ready_state(4), StoreAnswered(None, START), START)
        self.assertFalse(_versions_put_in_force(actions))

    def test_sender_of_a_newer_digest_is_asked_once(self) -> None:
        state, actions = decide(_ready_state(4), PeerDigest(PEERS[0], 5), START)
        self.assertEqual(actions, (AskPeer(PEERS[0], 4, START),))
        self.assertFalse(decide(state, PeerDigest(PEERS[0], 5), START)[1])

    def test_only_later_confirmations_are_announced(self) -> None:
        state = _ready_state(4)
        for confirmed_at, expected in ((START - 1, False), (START + 3, True)):
            digest = PeerDigest(PEERS[0], 4, confirmed_at)
            _, actions = decide(state, digest, START + 4)
            with self.subTest(confirmed_at=confirmed_at):
                self.assertEqual(AnnounceVersion(4, confirmed_at) in actions, expected)

    def test_answer_holds_the_document_only_if_newer(self) -> None:
        for above, has_document in ((3, True), (4, False)):
            asked = Received(ConfigurationRequest(above), ReplyTo(b"a", b"1"))
            _, (reply,) = decide(_ready_state(4), asked, START + 2)
            assert isinstance(reply, Reply)
            assert isinstance(reply.message, ConfigurationReply)
            self.assertEqual(bool(reply.message.document), has_document)
            self.assertEqual(reply.message.age_ms, 2000)

    def test_invalid_document_from_a_peer_is_not_adopted(self) -> None:
        for document in (b"junk", b""):
            reply = ConfigurationReply(9, 9, -1, document)
            state, _ = decide(
                _ready_state(4), PeerAnswered(PEERS[0], reply, START), START
            )
            self.assertEqual(state.version, 4)


class NetworkTest(unittest.TestCase):
    """A new version reaches all proxies, even those that cannot reach the store."""

    def _network(self, count: int) -> SimulatedNetwork:
        network = SimulatedNetwork(seed=3)
        network.hosts = entry_hosts(count, 4)
        network.store.row = _row(1)
        for host in network.hosts:
            network.start(host)
        network.run(10)
        return network

    def _versions(self, network: SimulatedNetwork) -> set[int]:
        return {proxy.adoption.version for proxy in network.proxies.values()}

    def test_change_reaches_all_in_five_seconds(self) -> None:
        for count in (5, 30):
            network = self._network(count)
            first = network.hosts[0].address
            network.store.is_down = partial(operator.ne, first)
            network.run(9)
            network.store.row = _row(2)
            network.run(5)
            with self.subTest(count=count):
                self.assertEqual(self._versions(network), {2})

    def test_restart_of_every_proxy_in_turn_in_an_outage(self) -> None:
        network = self._network(5)
        network.store.row = _row(2)
        network.run(5)
        network.store.is_down = lambda address: True
        for host in network.hosts:
            network.stop(host.address)
            network.start(host)
            network.run(8)
            self.assertEqual(self._versions(network), {2})

    def test_restart_of_all_at_once_in_an_outage_waits_for_the_store(self) -> None:
        network = self._network(5)
        network.store.is_down = lambda address: True
        for host in network.hosts:
            network.start(host)
        network.run(20)
        self.assertEqual(self._versions(network), {-1})
        network.store.is_down = lambda address: False
        network.run(5)
        self.assertEqual(self._versions(network), {1})

    def test_restarted_host_waits_if_it_reaches_only_older_peers(self) -> None:
        network = self._network(5)
        new_host, *old_hosts = (host.address for host in network.hosts)
        partition = set(old_hosts[:2])
        network.is_partitioned = lambda a, b: (a in partition) != (b in partition)
        network.store.is_down = lambda address: address in partition
        network.store.row = _row(2)
        network.run(6)
        network.store.is_down = lambda address: True
        network.is_partitioned = lambda a, b: (a in partition | {new_host}) != (
            b in partition | {new_host}
        )
        proxy = network.start(network.hosts[0])
        network.run(20)
        self.assertFalse(proxy.adoption.is_ready)
        network.is_partitioned = lambda a, b: False
        network.run(20)
        self.assertEqual(proxy.applied_versions, [2])


class AdoptionMachine(RuleBasedStateMachine):
    """Adoption and membership of five proxies under random faults.

    A proxy must never put a lower version in force than before, not even after a
    restart. Once all faults have ended, every proxy must have the store's version.
    """

    def __init__(self) -> None:
        super().__init__()
        self.network = SimulatedNetwork(seed=7)
        self.network.hosts = entry_hosts(5, 3)
        self.network.store.row = _row(1)
        self.newest_in_force = {host.address: 0 for host in self.network.hosts}
        self.required_versions = dict(self.newest_in_force)
        for host in self.network.hosts:
            self.network.start(host)
        self.network.run(3)

    @rule(seconds=st.sampled_from((0.2, 1.0, 4.0)))
    def wait(self, seconds: float) -> None:
        self.network.run(seconds)

    @rule()
    def accept_new_version(self) -> None:
        assert self.network.store.row is not None
        self.network.store.row = _row(self.network.store.row.version + 1)

    @rule(index=st.integers(0, 4))
    def restart(self, index: int) -> None:
        host = self.network.hosts[index]
        newest = self.newest_in_force[host.address]
        host_count = sum(other >= newest for other in self.newest_in_force.values())
        # A version that fewer than a majority had in force may be lost in an outage.
        self.required_versions[host.address] = newest if host_count > 2 else 0
        self.network.start(host)

    @rule(indices=st.sets(st.integers(0, 4)))
    def partition(self, indices: set[int]) -> None:
        partition = {self.network.hosts[index].address for index in indices}
        self.network.is_partitioned = lambda a, b: (a in partition) != (b in partition)

    @rule(reached=st.sets(st.integers(0, 4)))
    def set_reachable_store(self, reached: set[int]) -> None:
        reached_addresses = {self.network.hosts[index].address for index in reached}
        self.network.store.is_down = lambda address: address not in reached_addresses

    @rule(loss=st.sampled_from((0.0, 0.3)))
    def lose_messages(self, loss: float) -> None:
        self.network.loss_probability = loss

    @invariant()
    def version_never_decreases(self) -> None:
        for address, proxy in self.network.proxies.items():
            versions = proxy.applied_versions
            assert versions == sorted(set(versions)), versions
            if versions:
                assert versions[0] >= self.required_versions[address], (
                    address,
                    versions,
                )
            self.newest_in_force[address] = max(
                self.newest_in_force[address], *versions, 0
            )

    def teardown(self) -> None:
        network = self.network
        network.loss_probability = 0.0
        network.is_partitioned = lambda a, b: False
        network.store.is_down = lambda address: False
        network.run(20)
        self.version_never_decreases()
        running = network.proxies.keys()
        assert network.store.row is not None
        for proxy in network.proxies.values():
            assert proxy.adoption.version == network.store.row.version
            assert {m.address for m in proxy.members.live} == running


AdoptionMachineTest = AdoptionMachine.TestCase
AdoptionMachineTest.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=40,
    stateful_step_count=15,
)
