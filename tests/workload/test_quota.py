from __future__ import annotations

import random

import pytest

from magnoliapitch.resource import Resources
from magnoliapitch.verdict import FailureCode
from magnoliapitch.workload.configuration import Configuration
from magnoliapitch.workload.configuration import Workspace
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.quota import find_quota_failure
from magnoliapitch.workload.quota import passing_count


QUOTA = Resources(10_000, 0, 2)


@pytest.mark.parametrize(
    ("used", "task", "count", "expected"),
    [
        (Resources(), Resources(1_000, 99_999), 20, 10),
        (Resources(4_000), Resources(1_000), 20, 6),
        (Resources(10_000), Resources(1_000), 1, 0),
        (Resources(9_500), Resources(1_000), 1, 0),
        (Resources(), Resources(1_000, 0, 1), 5, 2),
        # At or below half the quota, one task may exceed it.
        (Resources(5_000), Resources(6_000), 2, 1),
        (Resources(5_001), Resources(6_000), 2, 0),
        (Resources(), Resources(40_000), 3, 1),
        (Resources(), Resources(1_000, 0, 3), 5, 1),
        # Above the quota, also in a resource that the task does not use.
        (Resources(0, 0, 3), Resources(1_000), 1, 0),
        (Resources(11_000), Resources(0, 500), 1, 0),
        # A resource of 0 is not limited.
        (Resources(0, 1 << 40), Resources(1_000, 1 << 30), 1, 1),
    ],
)
def test_passing_count_of_single_tasks(
    used: Resources, task: Resources, count: int, expected: int
) -> None:
    assert passing_count(QUOTA, used, task, count) == expected


@pytest.mark.parametrize(
    ("used_millis", "count", "expected"),
    [(0, 10, 10), (0, 11, 11), (0, 12, 0), (5_000, 6, 6), (5_001, 6, 0)],
)
def test_passing_count_of_a_gang_is_all_or_none(
    used_millis: int, count: int, expected: int
) -> None:
    used, task = Resources(used_millis), Resources(1_000)
    assert passing_count(QUOTA, used, task, count, is_gang=True) == expected


def test_passing_count_equals_starting_task_by_task() -> None:
    """The closed form must agree with the rule, applied to one task a time."""
    choice = random.Random(7)
    for _ in range(2_000):
        quota, used, task = (
            Resources(*(choice.randrange(limit) for _ in range(3)))
            for limit in (40, 50, 15)
        )
        count = choice.randrange(1, 12)
        assert passing_count(quota, used, task, count) == _count_one_by_one(
            quota, used, task, count
        )


def _count_one_by_one(
    quota: Resources, used: Resources, task: Resources, count: int
) -> int:
    for started in range(count):
        now = used.plus(task.times(started))
        pairs = list(zip(quota, now, task, strict=True))
        fits = all(
            not limit or amount + each <= limit
            for limit, amount, each in pairs
        )
        is_half = all(
            not limit or amount <= limit / 2 for limit, amount, _ in pairs
        )
        if not fits and not is_half:
            return started
    return count


def _configuration(*workspaces: Workspace) -> Configuration:
    by_name = {workspace.name: workspace for workspace in workspaces}
    return Configuration(1, {}, {}, workspaces_by_name=by_name)


def _gang(count: int, workspace: str = "a") -> JobSpec:
    steps = (
        StepSpec(50, Resources(1_000)),
        StepSpec(count, Resources(1_000), is_gang=True),
    )
    return JobSpec("job", "q", "", steps, workspace=workspace)


def test_a_gang_that_can_never_pass_is_rejected_without_a_retry_time() -> None:
    configuration = _configuration(Workspace("a", quota=QUOTA))
    assert find_quota_failure(_gang(11), configuration) is None
    failure = find_quota_failure(_gang(12), configuration)
    assert failure is not None
    assert failure.code is FailureCode.QUOTA
    assert failure.retry_after_ms is None


def test_jobs_without_a_quota_are_not_rejected() -> None:
    configuration = _configuration(Workspace("a"))
    assert find_quota_failure(_gang(99), configuration) is None
    assert find_quota_failure(_gang(99, "other"), configuration) is None
    assert find_quota_failure(_gang(99), _configuration()) is None
    assert find_quota_failure(_gang(99), None) is None
