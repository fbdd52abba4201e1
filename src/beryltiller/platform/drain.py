"""Carries out the shutdown steps of a stopping proxy on its callers' connections."""

import asyncio
from collections.abc import Callable

from beryltiller.platform.ingress import Ingress
from beryltiller.sessions.serving.shutdown import shutdown_step

STEP_SECONDS = 0.05


async def drain_ingress(
    ingress: Ingress, grace_seconds: float, clock: Callable[[], float]
) -> None:
    """Close callers' connections step by step; return when the proxy may end.

    Connections that are open then are answered and closed by `Ingress.close`.
    """
    began = clock()
    while True:
        step = shutdown_step(clock() - began, grace_seconds, ingress.open_connections)
        if step.is_over:
            return
        if not step.admits:
            ingress.stop_listening()
        if step.closes_idle:
            ingress.close_idle()
        if step.ends_transactions:
            ingress.end_transactions()
        await asyncio.sleep(STEP_SECONDS)
