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
    """How a kind of work is scheduled."""

    URGENT = "urgent"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


class ZoneCutAction(StrEnum):
    """What happens to tasks in an availability zone that is cut off."""

    STAY = "stay"
    MOVE = "move"


class Limits(NamedTuple):
    """What the work of one entry may use at most.

    :param cpu_millis: thousandths of a core in use at once.
    :param memory_mb: mebibytes in use at once.
    :param accelerators: accelerators in use at once.
    :param concurrent_requests: small requests in flight at once.
    :param requests_per_second: small requests accepted a second.
    :param queued: requests or tasks waiting at once.
    :param share: relative weight of the owner, without unit.
    """

    cpu_millis: Count = 10**9
    memory_mb: Count = 10**9
    accelerators: Count = 10**9
    concurrent_requests: PositiveCount = 64
    requests_per_second: PositiveCount = 1_000
    queued: PositiveCount = 10_000
    share: PositiveCount = 1


class CatalogueEntry(NamedTuple):
    """One kind of work that callers may ask for.

    :param name: unique name; callers name it in their requests.
    :param owner: team whose quota the work uses.
    :param work_class: how the work is scheduled.
    :param app: backend application that serves small requests, or empty.
    :param limits: what the work may use at most.
    :param patience_ms: how long a caller waits, in milliseconds.
    :param idempotent: whether the work may be executed more than once.
    :param on_zone_cut: what happens to tasks in a zone that is cut off.
    :param move_after_ms: delay before tasks of a cut zone are moved.
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

    :raises InvalidEntryError: with one line for each wrong field.
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
    inside_limits = len(location) > 1 and location[0] == "limits"
    return Limits._fields if inside_limits else CatalogueEntry._fields
