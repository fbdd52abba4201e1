"""Commands that ask running proxies: status, drain, explain, trace, failover."""

import asyncio
import sys
import time
from argparse import Namespace
from collections.abc import Iterator
from typing import TypeVar

import msgspec

from beryltiller.commands.command_errors import CommandError, ExitCode
from beryltiller.commands.configuration_commands import store_version
from beryltiller.commands.operator_client import OperatorClient, get_from_all
from beryltiller.core.text import columns
from beryltiller.observability.trace_text import render_trace
from beryltiller.process.operator_models import (
    ExplanationModel,
    FailoverModel,
    FailoverRequestModel,
    StatusModel,
    TraceModel,
)

_Model = TypeVar("_Model")

_WATCH_INTERVAL_SECONDS = 1.0
_POLL_INTERVAL_SECONDS = 0.1
_ALIVE = "alive"
_CLEAR_SCREEN = "\x1b[H\x1b[2J"
_STATUS_HEADER = (
    "PROXY",
    "ZONE",
    "STATE",
    "VERSION",
    "MEMBERS",
    "CONNECTIONS",
    "QUEUED",
    "EXECUTING",
    "TERMS",
)


def status(arguments: Namespace) -> ExitCode:
    """Print a line for each proxy, once or again every second."""
    while True:
        statuses = _statuses(arguments)
        if arguments.watch and not arguments.json:
            print(_CLEAR_SCREEN, end="")
        _print_statuses(statuses, arguments.json)
        if not arguments.watch:
            break
        time.sleep(_WATCH_INTERVAL_SECONDS)
    return _status_code(statuses)


def configuration_status(arguments: Namespace) -> ExitCode:
    """Print each proxy's version in force beside the table service's."""
    wanted = store_version(arguments)
    deadline = time.monotonic() + arguments.wait_seconds
    while True:
        statuses = _statuses(arguments)
        is_in_force = all(_has_version(each, wanted) for each in statuses.values())
        if is_in_force or time.monotonic() >= deadline:
            break
        time.sleep(_POLL_INTERVAL_SECONDS)
    rows = [(name, _version(each)) for name, each in statuses.items()]
    print(
        *columns(("PROXY", "VERSION"), [("table service", str(wanted)), *rows]),
        sep="\n",
    )
    return ExitCode.OK if is_in_force else ExitCode.NOT_YET


def drain(arguments: Namespace) -> ExitCode:
    """Ask one proxy to finish its requests and end; report until it has."""
    client = _only_client(arguments)
    asyncio.run(client.post("/v1/drain", msgspec.Raw))
    print("draining")
    deadline = time.monotonic() + arguments.wait_seconds
    while arguments.wait_seconds and time.monotonic() < deadline:
        (answer,) = asyncio.run(get_from_all([client], "/v1/status", StatusModel))
        if _is_gone(answer):
            print("the proxy has ended")
            return ExitCode.OK
        if isinstance(answer, StatusModel):
            print(f"{answer.in_flight} requests in flight", file=sys.stderr)
        time.sleep(_POLL_INTERVAL_SECONDS)
    return ExitCode.NOT_YET if arguments.wait_seconds else ExitCode.OK


def explain(arguments: Namespace) -> ExitCode:
    """Print why a request was served when it was, from its proxy's record."""
    path = f"/v1/explain/{arguments.request}"
    for found in _answers(arguments, path, ExplanationModel):
        print(*found.lines, sep="\n")
        return ExitCode.OK
    cause = f"no proxy has a record of request {arguments.request}"
    mend = "records are kept for a while only; ask every proxy by --operator-address"
    raise CommandError(ExitCode.NOT_FOUND, cause, mend)


def trace(arguments: Namespace) -> ExitCode:
    """Print the spans of one trace or request from all proxies, as a tree."""
    answers = _answers(arguments, f"/v1/trace/{arguments.id}", TraceModel)
    spans = [span for answer in answers for span in answer.spans]
    if not spans:
        cause = f"no proxy has a span of {arguments.id}"
        mend = "ask for a trace by the sampled flag of traceparent; old spans are gone"
        raise CommandError(ExitCode.NOT_FOUND, cause, mend)
    if arguments.json:
        print(msgspec.json.encode(spans).decode())
    else:
        print(*render_trace(spans), sep="\n")
    return ExitCode.OK


