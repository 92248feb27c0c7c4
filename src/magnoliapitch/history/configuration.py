"""What an instance has applied never goes back, and is the same anywhere."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.history.event import OffsetApplied
from magnoliapitch.history.event import Violation
from magnoliapitch.history.registry import promise


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from magnoliapitch.history.event import Event


@promise("configuration")
def check_configuration(events: Sequence[Event]) -> Iterator[Violation]:
    """Yield offsets that go back and versions that differ at one offset."""
    newest_by_instance: dict[str, int] = {}
    versions_by_offset: dict[int, tuple[tuple[str, int], ...]] = {}
    for event in events:
        if not isinstance(event, OffsetApplied):
            continue
        newest = newest_by_instance.get(event.instance_id, 0)
        if event.offset < newest:
            detail = f"{event.instance_id} from {newest} to {event.offset}"
            yield Violation("configuration", event.at_ms, detail)
        newest_by_instance[event.instance_id] = event.offset
        known = versions_by_offset.setdefault(event.offset, event.versions)
        if known != event.versions:
            detail = f"{event.instance_id} differs at {event.offset}"
            yield Violation("configuration", event.at_ms, detail)
