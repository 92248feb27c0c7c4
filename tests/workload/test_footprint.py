"""What jobs take of the leader's memory."""

from __future__ import annotations

import tracemalloc

import pytest

from magnoliapitch.ledger.job_table import JobTable
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.planner import SchedulerState
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.footprint import footprint_bytes
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec


QUEUE = Queue("q", "h", "/", "app")
JOB_COUNT = 50
LONG_TEXT = "x" * 120_000
# Six bytes each in the record, and four each once one character needs them.
CONTROL_TEXT = "\x01" * 3_996 + "\U0001f600"


def job(step: StepSpec, payload: str = "") -> JobSpec:
    """Return a job that is due in an hour."""
    return JobSpec("", "q", payload, (step,), 1, 3_600_000)


# A leader kept the records and the texts of 1,400 scheduled jobs with a long
# `image`, which were counted as a few kilobytes each: all memory was used up.
@pytest.mark.parametrize(
    "spec",
    [
        job(StepSpec(1, image=LONG_TEXT)),
        job(StepSpec(1, label=LONG_TEXT)),
        job(StepSpec(1, data_rack=LONG_TEXT)),
        job(StepSpec(1, image="\u00e9" * 50_000)),
        job(StepSpec(1, image='"' * 50_000)),
        job(StepSpec(1), CONTROL_TEXT),
        job(StepSpec(1), "x"),
        job(StepSpec(1))._replace(steps=(StepSpec(1, image="i" * 900),) * 20),
    ],
    ids=[
        "image",
        "label",
        "rack",
        "accents",
        "quotes",
        "control",
        "plain",
        "steps",
    ],
)
def test_a_job_takes_no_more_memory_than_is_counted(spec: JobSpec) -> None:
    specs = [
        spec._replace(job_id=f"{number:016x}") for number in range(JOB_COUNT)
    ]
    counted_bytes = sum(map(footprint_bytes, specs))
    table, state = JobTable(), SchedulerState()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    # The leader keeps the records as well.
    values = {JOB_PREFIX + one.job_id: encode_job(one) for one in specs}
    table.apply(values, values)
    for stored in table.jobs():
        assert stored.spec is not None
        state.add_job(stored.spec, QUEUE, 0)
    used_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    assert used_bytes <= counted_bytes
    # Room is not refused for what fits twice.
    assert counted_bytes <= 3 * used_bytes
