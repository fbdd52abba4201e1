"""Tests that the pages generated from the code are current."""

import unittest
from pathlib import Path

from beryltiller.commands.documents import PAGES, modules_page, render_page
from beryltiller.observability.logs import message_rows

_ROOT = Path(__file__).resolve().parent.parent
_DOCS = _ROOT / "docs"


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


class LogsTest(unittest.TestCase):
    """The meaning of a log message is one line, as more would end the table's row."""

    def test_each_meaning_is_one_line(self) -> None:
        for message_type, _, meaning in message_rows():
            with self.subTest(message_type):
                self.assertEqual(meaning.splitlines(), [meaning])


class ModulesTest(unittest.TestCase):
    """The page of modules omits none, such as those of a package within a package."""

    def test_each_module_is_listed_under_its_package(self) -> None:
        listed = set()
        package = ""
        for line in modules_page():
            if line.startswith("`src/"):
                package = line.strip("`")
            elif line.startswith("| `"):
                listed.add(f"{package}{line.split('`')[1]}.py")
        modules = (_ROOT / "src" / "beryltiller").rglob("*.py")
        self.assertEqual(listed, {str(each.relative_to(_ROOT)) for each in modules})
