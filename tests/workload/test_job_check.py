"""A job that cannot be planned must not reach a leader.

It would end the rounds of that leader and, being stored, of every next one.
"""

from __future__ import annotations

from typing import Any

import pytest

from magnoliapitch.ledger.job_table import JobTable
from magnoliapitch.ledger.records import decode_job
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.resource import Resources
from magnoliapitch.verdict import FailureCode
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job_check import MAX_TASKS_PER_JOB
from magnoliapitch.workload.job_check import check_job
from magnoliapitch.workload.job_limits import MAX_DEPENDENCIES_PER_JOB
from magnoliapitch.workload.job_limits import MAX_PAYLOAD_BYTES
from magnoliapitch.workload.job_limits import MAX_STEPS_PER_JOB
from magnoliapitch.workload.job_limits import MAX_TASKS_PER_GANG
from magnoliapitch.workload.job_limits import find_limit_failure


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


def _steps(count: int, **fields: Any) -> JobSpec:
    return GOOD._replace(steps=(StepSpec(1),) * count, **fields)


def _dependencies(count: int, **fields: Any) -> JobSpec:
    steps = (StepSpec(1), StepSpec(1, depends_on=(0,) * count))
    return GOOD._replace(steps=steps, **fields)


def _gang(task_count: int) -> JobSpec:
    return GOOD._replace(steps=(StepSpec(task_count, is_gang=True),))


LARGEST_AND_LARGER = {
    "payload": (
        GOOD._replace(payload="\u00e4" * (MAX_PAYLOAD_BYTES // 2)),
        GOOD._replace(payload="\u00e4" * (MAX_PAYLOAD_BYTES // 2) + "a"),
        MAX_PAYLOAD_BYTES,
    ),
    "steps": (
        _steps(MAX_STEPS_PER_JOB),
        _steps(MAX_STEPS_PER_JOB // 10, run_count=11),
        MAX_STEPS_PER_JOB,
    ),
    "dependencies": (
        _dependencies(MAX_DEPENDENCIES_PER_JOB),
        _dependencies(MAX_DEPENDENCIES_PER_JOB // 10, run_count=11),
        MAX_DEPENDENCIES_PER_JOB,
    ),
    "gang": (
        _gang(MAX_TASKS_PER_GANG),
        _gang(MAX_TASKS_PER_GANG + 1),
        MAX_TASKS_PER_GANG,
    ),
}


# A caller must not be able to hold up a leader by the size of a job, but what
# an older release has stored must still run.
@pytest.mark.parametrize("name", LARGEST_AND_LARGER)
def test_a_job_above_a_limit_is_refused_but_planned_if_it_is_stored(
    name: str,
) -> None:
    largest, larger, limit = LARGEST_AND_LARGER[name]
    assert find_limit_failure(largest) is None
    failure = find_limit_failure(larger)
    assert failure is not None
    assert failure.code is FailureCode.INVALID
    assert str(limit) in failure.detail
    assert decode_job(encode_job(larger)) == larger
