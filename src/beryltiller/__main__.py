"""Run the command line with `python -m beryltiller`."""

import sys

from beryltiller.commands.cli import main

if __name__ == "__main__":
    sys.exit(main())
