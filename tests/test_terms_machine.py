"""Stateful tests of the real decisions about terms under random faults.

They check after every fault that no term has two primaries and no protected write is
lost, as the model in `spec_terms` does, and that writes resume once all faults are
removed.
"""

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from beryltiller.primaries.term_events import SwitchoverRequested
from tests.fake_cluster import GROUP, STORE, Cluster

PROXIES = ("p0", "p1", "p2")
NODES = (*PROXIES, *GROUP.names, STORE)
FAULTS = st.sampled_from(("none", "dead", "frozen", "slow"))
SECONDS = st.sampled_from((0.02, 0.3, 0.9, 1.6, 2.6))
REQUESTS = ("CommitRow", "Fence", "Open", "Follow", "ScanTerms")
RECOVERY_SECONDS = 14.0


class TermsMachine(RuleBasedStateMachine):
    """Random faults in a cluster of three proxies, a store and three databases."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster(proxies=len(PROXIES))
        self.cluster.run(2.0)

    @rule(name=st.sampled_from(GROUP.names), fault=FAULTS, seconds=SECONDS)
    def change_database_fault(self, name: str, fault: str, seconds: float) -> None:
        database = self.cluster.databases[name]
        database.is_up = fault != "dead"
        database.is_frozen = fault == "frozen"
        self.cluster.delays[name] = 0.7 if fault == "slow" else 0.0
        self.cluster.run(seconds)

    @rule(fault=FAULTS, seconds=SECONDS)
    def change_store_fault(self, fault: str, seconds: float) -> None:
        self.cluster.is_store_up = fault != "dead"
        self.cluster.delays[STORE] = 0.7 if fault == "slow" else 0.0
        self.cluster.run(seconds)

    @rule(name=st.sampled_from(PROXIES), fault=FAULTS, seconds=SECONDS)
    def change_proxy_fault(self, name: str, fault: str, seconds: float) -> None:
        proxy = self.cluster.proxies[name]
        if fault == "dead":
            proxy.is_up = False
            self.cluster.start_proxy(name)
        if fault == "frozen":
            proxy.paused_until = self.cluster.now + 2.0
        self.cluster.delays[name] = 0.7 if fault == "slow" else 0.0
        self.cluster.run(seconds)

    @rule(
        proxy=st.sampled_from(PROXIES),
        is_refused=st.booleans(),
        is_slow=st.booleans(),
        seconds=SECONDS,
    )
    def isolate_primary(
        self, proxy: str, is_refused: bool, is_slow: bool, seconds: float
    ) -> None:
        if is_slow:
            self.change_proxy_fault(proxy, "slow", 0.9)
        primary = self.cluster.primary().name
        self.cluster.cut({proxy, primary}, set(NODES) - {proxy, primary})
        if is_refused:
            self.cluster.reject(primary, set(PROXIES) - {proxy})
        self.cluster.run(seconds)

    @rule(side=st.sets(st.sampled_from(NODES), min_size=1, max_size=3), seconds=SECONDS)
    def cut(self, side: set[str], seconds: float) -> None:
        self.cluster.cut(side, set(NODES) - side)
        self.cluster.run(seconds)

    @rule(name=st.sampled_from(GROUP.names), seconds=SECONDS)
    def stop_replication(self, name: str, seconds: float) -> None:
        self.cluster.cut({name}, set(GROUP.names) - {name})
        self.cluster.run(seconds)

    @rule(request=st.sampled_from(REQUESTS), seconds=SECONDS)
    def lose_answer(self, request: str, seconds: float) -> None:
        self.cluster.answers_to_lose.add(request)
        self.cluster.run(seconds)

    @rule(name=st.sampled_from(PROXIES), primary=st.sampled_from(GROUP.names))
    def switch_over(self, name: str, primary: str) -> None:
        event = SwitchoverRequested(GROUP.name, primary)
        self.cluster.deliver(name, self.cluster.proxies[name], event)
        self.cluster.run(0.2)

    @rule(seconds=SECONDS)
    def heal(self, seconds: float) -> None:
        cluster = self.cluster
        cluster.cuts.clear()
        cluster.rejected.clear()
        cluster.delays.clear()
        cluster.answers_to_lose.clear()
        cluster.is_store_up = True
        for database in cluster.databases.values():
            database.is_up, database.is_frozen = True, False
        cluster.run(seconds)

    @invariant()
    def has_no_violations(self) -> None:
        assert self.cluster.violations == []

    def teardown(self) -> None:
        """Remove all faults; writes must resume, and none in two logs may be lost."""
        self.heal(RECOVERY_SECONDS)
        cluster = self.cluster
        assert cluster.violations == []
        assert cluster.longest_write_gap(cluster.now - 1.0) < 0.3
        assert not [each for each in cluster.lost_writes() if each.by_two_logs]
        terms = {each.accepted_term for each in cluster.databases.values()}
        assert terms == {cluster.rows[GROUP.name][1].term}


TermsMachineTest = TermsMachine.TestCase
TermsMachineTest.settings = settings(
    max_examples=30,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
    database=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


if __name__ == "__main__":
    unittest.main()
