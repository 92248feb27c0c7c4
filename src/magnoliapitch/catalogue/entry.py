"""Catalogue entries and their validation."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated
from typing import NamedTuple

from pydantic import ConfigDict
from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

from magnoliapitch.catalogue.exceptions import InvalidEntryError
from magnoliapitch.validation import describe_error


NAME_PATTERN = r"^[a-z][a-z0-9-]{0,62}$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Count = Annotated[int, Field(ge=0, le=10**9, strict=True)]
PositiveCount = Annotated[int, Field(ge=1, le=10**9, strict=True)]


class WorkClass(StrEnum):
    """Scheduling class of a kind of work."""

    URGENT = "urgent"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


# Classes with a lower number are served first.
PRIORITY_BY_CLASS = {
    WorkClass.URGENT: 0,
    WorkClass.SERVICE: 1,
    WorkClass.GANG: 2,
    WorkClass.BATCH: 3,
}


class ZoneCutAction(StrEnum):
    """Action on tasks in an availability zone that is cut off."""

    STAY = "stay"
    MOVE = "move"


class Limits(NamedTuple):
    """Limits on the work of one catalogue entry.

    :param cpu_millis: maximum CPU in use at once, in thousandths of a
        core.
    :param memory_mb: maximum memory in use at once, in mebibytes.
    :param accelerators: maximum number of accelerators in use at once.
    :param concurrent_requests: maximum number of small requests in flight.
    :param requests_per_second: maximum number of small requests accepted
        per second.
    :param queued: maximum number of waiting requests or tasks.
    :param share: weight of the owner relative to other owners, no unit.
    """

    cpu_millis: Count = 10**9
    memory_mb: Count = 10**9
    accelerators: Count = 10**9
    concurrent_requests: PositiveCount = 64
    requests_per_second: PositiveCount = 1_000
    queued: PositiveCount = 10_000
    share: PositiveCount = 1


class CatalogueEntry(NamedTuple):
    """Kind of work that callers may request.

    :param name: unique name, used by callers in their requests.
    :param owner: team whose quota the work uses.
    :param work_class: scheduling class of the work.
    :param app: backend application that serves small requests; empty if
        there is none.
    :param limits: limits on the work.
    :param patience_ms: milliseconds that a caller waits for a response.
    :param idempotent: whether the work may be executed more than once.
    :param on_zone_cut: action on tasks in a zone that is cut off.
    :param move_after_ms: milliseconds before tasks of a zone that is cut
        off are moved.
    """

    name: Name
    owner: Name
    work_class: WorkClass
    app: str = ""
    limits: Limits = Limits()
    patience_ms: PositiveCount = 10_000
    idempotent: bool = True
    on_zone_cut: ZoneCutAction = ZoneCutAction.STAY
    move_after_ms: PositiveCount = 120_000


_ADAPTER = TypeAdapter(
    CatalogueEntry,
    config=ConfigDict(extra="forbid"),
)


def parse_entry(value: object) -> CatalogueEntry:
    """Validate a decoded JSON or TOML value as a catalogue entry.

    :raises InvalidEntryError: if the value breaks the schema; with one
        line for each invalid field.
    """
    try:
        return _ADAPTER.validate_python(value)
    except ValidationError as error:
        problems = tuple(
            describe_error(item, _known_keys(item["loc"]))
            for item in error.errors()
        )
        raise InvalidEntryError(problems) from error


def _known_keys(location: tuple[int | str, ...]) -> tuple[str, ...]:
    is_in_limits = len(location) > 1 and location[0] == "limits"
    return Limits._fields if is_in_limits else CatalogueEntry._fields
