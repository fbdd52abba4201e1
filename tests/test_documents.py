"""Tests that the pages made from the code are current."""

import unittest
from pathlib import Path

from beryltiller.commands.documents import PAGES, page

_DOCS = Path(__file__).resolve().parent.parent / "docs"


class PagesTest(unittest.TestCase):
    """Each page in the repository is the one that the code makes."""

    def test_pages_are_current(self) -> None:
        for name in PAGES:
            with self.subTest(page=name):
                found = (_DOCS / name).read_text(encoding="utf-8")
                self.assertEqual(found, page(name), "run `make documents`")
