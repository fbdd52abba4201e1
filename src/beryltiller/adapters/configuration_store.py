"""The configuration in the table service: reading it, and replacing it once.

The replacement is a compare-and-set on the row's version, so sending it again
after a lost answer cannot apply it twice: the second one conflicts, and the row
then tells whether the first took effect.
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
    """Tell that every answer was lost; the change may have taken effect."""

    reason: str


async def read_configuration(
    service: TableService,
) -> Result[Configuration, InvalidConfiguration]:
    """Return the newest configuration; version 0 when there is none yet."""
    return from_row(await service.read(TABLE, KEY))


async def replace_configuration(
    service: TableService, wanted: Configuration
) -> Result[Configuration, Conflict | LostAnswer]:
    """Replace the version that `wanted` was edited from, and return the new one.

    Raise `RefusedError` when the service cannot be reached: nothing was changed.
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
                return await _after_conflict(service, wanted, lost)
            if lost is None:
                raise
    return Failure(LostAnswer(str(lost)))


async def _after_conflict(
    service: TableService, wanted: Configuration, lost: LostAnswerError | None
) -> Result[Configuration, Conflict | LostAnswer]:
    """Tell our own change, whose answer was lost, from somebody else's."""
    try:
        row = await service.read(TABLE, KEY)
    except (LostAnswerError, RefusedError) as error:
        if lost is None:
            raise
        return Failure(LostAnswer(str(error)))
    if lost is None:
        return Failure(build_conflict(wanted, from_row(row).value_or(Configuration())))
    if row is not None and _is_ours(row, wanted):
        return Success(replace(wanted, version=row.version))
    # Ours may have been applied and then replaced, so no conflict is claimed.
    return Failure(LostAnswer("the version now in force is another change's"))


def _is_ours(row: Row, wanted: Configuration) -> bool:
    return row.value == to_write(wanted).value
