"""How many of the process's descriptors callers may take."""

import os
import resource
import socket
import sys

# The kernel queues this many new connections until the proxy accepts them.
BACKLOG_CONNECTIONS = 1024
# They are accepted before the first of them can be refused.
ACCEPTS_AT_ONCE = 16
# The other descriptors of the process are left to databases, the store and files.
CALLERS_SHARE_OF_DESCRIPTORS = 0.875
# Connections to databases, the store and other proxies, which a small limit on
# descriptors must leave room for, beside the accepts at once.
OWN_DESCRIPTORS = 96


def max_callers_of_process() -> int:
    """Return how many callers may be connected with the descriptors of the process."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return sys.maxsize
    share = int(descriptors * CALLERS_SHARE_OF_DESCRIPTORS)
    return max(1, min(share, descriptors - OWN_DESCRIPTORS))


def set_backlog(listener: int) -> None:
    """Let the kernel queue more connections than the event loop accepts at once."""
    with socket.socket(fileno=os.dup(listener)) as same:
        same.listen(BACKLOG_CONNECTIONS)
