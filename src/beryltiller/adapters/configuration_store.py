"""Read and replace the configuration in the table service.

The replacement is a compare-and-set on the row's version, so sending it again after
a lost answer cannot apply it twice: the second attempt conflicts, and the row then
shows whether the first took effect.
"""

from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from beryltiller.configuration.changes import Conflict, build_conflict
from beryltiller.configuration.tables import (
    KEY,
    TABLE,
    Configuration,
    InvalidConfiguration,
    from_row,
    to_write,
)
from beryltiller.core.ports import LostAnswerError, RefusedError, Row, TableService

_COMMIT_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class LostAnswer:
    """The result of a change whose outcome is unknown, since its answer was lost.

    `LostAnswerError` is the error of one attempt, and this the result of them all.
    """

    reason: str


async def read_configuration(
    service: TableService,
) -> Result[Configuration, InvalidConfiguration]:
    """Return the newest configuration, or one of version 0 if none is stored."""
    return from_row(await service.read(TABLE, KEY))


async def replace_configuration(
    service: TableService, wanted: Configuration
) -> Result[Configuration, Conflict | LostAnswer]:
    """Store `wanted` in place of the version that it was edited from.

    Return the configuration with its new version. Raise `RefusedError` if the service
    cannot be reached or refuses the change for another reason than a conflict, and
    `PortError` if the row cannot be read after a conflict. In these cases nothing was
    changed.
    """
    lost: LostAnswerError | None = None
    for _ in range(_COMMIT_ATTEMPTS):
        try:
            (version,) = await service.commit([to_write(wanted)])
            return Success(replace(wanted, version=version))
        except LostAnswerError as error:
            lost = error
        except RefusedError as error:
            if error.code == "conflict":
                return await _resolve_conflict(service, wanted, lost)
            if lost is None:
                raise
    return Failure(LostAnswer(str(lost)))


async def _resolve_conflict(
    service: TableService, wanted: Configuration, lost: LostAnswerError | None
) -> Result[Configuration, Conflict | LostAnswer]:
    """Decide whether the conflicting row is this change itself or another one.

    It can be this change if the answer of an earlier attempt was lost.
    """
    try:
        row = await service.read(TABLE, KEY)
    except (LostAnswerError, RefusedError) as error:
        if lost is None:
            raise
        return Failure(LostAnswer(str(error)))
    if lost is None:
        return Failure(build_conflict(wanted, from_row(row).value_or(Configuration())))
    if row is not None and _holds_configuration(row, wanted):
        return Success(replace(wanted, version=row.version))
    # This change may have been applied and then replaced, so the outcome is unknown
    # and a conflict must not be reported.
    return Failure(LostAnswer("the stored configuration is now that of another change"))


def _holds_configuration(row: Row, wanted: Configuration) -> bool:
    return row.value == to_write(wanted).value
