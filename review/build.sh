#!/bin/sh
# Check that all stand-ins of the scripts can be loaded. They are Python programs that use
# the standard library and aiohttp, which the build of the deploy file installs.
set -e
cd "$(dirname "$0")/.."
for file in review/standins/*.py review/*/case.py; do
    [ -e "$file" ] || continue
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 python3 -c "import standins.harness"
