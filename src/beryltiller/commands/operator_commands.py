"""Commands sent to running proxies: status, drain, explain, trace, failover."""

import asyncio
import sys
import time
from argparse import Namespace
from collections.abc import Iterator
from typing import TypeVar

import msgspec

from beryltiller.commands.command_errors import CommandError, ExitCode
from beryltiller.commands.configuration_commands import read_newest_version
from beryltiller.commands.operator_client import OperatorClient, get_from_all
from beryltiller.core.paths import PathError, url_path
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
    """Print the state of each proxy, once or, with `--watch`, every second."""
    while True:
        statuses = _fetch_statuses(arguments)
        if arguments.watch and not arguments.json:
            print(_CLEAR_SCREEN, end="")
        _print_statuses(statuses, arguments.json)
        if not arguments.watch:
            break
        time.sleep(_WATCH_INTERVAL_SECONDS)
    return _first_error_code(statuses)


def configuration_status(arguments: Namespace) -> ExitCode:
    """Print the configuration version of the table service and of each proxy.

    Return `ExitCode.NOT_YET` if a proxy does not answer or still has an older version
    after `--wait-seconds`.
    """
    newest_version = read_newest_version(arguments)
    deadline = time.monotonic() + arguments.wait_seconds
    while True:
        statuses = _fetch_statuses(arguments)
        is_in_force = all(
            _has_version(each, newest_version) for each in statuses.values()
        )
        if is_in_force or time.monotonic() >= deadline:
            break
        time.sleep(_POLL_INTERVAL_SECONDS)
    rows = [(name, _version_cell(each)) for name, each in statuses.items()]
    print(
        *columns(
            ("PROXY", "VERSION"),
            [("table service", str(newest_version)), *rows],
        ),
        sep="\n",
    )
    return ExitCode.OK if is_in_force else ExitCode.NOT_YET


def drain(arguments: Namespace) -> ExitCode:
    """Ask one proxy to finish its requests and exit.

    With `--wait-seconds`, print the requests in flight until it has exited, and
    return `ExitCode.NOT_YET` if it has not exited after that time.
    """
    client = _single_client(arguments)
    asyncio.run(client.post("/v1/drain", msgspec.Raw))
    print("draining")
    deadline = time.monotonic() + arguments.wait_seconds
    while arguments.wait_seconds and time.monotonic() < deadline:
        (answer,) = asyncio.run(get_from_all([client], "/v1/status", StatusModel))
        if _has_exited(answer):
            print("the proxy has exited")
            return ExitCode.OK
        if isinstance(answer, StatusModel):
            print(f"{answer.in_flight} requests in flight", file=sys.stderr)
        time.sleep(_POLL_INTERVAL_SECONDS)
    return ExitCode.NOT_YET if arguments.wait_seconds else ExitCode.OK


def explain(arguments: Namespace) -> ExitCode:
    """Print what a request waited for before it was served.

    The lines come from the proxy that has the request's admission record.
    """
    path = _path("explain", arguments.request)
    for found in _fetch_answers(arguments, path, ExplanationModel):
        print(*found.lines, sep="\n")
        return ExitCode.OK
    cause = f"no proxy has a record of request {arguments.request}"
    remedy = "old records are dropped; name every proxy in --operator-address"
    raise CommandError(ExitCode.NOT_FOUND, cause, remedy)


def trace(arguments: Namespace) -> ExitCode:
    """Print the spans of one trace or request from all proxies, as a tree or JSON."""
    answers = _fetch_answers(arguments, _path("trace", arguments.id), TraceModel)
    spans = [span for answer in answers for span in answer.spans]
    if not spans:
        cause = f"no proxy has a span of {arguments.id}"
        remedy = (
            "set the sampled flag of traceparent to have a request traced;"
            " old spans are dropped"
        )
        raise CommandError(ExitCode.NOT_FOUND, cause, remedy)
    if arguments.json:
        print(msgspec.json.encode(spans).decode())
    else:
        print(*render_trace(spans), sep="\n")
    return ExitCode.OK


