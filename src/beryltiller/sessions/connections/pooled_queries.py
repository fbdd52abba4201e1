"""Queries and commands on connections that were acquired from a pool."""

from collections.abc import Awaitable
from typing import TypeVar

from beryltiller.sessions.connections.connection_pool import ConnectionPool
from beryltiller.sessions.connections.pooled_connection import PooledConnection
from beryltiller.sessions.errors import NotSentError
from beryltiller.sessions.statements import DatabaseStatus, ProxyCommand

_Answer = TypeVar("_Answer")


async def run_command(
    pool: ConnectionPool, connection: PooledConnection, statement: ProxyCommand
) -> DatabaseStatus:
    """Run a command on an acquired connection, and release the connection."""
    return await run_query(pool, connection, connection.command(statement))


async def run_query(
    pool: ConnectionPool, connection: PooledConnection, query: Awaitable[_Answer]
) -> _Answer:
    """Await a query on an acquired connection, and release the connection."""
    try:
        answer = await query
    except NotSentError:
        # A database too busy to answer leaves the connection open.
        pool.release(connection)
        raise
    except BaseException:
        pool.discard(connection)
        raise
    pool.release(connection)
    return answer
