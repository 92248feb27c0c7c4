"""Invariant: instances at the same log offset have the same catalogue.

The applied offset of an instance never decreases.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.history.event import OffsetApplied
from magnoliapitch.history.event import Violation
from magnoliapitch.history.registry import invariant


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from magnoliapitch.history.event import Event


@invariant("configuration")
def check_configuration(events: Sequence[Event]) -> Iterator[Violation]:
    """Yield decreasing offsets and differing versions at one offset."""
    newest_by_instance: dict[str, int] = {}
    versions_by_offset: dict[int, tuple[tuple[str, int], ...]] = {}
    for event in events:
        if not isinstance(event, OffsetApplied):
            continue
        newest = newest_by_instance.get(event.instance_id, 0)
        if event.offset < newest:
            detail = (
                f"the offset of {event.instance_id} went back from {newest} "
                f"to {event.offset}"
            )
            yield Violation("configuration", event.at_ms, detail)
        newest_by_instance[event.instance_id] = event.offset
        expected = versions_by_offset.setdefault(event.offset, event.versions)
        if expected != event.versions:
            detail = (
                f"the catalogue of {event.instance_id} differs from that of "
                f"another instance at offset {event.offset}"
            )
            yield Violation("configuration", event.at_ms, detail)
