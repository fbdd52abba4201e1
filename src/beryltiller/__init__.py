"""A database proxy with session consistency: a library, and daemons that use it.

The names exported here are the public interface: value classes, ports, and the parts
of admission and of session consistency that do no I/O. The larger decisions are in
modules with a function `decide`, which takes a state and an event and returns a new
state and actions: `beryltiller.primaries.terms`,
`beryltiller.membership.membership` and `beryltiller.configuration.adoption`.
"""

from beryltiller.admission.explanations import Explanation, explain
from beryltiller.admission.queues import AdmissionQueue, QueuePolicy
from beryltiller.admission.records import AdmissionRecords
from beryltiller.admission.tickets import Drop, Grant, Rejection, Ticket
from beryltiller.configuration.tables import Configuration, Database, Group, Pool, Route
from beryltiller.consistency.tokens import (
    Mark,
    Session,
    TokenKeys,
    decode_token,
    encode_token,
)
from beryltiller.core.outcome import Kind, Outcome, Refusal
from beryltiller.core.ports import (
    Connection,
    Endpoint,
    HostList,
    LostAnswerError,
    ObjectStore,
    PortError,
    RefusedError,
    TableService,
)
from beryltiller.core.position import History, Position, TermStart

__version__ = "0.1.0"

__all__ = [
    "AdmissionQueue",
    "AdmissionRecords",
    "Configuration",
    "Connection",
    "Database",
    "Drop",
    "Endpoint",
    "Explanation",
    "Grant",
    "Group",
    "History",
    "HostList",
    "Kind",
    "LostAnswerError",
    "Mark",
    "ObjectStore",
    "Outcome",
    "Pool",
    "PortError",
    "Position",
    "QueuePolicy",
    "Refusal",
    "RefusedError",
    "Rejection",
    "Route",
    "Session",
    "TableService",
    "TermStart",
    "Ticket",
    "TokenKeys",
    "decode_token",
    "encode_token",
    "explain",
]
