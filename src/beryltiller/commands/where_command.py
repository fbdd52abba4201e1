"""The command `where`: which proxy and database would run a statement now, and why."""

import asyncio
from argparse import Namespace

import zmq

from beryltiller.adapters.channels import PeerError
from beryltiller.adapters.peers import Peers, PeerSettings, open_peers
from beryltiller.commands.command_errors import CommandError, ExitCode
from beryltiller.membership.messages import (
    Message,
    PlacementAnswer,
    PlacementQuestion,
    ReplyTo,
)

_TIMEOUT_SECONDS = 3.0


def where(arguments: Namespace) -> ExitCode:
    """Ask a proxy where a statement would run, and the one that it names."""
    try:
        asyncio.run(_explain(arguments))
    except PeerError as error:
        cause = f"no answer from {arguments.peer_address}: {error}"
        remedy = "name a proxy that runs, by its peer address"
        raise CommandError(ExitCode.UNREACHABLE, cause, remedy) from error
    except zmq.ZMQError as error:
        cause = f"cannot open a socket at {arguments.source_ip}: {error}"
        remedy = "name an address of this host"
        raise CommandError(ExitCode.FAILED, cause, remedy) from error
    return ExitCode.OK


async def _explain(arguments: Namespace) -> None:
    question = PlacementQuestion(
        arguments.database_name, arguments.organisation, arguments.write
    )
    settings = PeerSettings(f"{arguments.source_ip}:0", None)
    async with open_peers(settings, _ignore) as peers:
        answer = await _ask(peers, arguments.peer_address, question)
        _print(answer)
        if answer.forwards_to:
            local = PlacementQuestion(
                question.database_name, question.organisation, question.is_write, True
            )
            _print(await _ask(peers, answer.forwards_to, local))


async def _ask(
    peers: Peers, address: str, question: PlacementQuestion
) -> PlacementAnswer:
    reply = await peers.request(address, question, _TIMEOUT_SECONDS)
    if not isinstance(reply, PlacementAnswer):
        cause = f"{address} does not explain placement"
        raise CommandError(ExitCode.FAILED, cause, "it may run an older release")
    return reply


def _print(answer: PlacementAnswer) -> None:
    print(f"{answer.host}:")
    for reason in answer.reasons:
        print(f"  {reason}")
    if answer.forwards_to:
        print(f"  would be forwarded to {answer.forwards_to}")


def _ignore(message: Message, reply_to: ReplyTo) -> None:
    """Answer no request: nobody sends one to a command."""
