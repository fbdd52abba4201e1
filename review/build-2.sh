#!/bin/sh
# Build what the scripts of review/6 to review/10 start: all stand-ins are Python.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 - <<'P'
import ast
import importlib.util
import pathlib
import sys

for path in sorted(pathlib.Path("review").glob("standins-2/*.py")) + sorted(
    path for n in range(6, 11) for path in pathlib.Path(f"review/{n}").glob("*.py")
):
    ast.parse(path.read_text("utf-8"), str(path))
if importlib.util.find_spec("aiohttp") is None:
    sys.exit("aiohttp is missing: run the build of deploy/system.toml first")
P
