"""Carries out the shutdown steps of a stopping proxy on its callers' connections."""

import asyncio
from collections.abc import Callable

from beryltiller.platform.ingress import Ingress
from beryltiller.sessions.forwarding.forwarded_sessions import ForwardedSessions
from beryltiller.sessions.serving.shutdown import shutdown_step

STEP_SECONDS = 0.05


async def drain_ingress(
    ingress: Ingress,
    grace_seconds: float,
    clock: Callable[[], float],
    forwarded: ForwardedSessions | None = None,
) -> None:
    """Close callers' connections step by step; return when the proxy may end.

    Connections that are open then are answered and closed by `Ingress.close`. What
    peers have `forwarded` is finished too.
    """
    began = clock()
    while True:
        open_count = ingress.open_connections
        if forwarded is not None:
            open_count += forwarded.open_count
        step = shutdown_step(clock() - began, grace_seconds, open_count)
        if step.is_over:
            return
        if not step.admits:
            ingress.stop_listening()
        if step.closes_idle:
            ingress.close_idle()
        if step.ends_transactions:
            ingress.end_transactions()
            if forwarded is not None:
                forwarded.end_transactions()
        await asyncio.sleep(STEP_SECONDS)
