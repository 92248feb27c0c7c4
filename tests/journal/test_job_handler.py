from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from magnoliapitch.job.spec import JobSpec
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.journal import ClusterState
from magnoliapitch.journal import apply_record
from magnoliapitch.journal import encode_record
from magnoliapitch.journal.log import LogRecord
from magnoliapitch.journal.record import JobCancel
from magnoliapitch.journal.record import JobMove
from magnoliapitch.journal.record import JobSubmit
from magnoliapitch.journal.record import MoveReason
from magnoliapitch.journal.record import TaskEnd
from magnoliapitch.resource import Resources


JOBS = st.sampled_from(["a", "b", "c"])
UNITS = st.sampled_from(["rack-1", "rack-2"])
CHANGES = st.one_of(
    st.builds(
        lambda job, tasks, unit: JobSubmit(
            JobSpec(job, f"entry-{job}", tasks, Resources(1)), unit
        ),
        JOBS,
        st.integers(1, 3),
        UNITS,
    ),
    st.builds(
        JobMove,
        JOBS,
        UNITS,
        UNITS,
        st.just(0),
        st.sampled_from(MoveReason),
        st.integers(-1, 2**63 - 1),
    ),
    st.builds(JobCancel, JOBS),
    st.builds(
        TaskEnd,
        JOBS,
        st.integers(0, 3),
        st.integers(0, 1),
        st.sampled_from(TaskOutcome),
    ),
)


@settings(derandomize=True, max_examples=200, database=None)
@given(st.lists(CHANGES, max_size=30))
def test_job_handlers_count_open_tasks(
    changes: list[JobSubmit | JobMove | JobCancel | TaskEnd],
) -> None:
    state = ClusterState()
    for offset, change in enumerate(changes):
        apply_record(state, LogRecord(offset, encode_record((change,))))
    by_unit: Counter[str] = Counter()
    by_entry: Counter[str] = Counter()
    for job in state.jobs_by_id.values():
        if not job.is_done:
            count = job.spec.tasks - job.finished_tasks
            by_unit[job.unit] += count
            by_entry[job.spec.entry] += count
    assert state.open_tasks_by_unit == dict(by_unit)
    assert state.open_tasks_by_entry == dict(by_entry)
