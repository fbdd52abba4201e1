"""Tests of membership: several proxies on a virtual clock, and single events."""

import doctest
import unittest
from dataclasses import replace
from functools import partial

from beryltiller.benchmarks.control_simulation import (
    SimulatedNetwork,
    SimulatedProxy,
    entry_hosts,
)
from beryltiller.core.ports import HostKind
from beryltiller.membership import members
from beryltiller.membership.dissemination import MEMBER_UPDATE_BYTES, to_entry
from beryltiller.membership.members import Member, Members, MemberState
from beryltiller.membership.membership import decide
from beryltiller.membership.membership_events import (
    Drain,
    EndpointNote,
    Leave,
    PublishMembers,
    Received,
    Replied,
    Reply,
    Tick,
)
from beryltiller.membership.membership_state import State
from beryltiller.membership.messages import (
    Ack,
    Gossip,
    MemberEntry,
    Ping,
    PingRequest,
    ReplyTo,
)

ME = Member("10.0.0.1:7100", "me", "zone-0", 100)
PEER = Member("10.0.0.2:7100", "peer", "zone-0", 100)
REPLY_TO = ReplyTo(b"a", b"1")


def _network(count: int = 5, zones: int = 4) -> SimulatedNetwork:
    network = SimulatedNetwork(seed=count)
    network.hosts = entry_hosts(count, zones)
    for host in network.hosts:
        network.start(host)
    network.run(10)
    return network


def _live_addresses(proxy: SimulatedProxy) -> set[str]:
    return {member.address for member in proxy.members.live}


def _all_see_all(network: SimulatedNetwork) -> bool:
    running = network.proxies.keys()
    return all(_live_addresses(proxy) == running for proxy in network.proxies.values())


def _all_have_note(network: SimulatedNetwork, endpoint: str) -> bool:
    states = (proxy.membership for proxy in network.proxies.values())
    return all(endpoint in state.endpoints for state in states)


def _receive_entries(state: State, *entries: MemberEntry, now: float = 0.0) -> State:
    sender = to_entry(replace(PEER, address="10.0.0.9:7100", name="sender"))
    message = Ping(Gossip(sender, members=entries))
    return decide(state, Received(message, REPLY_TO), now)[0]


class MembershipTest(unittest.TestCase):
    """Proxies agree on who is live, despite crashes, partitions and replaced hosts."""

    def test_killed_host_is_detected_by_all_within_three_seconds(self) -> None:
        for index in range(5):
            with self.subTest(index=index):
                network = _network()
                network.stop(network.hosts[index].address)
                seconds = network.run_until(partial(_all_see_all, network), 10)
                self.assertLess(seconds, 3.0)

    def test_no_member_is_suspected_without_faults(self) -> None:
        network = _network()
        for _ in range(100):
            network.run(0.5)
            self.assertTrue(_all_see_all(network))

    def test_lost_messages_cause_no_false_death(self) -> None:
        network = _network()
        network.loss_probability = 0.1
        for _ in range(100):
            network.run(0.5)
            self.assertTrue(_all_see_all(network))

    def test_broken_link_between_two_members_causes_no_suspicion(self) -> None:
        network = _network()
        pair = {network.hosts[0].address, network.hosts[1].address}
        network.is_partitioned = lambda source, target: {source, target} == pair
        for _ in range(200):
            network.run(0.1)
            for proxy in network.proxies.values():
                states = {member.state for member in proxy.members}
                self.assertEqual(states, {MemberState.ALIVE})

    def test_both_sides_of_a_partition_continue_and_merge(self) -> None:
        network = _network(12, 3)
        side = {host.address for host in network.hosts[:4]}
        network.is_partitioned = lambda source, target: (source in side) != (
            target in side
        )
        network.run(15)
        for address, proxy in network.proxies.items():
            expected = side if address in side else network.proxies.keys() - side
            self.assertEqual(_live_addresses(proxy), expected)
        network.is_partitioned = lambda source, target: False
        self.assertLess(network.run_until(lambda: _all_see_all(network), 30), 10.0)

    def test_replaced_host_is_known_by_its_new_incarnation(self) -> None:
        network = _network()
        host = network.hosts[2]
        network.stop(host.address)
        network.run(0.2)
        fresh = network.start(host).membership.me
        network.run(5)
        self.assertTrue(_all_see_all(network))
        for proxy in network.proxies.values():
            held = {member.address: member for member in proxy.members}
            self.assertGreaterEqual(held[host.address].incarnation, fresh.incarnation)

    def test_leaving_and_draining_reach_all_members(self) -> None:
        network = _network()
        first, second = (network.proxies[host.address] for host in network.hosts[:2])
        network.deliver_membership_event(first, Drain())
        network.deliver_membership_event(second, Leave())
        network.run(1.5)
        others = [network.proxies[host.address] for host in network.hosts[2:]]
        for proxy in others:
            serving = {member.address for member in proxy.members.serving}
            self.assertEqual(serving, {other.address for other in others})
            self.assertIn(first.address, _live_addresses(proxy))

    def test_note_on_a_leaving_endpoint_reaches_all_in_three_seconds(self) -> None:
        for count in (5, 60):
            network = _network(count)
            source = network.proxies[network.hosts[0].address]
            note = EndpointNote("d1", is_leaving=True, observed_at=network.now)
            network.deliver_membership_event(source, note)
            with self.subTest(count=count):
                self.assertLess(
                    network.run_until(partial(_all_have_note, network, "d1"), 10), 3.0
                )

    def test_messages_and_connections_per_proxy_do_not_grow_with_the_cluster(
        self,
    ) -> None:
        for count in (20, 80):
            network = _network(count, 4)
            network.run(30)
            for proxy in network.proxies.values():
                proxy.sent_counts.clear()
                proxy.contacted_peers.clear()
            network.run(20)
            with self.subTest(count=count):
                total = sum(
                    each.sent_counts["messages"] for each in network.proxies.values()
                )
                self.assertLess(total / count / 20, 5.0)
                most = max(
                    len(proxy.contacted_peers) for proxy in network.proxies.values()
                )
                self.assertLessEqual(most, 16)


