"""An HTTP client of a proxy, which returns typed outcomes instead of raising."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import aiohttp

from beryltiller.core.outcome import Outcome

_STATEMENTS_PATH = "/v1/statements"
# The client waits this much longer than the timeout that it sends to the proxy.
_TIMEOUT_MARGIN_SECONDS = 1.0
_MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Request:
    """A statement for a route; the header of an empty field is left out.

    `session` is the token of an earlier answer, `key` the request key by which a
    repeated write is recognised, and `timeout_ms` the limit that the proxy observes.
    """

    route: str
    body: bytes
    caller: str = ""
    session: str = ""
    key: str = ""
    partition: str = ""
    timeout_ms: int = 5000
    is_idempotent: bool = False
    trace_parent: str = ""

    def headers(self) -> dict[str, str]:
        """Return the HTTP headers for the fields that are set."""
        values = {
            "Beryl-Route": self.route,
            "Beryl-Caller": self.caller,
            "Beryl-Session": self.session,
            "Beryl-Request-Key": self.key,
            "Beryl-Partition": self.partition,
            "Beryl-Timeout-Ms": str(self.timeout_ms),
            "Beryl-Idempotent": "true" if self.is_idempotent else "",
            "traceparent": self.trace_parent,
        }
        return {name: value for name, value in values.items() if value}


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer of a proxy, with the outcome that the caller may rely on.

    `status` is 0 when no complete HTTP answer arrived.
    """

    outcome: Outcome
    status: int = 0
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)

    @property
    def session(self) -> str:
        """Return the session token for the next request; empty if there is none."""
        return self.headers.get("Beryl-Session", "")

    @property
    def served_by(self) -> str:
        """Return the name of the database that ran the statement, or empty text."""
        return self.headers.get("Beryl-Served-By", "")

    @property
    def request_id(self) -> str:
        """Return the identifier by which operators find the request in traces."""
        return self.headers.get("Beryl-Request-Id", "")


async def send(
    session: aiohttp.ClientSession, address: str, request: Request
) -> Answer:
    """Send a statement to the proxy at `address` (`ip:port`).

    The outcome is `NOT_RUN` if no connection could be made, since then nothing was
    sent, and `UNKNOWN` after any other failure.
    """
    seconds = request.timeout_ms / _MS_PER_SECOND + _TIMEOUT_MARGIN_SECONDS
    try:
        async with session.post(
            f"http://{address}{_STATEMENTS_PATH}",
            data=request.body,
            headers=request.headers(),
            timeout=aiohttp.ClientTimeout(total=seconds),
        ) as response:
            body = await response.read()
    except aiohttp.ClientConnectorError:
        return Answer(Outcome.NOT_RUN)
    except (aiohttp.ClientError, TimeoutError, OSError):
        return Answer(Outcome.UNKNOWN)
    outcome = _parse_outcome(response.headers.get("Beryl-Outcome", ""))
    return Answer(outcome, response.status, body, dict(response.headers))


def _parse_outcome(header: str) -> Outcome:
    try:
        return Outcome(header)
    except ValueError:
        return Outcome.UNKNOWN
