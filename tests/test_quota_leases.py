"""Tests of who may take a shard's lease, and when without waiting for its end."""

import unittest

from beryltiller.core.ports import Row
from beryltiller.core.revisions import VERSION_BITS
from beryltiller.quotas.holdings import Process
from beryltiller.quotas.leases import LEASE_SECONDS, TAKEOVER_SECONDS, Claim, Lease

ONE, TWO = Process("front-1", 10), Process("front-2", 10)
ADDRESS = "127.0.0.1:7"


def taken(lease: Lease, now: float, version: int = 5) -> Row:
    """Return the row that a lease has in the store once it was taken at `now`."""
    claim = lease.claim(77, (ONE, TWO), 1000)
    lease.confirm(claim, version, now, now)
    return Row("shard-0", version, claim.value)


def observed(process: Process, row: Row | None, address: str = ADDRESS) -> Lease:
    """Return the lease as a process knows it that has just read the row."""
    lease = Lease(0, process, address)
    lease.observe(row, 0.0)
    return lease


class TakeoverTest(unittest.TestCase):
    """A lease is taken early only if its allocator is shown not to run any more."""

    def setUp(self) -> None:
        self.row = taken(observed(ONE, None), 0.0)

    def test_lease_of_another_host_is_taken_after_its_end_only(self) -> None:
        other = observed(TWO, self.row, "127.0.0.2:7")
        self.assertFalse(other.may_take(LEASE_SECONDS))
        self.assertTrue(other.may_take(TAKEOVER_SECONDS))

    def test_process_that_started_again_takes_the_lease_of_its_former_run(
        self,
    ) -> None:
        cases = (
            (Process("front-1", 11), ADDRESS, True),
            (Process("front-1", 11), "127.0.0.9:7", False),
            (Process("front-1", 9), ADDRESS, False),
            (Process("front-2", 11), ADDRESS, False),
        )
        for process, address, may_take in cases:
            with self.subTest(process, address=address):
                lease = observed(process, self.row, address)
                self.assertIs(lease.may_take(0.1), may_take)

    def test_row_of_before_a_restoration_is_waited_for(self) -> None:
        """Guards against a second allocator beside one whose row the store lost."""
        former = Lease(0, ONE, ADDRESS)
        former.observe(None, 0.0)
        claim: Claim = former.claim(77, (), 0)
        later_era = 1 << VERSION_BITS
        for version, may_take in ((5, True), (later_era + 5, False)):
            restored = Row("shard-0", version, claim.value)
            lease = observed(Process("front-1", 11), restored)
            self.assertIs(lease.may_take(0.1), may_take)

    def test_missing_row_is_taken_at_once_only_at_the_first_start(self) -> None:
        lease = observed(ONE, None)
        self.assertFalse(lease.may_take(0.1))
        self.assertTrue(lease.may_take(0.1, is_bootstrap=True))
        known = observed(TWO, self.row, "127.0.0.2:7")
        self.assertFalse(known.may_take(0.1, is_bootstrap=True))


class ReleaseTest(unittest.TestCase):
    """A proxy that stops gives its lease up before another one takes it."""

    def test_released_lease_is_taken_at_once_and_not_used_before(self) -> None:
        lease = observed(ONE, None)
        taken(lease, 0.0)
        claim = lease.release((ONE, TWO), 1000)
        self.assertFalse(lease.is_held(0.1))
        self.assertFalse(lease.is_own)
        other = observed(TWO, Row("shard-0", 6, claim.value), "127.0.0.2:7")
        self.assertTrue(other.may_take(0.1))
        assert other.listed is not None
        self.assertEqual(other.listed.holders, {ONE, TWO})


class LapseTest(unittest.TestCase):
    """An allocator whose lease lapsed goes on only if nobody else has written."""

    def test_lapsed_lease_is_renewed_while_the_row_is_its_own(self) -> None:
        lease = observed(ONE, None)
        row = taken(lease, 0.0)
        later = 3 * LEASE_SECONDS
        self.assertFalse(lease.is_held(later))
        lease.observe(row, later)
        self.assertTrue(lease.is_own)
        claim = lease.claim(77, (ONE,), 1000)
        self.assertEqual(claim.expected, row.version)
        lease.confirm(claim, 9, later, later)
        self.assertTrue(lease.is_held(later + 1.0))

    def test_row_of_another_process_ends_it(self) -> None:
        lease = observed(ONE, None)
        row = taken(lease, 0.0)
        other = observed(TWO, row, "127.0.0.2:7")
        claim = other.claim(78, (ONE, TWO), 1000)
        lease.observe(Row("shard-0", 8, claim.value), 20.0)
        self.assertFalse(lease.is_own)


if __name__ == "__main__":
    unittest.main()
