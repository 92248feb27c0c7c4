"""Invariants: each task of an accepted job finishes exactly once.

Tasks of cancelled jobs may stay unfinished. A finished task is not
started again.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from magnoliapitch.history.event import JobAccepted
from magnoliapitch.history.event import JobCancelled
from magnoliapitch.history.event import LeaseStarted
from magnoliapitch.history.event import TaskFinished
from magnoliapitch.history.event import Violation
from magnoliapitch.history.registry import invariant


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from magnoliapitch.history.event import Event


@invariant("job-end")
def check_job_end(events: Sequence[Event]) -> Iterator[Violation]:
    """Yield tasks that finished never or more than once.

    The history must last until all jobs are done.
    """
    ends = Counter(
        (event.job_id, event.task)
        for event in events
        if isinstance(event, TaskFinished)
    )
    for (job_id, task), count in ends.items():
        if count > 1:
            detail = f"{job_id}/{task} finished {count} times"
            yield Violation("job-end", 0, detail)
    cancelled = {
        event.job_id for event in events if isinstance(event, JobCancelled)
    }
    for event in events:
        if not isinstance(event, JobAccepted) or event.job_id in cancelled:
            continue
        for task in range(event.tasks):
            if (event.job_id, task) not in ends:
                detail = f"{event.job_id}/{task} never finished"
                yield Violation("job-end", event.at_ms, detail)


@invariant("no-rerun")
def check_no_rerun(events: Sequence[Event]) -> Iterator[Violation]:
    """Yield each start of a task after its end was recorded."""
    finished_ms_by_task = {
        f"{event.job_id}/{event.task}": event.at_ms
        for event in events
        if isinstance(event, TaskFinished)
    }
    for event in events:
        if not isinstance(event, LeaseStarted):
            continue
        task = event.lease_id.rpartition("/")[0]
        finished_ms = finished_ms_by_task.get(task)
        if finished_ms is not None and event.at_ms > finished_ms:
            detail = f"{event.lease_id} started after its task had finished"
            yield Violation("no-rerun", event.at_ms, detail)
