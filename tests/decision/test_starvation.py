from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from magnoliapitch.bench.decisions import measure_policy
from magnoliapitch.bench.decisions import offline_bound
from magnoliapitch.bench.decisions.deployment import BenchDeployment
from magnoliapitch.bench.decisions.offline import OfflineBound
from magnoliapitch.bench.decisions.trace import Trace
from magnoliapitch.bench.decisions.trace import TracedJob
from magnoliapitch.bench.decisions.trace import TracedTask
from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.first_fit import FirstFitScheduler
from magnoliapitch.decision.registry import make_scheduler
from magnoliapitch.decision.starvation import STARVATION_BOUND_MS_BY_CLASS
from magnoliapitch.policy.options import options_of
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Callable


DEPLOYMENT = BenchDeployment.from_zones("small", ("a",), 8, 16_384)
ENTRIES = {
    work_class: CatalogueEntry(
        f"e-{work_class}", f"o-{work_class}", work_class
    )
    for work_class in WorkClass
}
NO_OFFLINE_BOUND = OfflineBound(0.0, 0.0, frozenset())
ARRIVAL_WINDOW_MS = 1_500_000
FLOOD_INTERVAL_MS = 3_000


@st.composite
def random_jobs(draw: Callable[..., int], work_class: WorkClass) -> TracedJob:
    is_urgent = work_class is WorkClass.URGENT
    is_small = is_urgent or work_class is WorkClass.SERVICE
    cores = draw(st.integers(1, 2 if is_small else 8))
    run_ms = draw(st.integers(1_000, 5_000 if is_urgent else 200_000))
    tenths_of_declared = draw(st.integers(3, 30))
    count = draw(st.integers(1, 4))
    size = Resources(cores * 1_000, cores * 1_500)
    return TracedJob(
        f"{work_class}-{draw(st.integers(0, 10**9))}",
        ENTRIES[work_class],
        draw(st.integers(0, ARRIVAL_WINDOW_MS)) // 50 * 50,
        Resources(
            cores * 1_000, min(16_384, cores * 15_000 // tenths_of_declared)
        ),
        max(1, run_ms * 10 // tenths_of_declared),
        tuple(TracedTask(size, run_ms) for _ in range(count)),
        is_gang=work_class is WorkClass.GANG,
    )


def deadline_flood() -> tuple[TracedJob, ...]:
    task = TracedTask(Resources(4_000, 2_000), 30_000)
    return tuple(
        TracedJob(
            f"flood-{at_ms}",
            ENTRIES[WorkClass.BATCH],
            at_ms,
            task.actual_usage,
            task.run_ms,
            (task,) * 2,
            deadline_ms=at_ms + 600_000,
        )
        for at_ms in range(0, ARRIVAL_WINDOW_MS, FLOOD_INTERVAL_MS)
    )


def trace_of(jobs: tuple[TracedJob, ...]) -> Trace:
    unique = {job.job_id: job for job in jobs}
    ordered = sorted(unique.values(), key=lambda job: job.arrives_ms)
    return Trace(
        "random", DEPLOYMENT, tuple(ordered), ARRIVAL_WINDOW_MS, 10_000
    )


@settings(
    max_examples=5,
    derandomize=True,
    deadline=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)
@given(
    jobs=st.tuples(
        *(
            st.lists(random_jobs(work_class), min_size=4, max_size=12)
            for work_class in WorkClass
        )
    ),
    profile=st.sampled_from(("waiting-first", "packing-first")),
)
def test_no_class_waits_longer_than_its_starvation_bound(
    jobs: tuple[list[TracedJob], ...], profile: str
) -> None:
    drawn_jobs = tuple(job for part in jobs for job in part)
    trace = trace_of((*deadline_flood(), *drawn_jobs))
    scheduler = make_scheduler("weighted", options_of(profile))
    result = measure_policy(trace, profile, scheduler, NO_OFFLINE_BOUND)
    for work_class, bound_ms in STARVATION_BOUND_MS_BY_CLASS.items():
        assert result.waits_by_class[work_class].gap_ms <= bound_ms


def test_fifo_exceeds_the_starvation_bound_of_urgent_work() -> None:
    urgent_job = TracedJob(
        "urgent",
        ENTRIES[WorkClass.URGENT],
        600_000,
        Resources(1_000, 1_000),
        1_000,
        (TracedTask(Resources(1_000, 1_000), 1_000),),
    )
    trace = trace_of((*deadline_flood(), urgent_job))
    result = measure_policy(
        trace, "fifo", FirstFitScheduler({}), NO_OFFLINE_BOUND
    )
    bound_ms = STARVATION_BOUND_MS_BY_CLASS[WorkClass.URGENT]
    assert result.waits_by_class["urgent"].gap_ms > bound_ms


@pytest.mark.parametrize("profile", ["waiting-first", "packing-first"])
def test_whole_machine_work_is_not_starved_by_small_work(profile: str) -> None:
    whole = DEPLOYMENT.workers[0].capacity
    task = TracedTask(whole._replace(accelerators=0), 60_000)
    gang = TracedJob(
        "whole",
        ENTRIES[WorkClass.GANG],
        300_000,
        task.actual_usage,
        task.run_ms,
        (task,) * 2,
        is_gang=True,
    )
    trace = trace_of((*deadline_flood(), gang))
    scheduler = make_scheduler("weighted", options_of(profile))
    result = measure_policy(trace, profile, scheduler, offline_bound(trace))
    bound_ms = STARVATION_BOUND_MS_BY_CLASS[WorkClass.GANG]
    assert result.waits_by_class["gang"].gap_ms <= bound_ms
