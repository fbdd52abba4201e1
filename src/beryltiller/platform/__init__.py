"""The proxy for the users' platform, whose callers and databases use a line protocol.

Its decisions are made by `beryltiller.sessions`; this package does the I/O. The proxy
of `beryltiller.process` is another one: it serves callers over HTTP, and its platform
is that of `beryltiller.adapters.platform_client`.
"""
