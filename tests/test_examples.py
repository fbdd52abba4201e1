"""Tests that the embedding examples run and import only public names."""

import ast
import contextlib
import io
import runpy
import unittest
from pathlib import Path

import beryltiller

_EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


class ExamplesTest(unittest.TestCase):
    """Each example runs, and imports only names in `beryltiller.__all__`.

    Fails if a public name that an example needs is renamed or no longer exported.
    """

    def test_fair_worker_runs_the_less_served_caller_first(self) -> None:
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            runpy.run_path(str(_EXAMPLES / "fair_worker.py"), run_name="__main__")
        first, *explanation = out.getvalue().splitlines()
        self.assertEqual(first, "order: export-1 checkout export-2 export-3")
        self.assertIn("counter", "\n".join(explanation))

    def test_examples_use_public_names(self) -> None:
        for path in _EXAMPLES.glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.ImportFrom) and node.module == "beryltiller":
                    names = {alias.name for alias in node.names}
                    self.assertLessEqual(names, set(beryltiller.__all__))
                elif isinstance(node, ast.ImportFrom):
                    self.assertFalse((node.module or "").startswith("beryltiller."))

    def test_public_names_exist(self) -> None:
        for name in beryltiller.__all__:
            self.assertTrue(hasattr(beryltiller, name), name)
