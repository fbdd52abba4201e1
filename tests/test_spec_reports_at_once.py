"""Exhaustive checks of reports without a receipt: when commits are kept, when not."""

import unittest

from tests.spec_reported_commits import ReportingBounds, is_kept


class ReportsAtOnceSpecificationTest(unittest.TestCase):
    """Without a receipt, commits are kept if the proxy hears of all that happens."""

    def test_reported_commits_are_kept_if_each_proxy_hears_in_time(self) -> None:
        bounds = ReportingBounds(cuts=0, at_once=True, is_heard_in_time=True)
        self.assertTrue(is_kept(bounds))

    def test_announcement_that_is_heard_late_loses_a_commit(self) -> None:
        self.assertFalse(is_kept(ReportingBounds(cuts=0, at_once=True)))

    def test_cut_loses_a_commit_even_if_it_is_noticed(self) -> None:
        for is_noticed in (False, True):
            with self.subTest(is_noticed=is_noticed):
                bounds = ReportingBounds(
                    at_once=True, is_heard_in_time=True, is_cut_noticed=is_noticed
                )
                self.assertFalse(is_kept(bounds))

    def test_database_that_starts_behind_a_cut_loses_a_commit(self) -> None:
        bounds = ReportingBounds(
            at_once=True, is_heard_in_time=True, is_start_known=True
        )
        self.assertFalse(is_kept(bounds))

    def test_reported_commits_are_kept_if_starts_are_known(self) -> None:
        for bounds in (
            ReportingBounds(at_once=True, is_start_known=True, is_start_slow=True),
            ReportingBounds(at_once=True, is_start_known=True, is_cut_noticed=True),
        ):
            with self.subTest(bounds):
                self.assertTrue(is_kept(bounds))