class EventTest(unittest.TestCase):
    """Single events; an error in one of them would make the views of proxies differ."""

    def test_member_refutes_reports_that_it_is_not_alive(self) -> None:
        for state in (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT):
            reported = replace(ME, revision=4, state=state)
            after = _receive_entries(State(ME, 1), to_entry(reported))
            with self.subTest(state=state):
                self.assertTrue(after.me.supersedes(reported))
                self.assertTrue(after.me.is_live)

    def test_later_process_with_a_slow_clock_supersedes_its_predecessor(self) -> None:
        after = _receive_entries(State(ME, 1), to_entry(replace(ME, incarnation=900)))
        self.assertEqual(after.me.incarnation, 901)

    def test_reported_death_leaves_time_to_refute(self) -> None:
        state = _receive_entries(State(ME, 1), to_entry(PEER))
        dead = to_entry(replace(PEER, state=MemberState.DEAD))
        state = _receive_entries(state, dead, now=1.0)
        self.assertIs(state.others[PEER.address].state, MemberState.SUSPECT)
        refuted = _receive_entries(state, to_entry(replace(PEER, revision=1)), now=1.1)
        refuted, _ = decide(refuted, Tick(), 5.0)
        self.assertIs(refuted.others[PEER.address].state, MemberState.ALIVE)

    def test_older_description_does_not_replace_a_newer_one(self) -> None:
        state = _receive_entries(State(ME, 1), to_entry(replace(PEER, revision=3)))
        old = replace(PEER, revision=2, state=MemberState.SUSPECT)
        after = _receive_entries(state, to_entry(old))
        self.assertIs(after.others[PEER.address].state, MemberState.ALIVE)

    def test_pause_of_the_own_process_causes_no_suspicion(self) -> None:
        state = _receive_entries(State(ME, 1), to_entry(PEER))
        for now in (1.0, 1.5):
            state, _ = decide(state, Tick(), now)
        self.assertTrue(state.probes)
        for now in (61.0, 61.1, 61.2, 61.3, 61.4, 61.5):
            state, _ = decide(state, Tick(), now)
        self.assertFalse(state.suspicions)

    def test_relayed_ping_is_answered_when_the_target_answers(self) -> None:
        state = State(ME, 1)
        asked = PingRequest(Gossip(to_entry(PEER)), "10.0.0.7:7100")
        state, actions = decide(state, Received(asked, REPLY_TO), 1.0)
        self.assertFalse(any(isinstance(action, Reply) for action in actions))
        target = to_entry(replace(PEER, address="10.0.0.7:7100"))
        reply = Replied("10.0.0.7:7100", Ack(Gossip(target)), 1.0)
        _, actions = decide(state, reply, 1.1)
        self.assertTrue(any(isinstance(action, Reply) for action in actions))

    def test_number_of_updates_in_a_message_is_bounded(self) -> None:
        state = State(ME, 1)
        for number in range(200):
            entry = to_entry(replace(PEER, address=f"10.1.0.{number}:7100"))
            state = _receive_entries(state, entry)
        _, actions = decide(
            state, Received(Ping(Gossip(to_entry(PEER))), REPLY_TO), 1.0
        )
        (reply,) = (action for action in actions if isinstance(action, Reply))
        assert isinstance(reply.message, Ack)
        self.assertLess(len(reply.message.gossip.members), MEMBER_UPDATE_BYTES // 20)

    def test_members_are_published_once_a_tick(self) -> None:
        state = _receive_entries(State(ME, 1), to_entry(PEER))
        state, actions = decide(state, Tick(), 1.0)
        self.assertEqual(
            sum(isinstance(action, PublishMembers) for action in actions), 1
        )
        _, actions = decide(state, Tick(), 1.1)
        self.assertFalse(any(isinstance(action, PublishMembers) for action in actions))


class RankTest(unittest.TestCase):
    """Ranks agree between proxies, and the death of a member changes few of them."""

    def test_death_changes_only_the_ranks_behind_it(self) -> None:
        hosts = entry_hosts(6, 1)
        everyone = [
            Member(host.address, host.name, host.availability_zone, 1)
            for host in hosts
            if host.kind is HostKind.ENTRY
        ]
        before = Members(everyone[0], tuple(everyone[1:])).ranked("d1")
        dead = replace(before[2], state=MemberState.DEAD)
        others = (dead if m.address == dead.address else m for m in everyone[1:])
        after = Members(everyone[0], tuple(others)).ranked("d1")
        self.assertEqual(after, before[:2] + before[3:])

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(members).failed, 0)