def failover(arguments: Namespace) -> ExitCode:
    """Ask a proxy to promote another primary of a group."""
    client = _clients(arguments)[0]
    asked = FailoverRequestModel(arguments.to or "")
    path = f"/v1/failover/{arguments.group}"
    answer = asyncio.run(client.post(path, FailoverModel, asked))
    if answer is None:
        cause = f'no group "{arguments.group}" at {client.address}'
        raise CommandError(ExitCode.NOT_FOUND, cause, "see `beryltiller groups list`")
    print(f"group {answer.group}: term {answer.term}, primary {answer.primary}")
    if arguments.to in (None, answer.primary):
        return ExitCode.OK
    cause = f"{answer.primary} was opened, not {arguments.to}"
    mend = "the most advanced log is preferred; try again once the replica is level"
    raise CommandError(ExitCode.FAILED, cause, mend)


def _clients(arguments: Namespace) -> list[OperatorClient]:
    return [
        OperatorClient(address, arguments.timeout_seconds)
        for address in arguments.operator_address
    ]


def _only_client(arguments: Namespace) -> OperatorClient:
    clients = _clients(arguments)
    if len(clients) == 1:
        return clients[0]
    cause = f"{len(clients)} operator addresses given, drain takes one"
    raise CommandError(ExitCode.USAGE, cause, "name the proxy to be drained")


def _is_gone(answer: StatusModel | CommandError | None) -> bool:
    """Tell a proxy that refuses connections from one that is slow to answer."""
    return isinstance(answer, CommandError) and answer.code is ExitCode.UNREACHABLE


def _answers(arguments: Namespace, path: str, model: type[_Model]) -> list[_Model]:
    clients = _clients(arguments)
    answers = asyncio.run(get_from_all(clients, path, model))
    errors = [each for each in answers if isinstance(each, CommandError)]
    if len(errors) == len(clients):
        raise errors[0]
    for error in errors:
        print(f"beryltiller: {error}", file=sys.stderr)
    return [each for each in answers if isinstance(each, model)]


def _statuses(arguments: Namespace) -> dict[str, StatusModel | CommandError]:
    """Return each proxy's status, or the error met, by name or by address."""
    clients = _clients(arguments)
    answers = asyncio.run(get_from_all(clients, "/v1/status", StatusModel))
    found: dict[str, StatusModel | CommandError] = {}
    for client, answer in zip(clients, answers, strict=True):
        if isinstance(answer, StatusModel):
            found[answer.proxy] = answer
        else:
            found[str(client.address)] = answer or _no_status(client)
    return found


def _no_status(client: OperatorClient) -> CommandError:
    cause = f"{client.address} has no /v1/status"
    return CommandError(ExitCode.FAILED, cause, "check that it is an operators' port")


def _print_statuses(
    statuses: dict[str, StatusModel | CommandError], is_json: bool
) -> None:
    if is_json:
        answers = [each for each in statuses.values() if isinstance(each, StatusModel)]
        print(msgspec.json.encode(answers).decode(), flush=True)
    else:
        print(*columns(_STATUS_HEADER, _status_rows(statuses)), sep="\n", flush=True)
    for each in statuses.values():
        if isinstance(each, CommandError):
            print(f"beryltiller: {each}", file=sys.stderr)


def _status_rows(
    statuses: dict[str, StatusModel | CommandError],
) -> Iterator[tuple[str, ...]]:
    for name, each in statuses.items():
        if isinstance(each, CommandError):
            yield (name, "", "no answer", *("" for _ in _STATUS_HEADER[3:]))
        else:
            yield _status_row(each)


def _status_row(each: StatusModel) -> tuple[str, ...]:
    state = "ready" if each.is_ready else "not ready"
    return (
        each.proxy,
        each.availability_zone,
        "draining" if each.is_draining else state,
        str(each.configuration_version),
        str(sum(member.state == _ALIVE for member in each.members)),
        str(each.connections),
        str(each.queued),
        str(each.executing),
        " ".join(f"{term.group}:{term.term}:{term.primary}" for term in each.terms),
    )


def _status_code(statuses: dict[str, StatusModel | CommandError]) -> ExitCode:
    errors = [each for each in statuses.values() if isinstance(each, CommandError)]
    return errors[0].code if errors else ExitCode.OK


def _has_version(each: StatusModel | CommandError, wanted: int) -> bool:
    return isinstance(each, StatusModel) and each.configuration_version >= wanted


def _version(each: StatusModel | CommandError) -> str:
    if isinstance(each, CommandError):
        return "no answer"
    return str(each.configuration_version)
