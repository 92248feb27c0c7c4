"""Invariant: at most one attempt of a task runs at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.history.event import Violation
from magnoliapitch.history.interval import running_intervals
from magnoliapitch.history.registry import invariant


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from magnoliapitch.history.event import Event
    from magnoliapitch.history.interval import Interval


@invariant("one-place")
def check_one_place(events: Sequence[Event]) -> Iterator[Violation]:
    """Yield each start of a task while an earlier attempt still runs."""
    newest_by_task: dict[str, Interval] = {}
    for run in running_intervals(events):
        task = run.lease_id.rpartition("/")[0]
        earlier = newest_by_task.get(task)
        if earlier is not None and run.start_ms < earlier.end_ms:
            yield Violation(
                "one-place",
                run.start_ms,
                f"{run.lease_id} started on {run.worker_id} while "
                f"{earlier.lease_id} was running on {earlier.worker_id}",
            )
        if earlier is None or run.end_ms > earlier.end_ms:
            newest_by_task[task] = run