def failover(arguments: Namespace) -> ExitCode:
    """Ask the first of the proxies to promote another database of a group.

    Fail if `--to` names a database and another one was promoted.
    """
    client = _clients(arguments)[0]
    failover_request = FailoverRequestModel(arguments.to or "")
    path = _path("failover", arguments.group)
    answer = asyncio.run(client.post(path, FailoverModel, failover_request))
    if answer is None:
        cause = f'no group "{arguments.group}" at {client.address}'
        raise CommandError(ExitCode.NOT_FOUND, cause, "see `beryltiller groups list`")
    print(f"group {answer.group}: term {answer.term}, primary {answer.primary}")
    if arguments.to in (None, answer.primary):
        return ExitCode.OK
    cause = f"{answer.primary} was promoted, not {arguments.to}"
    remedy = (
        "the database with the most advanced log is preferred; try again once"
        " the replica has caught up"
    )
    raise CommandError(ExitCode.FAILED, cause, remedy)


def _path(operation: str, name: str) -> str:
    """Return the path of an operation on what `name` names."""
    try:
        return url_path("v1", operation, name)
    except PathError as error:
        cause = f"{operation}: {error}"
        raise CommandError(ExitCode.USAGE, cause, "check the argument") from error


def _clients(arguments: Namespace) -> list[OperatorClient]:
    return [
        OperatorClient(address, arguments.timeout_seconds)
        for address in arguments.operator_address
    ]


def _single_client(arguments: Namespace) -> OperatorClient:
    clients = _clients(arguments)
    if len(clients) == 1:
        return clients[0]
    cause = f"drain takes one operator address, got {len(clients)}"
    raise CommandError(
        ExitCode.USAGE, cause, "give only the address of the proxy to drain"
    )


def _has_exited(answer: StatusModel | CommandError | None) -> bool:
    """Return True if the proxy refuses connections, False if it is only slow."""
    return isinstance(answer, CommandError) and answer.code is ExitCode.UNREACHABLE


def _fetch_answers(
    arguments: Namespace, path: str, model: type[_Model]
) -> list[_Model]:
    clients = _clients(arguments)
    answers = asyncio.run(get_from_all(clients, path, model))
    errors = [each for each in answers if isinstance(each, CommandError)]
    if len(errors) == len(clients):
        raise errors[0]
    for error in errors:
        print(f"beryltiller: {error}", file=sys.stderr)
    return [each for each in answers if isinstance(each, model)]


def _fetch_statuses(arguments: Namespace) -> dict[str, StatusModel | CommandError]:
    """Return each proxy's status by its name, or the error by its address."""
    clients = _clients(arguments)
    answers = asyncio.run(get_from_all(clients, "/v1/status", StatusModel))
    found: dict[str, StatusModel | CommandError] = {}
    for client, answer in zip(clients, answers, strict=True):
        if isinstance(answer, StatusModel):
            found[answer.proxy] = answer
        else:
            found[str(client.address)] = answer or _missing_status_error(client)
    return found


def _missing_status_error(client: OperatorClient) -> CommandError:
    cause = f"{client.address} has no /v1/status"
    return CommandError(ExitCode.FAILED, cause, "check that it is an operator port")


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


def _first_error_code(statuses: dict[str, StatusModel | CommandError]) -> ExitCode:
    errors = [each for each in statuses.values() if isinstance(each, CommandError)]
    return errors[0].code if errors else ExitCode.OK


def _has_version(each: StatusModel | CommandError, newest_version: int) -> bool:
    return (
        isinstance(each, StatusModel) and each.configuration_version >= newest_version
    )


def _version_cell(each: StatusModel | CommandError) -> str:
    if isinstance(each, CommandError):
        return "no answer"
    return str(each.configuration_version)
