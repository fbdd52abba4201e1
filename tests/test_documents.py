"""Tests that the pages generated from the code are current."""

import unittest
from pathlib import Path

from beryltiller.commands.documents import PAGES, render_page

_DOCS = Path(__file__).resolve().parent.parent / "docs"


class PagesTest(unittest.TestCase):
    """Each page in docs/ equals what the code generates.

    It differs once a setting, a log event, a metric, a span or a module's summary
    has changed and the pages were not written again.
    """

    def test_pages_are_current(self) -> None:
        for name in PAGES:
            with self.subTest(page=name):
                found = (_DOCS / name).read_text(encoding="utf-8")
                self.assertEqual(found, render_page(name), "run `make documents`")
