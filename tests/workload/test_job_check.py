"""A job that cannot be planned must not reach a leader.

It would end the rounds of that leader and, being stored, of every next one.
"""

from __future__ import annotations

import pytest

from magnoliapitch.ledger.job_table import JobTable
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job_check import MAX_TASKS_PER_JOB
from magnoliapitch.workload.job_check import check_job


GOOD = JobSpec("0a", "q", "text", (StepSpec(2), StepSpec(1, depends_on=(0,))))
MALFORMED = {
    "no steps": GOOD._replace(steps=()),
    "no tasks": GOOD._replace(steps=(StepSpec(0),)),
    "depends on itself": GOOD._replace(steps=(StepSpec(1, depends_on=(0,)),)),
    "depends on no step": GOOD._replace(steps=(StepSpec(1, depends_on=(5,)),)),
    "negative estimate": GOOD._replace(steps=(StepSpec(1, estimate_ms=-5),)),
    "negative size": GOOD._replace(steps=(StepSpec(1, Resources(-1)),)),
    "negative count": GOOD._replace(run_count=-1),
    "many tasks": GOOD._replace(steps=(StepSpec(MAX_TASKS_PER_JOB + 1),)),
    "many occurrences": GOOD._replace(run_count=MAX_TASKS_PER_JOB),
}


def test_a_job_that_can_be_planned_is_returned() -> None:
    assert check_job(GOOD) is GOOD
    largest = GOOD._replace(steps=(StepSpec(MAX_TASKS_PER_JOB),))
    assert check_job(largest) is largest


@pytest.mark.parametrize("name", MALFORMED)
def test_a_malformed_job_is_refused(name: str) -> None:
    with pytest.raises(ValueError, match=r"."):
        check_job(MALFORMED[name])


@pytest.mark.parametrize("name", MALFORMED)
def test_a_stored_job_that_cannot_be_planned_is_skipped(name: str) -> None:
    table = JobTable()
    values = {
        "j.bad": encode_job(MALFORMED[name]),
        "j.0a": encode_job(GOOD),
    }
    assert table.apply(values, values) == {"0a"}
    assert [stored.spec for stored in table.jobs()] == [GOOD]
