"""Announced changes of primary as rows of the platform's store."""

import msgspec

from beryltiller.core.decoding import (
    Count,
    DecodingError,
    Word,
    check_word,
    decode_json,
)
from beryltiller.core.ports import Row, Write
from beryltiller.core.position import ORIGIN, Position
from beryltiller.observability import logs, session_events
from beryltiller.platform.store import StoreClient
from beryltiller.sessions.databases.in_sync_set import InSyncProcess
from beryltiller.sessions.databases.primary_change import (
    PendingPromotion,
    PrimaryChange,
)
from beryltiller.sessions.succession.announcement import (
    Announcement,
    bounded_names,
)

CHANGES_TABLE = "primary-changes"


class InSyncModel(msgspec.Struct, frozen=True):
    """A process in sync; `born` is the Unix time of its start in milliseconds."""

    id: Word
    born: Count
    address: str
    zone: str
    slots: Count
    is_leaving: bool = False
    has_drained: bool = False


class PendingModel(msgspec.Struct, frozen=True):
    """A promotion of database `id` under a claim's token, which may act late."""

    token: Count
    id: str


class AnnouncementModel(msgspec.Struct, frozen=True):
    """The row of a service; `..._term` and `..._index` are log positions.

    Without an objection its position is 0:0. `token` is the fencing token of the
    promoter's claim. Earlier releases write no `begun_term`, `later_term`,
    `successor_term`, `asked`, `lacking`, `in_sync`, `successor`, `pending`, `lapsed`
    and the position `reported_...`. The processes that are `lapsed` have no entry any
    more; promoters account for them like for those in sync.
    """

    token: Count
    replaced_term: Count
    log_end_term: Count
    log_end_index: Count
    is_withdrawn: bool = False
    is_over: bool = False
    objection_term: Count = 0
    objection_index: Count = 0
    begun_term: Count = 0
    later_term: Count = 0
    successor_term: Count = 0
    asked: tuple[str, ...] = ()
    lacking: tuple[str, ...] = ()
    in_sync: tuple[InSyncModel, ...] = ()
    reported_term: Count = 0
    reported_index: Count = 0
    successor: str = ""
    pending: tuple[PendingModel, ...] = ()
    lapsed: tuple[InSyncModel, ...] = ()


class StoredAnnouncements:
    """Announcements in the store; implements `AnnouncementPort`."""

    def __init__(self, store: StoreClient) -> None:
        """Keep the announcements in `store`."""
        self._store = store

    async def read(self, service: str) -> Announcement | None:
        """Return a service's newest announcement, or None."""
        dated = await self._store.read(CHANGES_TABLE, service)
        return decode_announcement(dated.row) if dated.row else None

    async def write(self, announcement: Announcement) -> int:
        """Write an announcement if the row has its version; return the new one."""
        change = announcement.change
        objection = announcement.objection or ORIGIN
        model = AnnouncementModel(
            announcement.token,
            change.replaced_term,
            change.log_end.term,
            change.log_end.index,
            announcement.is_withdrawn,
            announcement.is_over,
            objection.term,
            objection.index,
            announcement.begun_term,
            announcement.later_term,
            announcement.successor_term,
            announcement.asked,
            bounded_names(announcement.lacking),
            _encode_processes(announcement.in_sync, has_lapsed=False),
            announcement.reported.term,
            announcement.reported.index,
            announcement.successor,
            tuple(
                PendingModel(each.token, each.identifier)
                for each in announcement.pending
            ),
            _encode_processes(announcement.in_sync, has_lapsed=True),
        )
        value = msgspec.json.encode(model)
        write = Write(CHANGES_TABLE, announcement.service, announcement.version, value)
        return await self._store.commit((write,))


def decode_announcement(row: Row) -> Announcement:
    """Decode a row; one that cannot be read counts as withdrawn.

    Only proxies write these rows, so an unreadable row does not stop a promotion.
    """
    try:
        check_word(row.key)
        model = decode_json(row.value, AnnouncementModel)
    except DecodingError as error:
        logs.log(session_events.AnnouncementFailed(row.key, str(error)))
        model = AnnouncementModel(0, 0, 0, 0, is_withdrawn=True)
    log_end = Position(model.log_end_term, model.log_end_index)
    objection = Position(model.objection_term, model.objection_index)
    return Announcement(
        row.key,
        PrimaryChange(model.replaced_term, log_end),
        model.token,
        model.is_withdrawn,
        model.is_over,
        objection if objection != ORIGIN else None,
        model.begun_term,
        model.later_term,
        model.successor_term,
        model.asked,
        bounded_names(model.lacking),
        _decode_processes(model),
        Position(model.reported_term, model.reported_index),
        model.successor,
        tuple(PendingPromotion(each.token, each.id) for each in model.pending),
        row.version,
    )


def _encode_processes(
    processes: tuple[InSyncProcess, ...], has_lapsed: bool
) -> tuple[InSyncModel, ...]:
    """Return the models of the processes that have lapsed, or of the others."""
    return tuple(
        _encode_process(each) for each in processes if each.has_lapsed == has_lapsed
    )


def _encode_process(process: InSyncProcess) -> InSyncModel:
    return InSyncModel(
        process.identifier,
        process.incarnation,
        process.address,
        process.availability_zone,
        process.slots,
        process.is_leaving,
        process.has_drained,
    )


def _decode_processes(model: AnnouncementModel) -> tuple[InSyncProcess, ...]:
    """Return all processes that promoters account for, the lapsed ones last."""
    return (
        *(_decode_process(each, has_lapsed=False) for each in model.in_sync),
        *(_decode_process(each, has_lapsed=True) for each in model.lapsed),
    )


def _decode_process(model: InSyncModel, has_lapsed: bool) -> InSyncProcess:
    return InSyncProcess(
        model.id,
        model.born,
        model.address,
        model.zone,
        model.slots,
        model.is_leaving,
        model.has_drained,
        has_lapsed,
    )
