"""A caller of a proxy: one request at a time, over HTTP, with typed outcomes."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import aiohttp

from beryltiller.core.outcome import Outcome

_STATEMENTS_PATH = "/v1/statements"
_MARGIN_SECONDS = 1.0
_MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Request:
    """Hold one statement for a route; an empty text leaves the header out."""

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
        """Return the request's headers."""
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
    """Hold what a caller may conclude, and the answer's body and headers.

    `status` is 0 when no whole HTTP answer arrived.
    """

    outcome: Outcome
    status: int = 0
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)

    @property
    def session(self) -> str:
        """Return the token for the session's next request."""
        return self.headers.get("Beryl-Session", "")

    @property
    def served_by(self) -> str:
        """Return the database that served."""
        return self.headers.get("Beryl-Served-By", "")

    @property
    def request_id(self) -> str:
        """Return the identifier by which operators find the request."""
        return self.headers.get("Beryl-Request-Id", "")


async def send(
    session: aiohttp.ClientSession, address: str, request: Request
) -> Answer:
    """Send a statement to the proxy at `address`, `ip:port`.

    A connection that could not be made proves that nothing ran. Any other failure
    leaves the outcome unknown.
    """
    seconds = request.timeout_ms / _MS_PER_SECOND + _MARGIN_SECONDS
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
    outcome = _outcome(response.headers.get("Beryl-Outcome", ""))
    return Answer(outcome, response.status, body, dict(response.headers))


def _outcome(header: str) -> Outcome:
    try:
        return Outcome(header)
    except ValueError:
        return Outcome.UNKNOWN
