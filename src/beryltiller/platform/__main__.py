"""Run a proxy on the users' platform: `python -m beryltiller.platform`."""

import sys

from beryltiller.platform.daemon import main

if __name__ == "__main__":
    sys.exit(main())
