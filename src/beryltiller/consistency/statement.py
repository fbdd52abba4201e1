"""Callers' requests, parsed and validated from HTTP headers."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec
from returns.result import Failure, Result, Success

from beryltiller.core.outcome import Kind, Refusal

DEFAULT_TIMEOUT_MILLISECONDS = 5_000
MAX_TIMEOUT_MILLISECONDS = 60_000
MAX_AGE_MILLISECONDS = 3_600_000
MAX_BODY_BYTES = 1_048_576
MAX_SESSION_CHARACTERS = 2_048

_PREFIX = "beryl-"
_TRACE_HEADER = "traceparent"
_TRACE_PARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
_FIELD_IN_ERROR = re.compile(r"(?:\$\.|field `)([a-z0-9-]+)`")

# Visible ASCII only: values are passed on in headers and must not break their lines.
_Name = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,64}\Z")]
_Key = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,128}\Z")]
_Token = Annotated[str, msgspec.Meta(max_length=MAX_SESSION_CHARACTERS)]
_Timeout = Annotated[int, msgspec.Meta(ge=1, le=MAX_TIMEOUT_MILLISECONDS)]
_Age = Annotated[int, msgspec.Meta(ge=1, le=MAX_AGE_MILLISECONDS)]


def _header_name(field: str) -> str:
    """Return the lower-case name of the header for a field of `_Headers`."""
    return _PREFIX + field.replace("_", "-")


class _Headers(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=_header_name
):
    """The `Beryl-` headers of a request.

    An unknown one is refused, as it is likely a misspelt name.
    """

    route: _Name
    caller: _Name = "anonymous"
    session: _Token = ""
    request_key: _Key | None = None
    timeout_ms: _Timeout = DEFAULT_TIMEOUT_MILLISECONDS
    idempotent: Literal["true", "false"] | None = None
    max_age_ms: _Age | None = None
    transaction: _Name | None = None
    partition: _Name | None = None


@dataclass(frozen=True, slots=True)
class Request:
    """A validated request of a caller.

    `session` is the text of the session header, not yet verified. `key` is the request
    key, under which a repeated write runs only once. `idempotent` and `max_age_seconds`
    are None if the caller left the choice to the route.
    """

    route: str
    caller: str
    body: bytes
    session: str = ""
    key: str = ""
    timeout_seconds: float = DEFAULT_TIMEOUT_MILLISECONDS / 1000
    idempotent: bool | None = None
    max_age_seconds: float | None = None
    transaction: str = ""
    partition: str = ""
    trace_parent: str = ""

    @property
    def shard_key(self) -> str:
        """Return the key that chooses the group within a pool."""
        return self.partition or self.caller

    @property
    def scoped_key(self) -> str:
        """Return the request key that the database claims, or empty text without one.

        It is prefixed with the caller's name, so that two callers with equal keys never
        receive each other's answers. Neither part can contain the space between them.
        """
        return f"{self.caller} {self.key}" if self.key else ""


def parse_request(
    headers: Iterable[tuple[str, str]], body: bytes, needs_body: bool = True
) -> Result[Request, Refusal]:
    """Return the request, or a refusal with the invalid header and the reason.

    `needs_body` is False for requests that begin or end a transaction.

    >>> parse_request([("Beryl-Route", "orders")], b"book").unwrap().route
    'orders'
    >>> str(parse_request([("Beryl-Rout", "orders")], b"book").failure())
    'Beryl-Rout: unknown header'
    """
    if needs_body and not body:
        return Failure(Refusal("the statement is empty", "body"))
    if len(body) > MAX_BODY_BYTES:
        return Failure(Refusal(f"longer than {MAX_BODY_BYTES} bytes", "body"))
    own: dict[str, str] = {}
    trace_parent = ""
    for name, value in headers:
        lower = name.lower()
        if lower == _TRACE_HEADER:
            trace_parent = value
        elif lower in own:
            return Failure(Refusal("given more than once", _display_name(lower)))
        elif lower.startswith(_PREFIX):
            own[lower] = value
    try:
        fields = msgspec.convert(own, _Headers, strict=False)
    except msgspec.ValidationError as error:
        return Failure(_as_refusal(error))
    return Success(_as_request(fields, body, trace_parent))


def check_request(request: Request, kind: Kind, claims_keys: bool) -> Refusal | None:
    """Return a refusal if a request does not fit its route's kind of work, else None.

    `claims_keys` is True if the group's databases claim keys in the write's own log
    entry. Without that, an unsafe write could run twice.
    """
    if request.max_age_seconds is not None and kind is not Kind.AGED_READ:
        return Refusal("only for routes of kind aged-read", "Beryl-Max-Age-Ms")
    if request.key and not kind.is_write:
        return Refusal("only for routes that write", "Beryl-Request-Key")
    if request.key and request.transaction:
        return Refusal("belongs on the transaction's commit", "Beryl-Request-Key")
    if request.key and not claims_keys:
        return Refusal("the databases cannot claim keys", "Beryl-Request-Key")
    if kind is not Kind.UNSAFE_WRITE:
        return None
    if request.idempotent:
        return Refusal("the route is unsafe to repeat", "Beryl-Idempotent")
    if not claims_keys:
        return Refusal("the databases cannot claim keys", "Beryl-Route")
    if not request.key and not request.transaction:
        return Refusal("required on routes unsafe to repeat", "Beryl-Request-Key")
    return None


def _as_request(fields: _Headers, body: bytes, trace_parent: str) -> Request:
    """Return the request for validated headers, with times in seconds."""
    age = fields.max_age_ms
    if not _TRACE_PARENT.fullmatch(trace_parent):
        # The Trace Context standard requires a new trace here, not a refusal.
        trace_parent = ""
    return Request(
        fields.route,
        fields.caller,
        body,
        fields.session,
        fields.request_key or "",
        fields.timeout_ms / 1000,
        None if fields.idempotent is None else fields.idempotent == "true",
        None if age is None else age / 1000,
        fields.transaction or "",
        fields.partition or "",
        trace_parent,
    )


def _as_refusal(error: msgspec.ValidationError) -> Refusal:
    """Return a refusal that names the header, from msgspec's error message."""
    reason = str(error)
    match = _FIELD_IN_ERROR.search(reason)
    name = _display_name(match.group(1)) if match else ""
    if "unknown field" in reason:
        return Refusal("unknown header", name)
    if "missing required" in reason:
        return Refusal("required", name)
    return Refusal(reason.partition(" - at ")[0], name)


def _display_name(lower: str) -> str:
    """Return a lower-case header name in its usual spelling.

    >>> _display_name("beryl-max-age-ms")
    'Beryl-Max-Age-Ms'
    """
    return "-".join(part.capitalize() for part in lower.split("-"))
