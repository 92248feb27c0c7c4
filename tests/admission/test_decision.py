from __future__ import annotations

import random
import time

import pytest

from magnoliapitch.admission import AgedFigures
from magnoliapitch.admission import LoadFigures
from magnoliapitch.admission import QueueLoad
from magnoliapitch.admission import Rejection
from magnoliapitch.admission import ServiceCapacity
from magnoliapitch.admission import SizedWait
from magnoliapitch.admission import decide
from magnoliapitch.admission import decode_figures
from magnoliapitch.admission import encode_figures
from magnoliapitch.admission import limited_figures
from magnoliapitch.admission.retry import retry_after_ms
from magnoliapitch.control.load_publisher import MAX_LOAD_BYTES
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec


QUEUE = Queue("q", "h", "/", "app", 1, 1, stretch=1.5, target_ms=250)
TASK = Resources(4_000, 8_000)
WORKER = Resources(16_000, 64_000)
FULL = ServiceCapacity((WORKER,))
# 3 x (250 + 1.5 x 1,600) - 1,600: the longest useful wait of a queue with an
# expected path of 800 ms.
MAX_WAIT_MS = 6_350
MAX_BYTES_PER_QUEUE = 150


def figures(
    wait_ms: int = MAX_WAIT_MS + 1,
    capacity: ServiceCapacity = FULL,
    **by_workspace: int,
) -> LoadFigures:
    load = QueueLoad(
        waits(wait_ms),
        800,
        {name: waits(value) for name, value in by_workspace.items()},
    )
    return LoadFigures(1, 1, {"q": load}, {"app": capacity})


def waits(wait_ms: int) -> tuple[SizedWait, ...]:
    return (SizedWait(TASK, wait_ms),)


def job(step: StepSpec | None = None, **fields: object) -> JobSpec:
    step = step or StepSpec(2, TASK)
    return JobSpec("a", "q", "", (step,))._replace(**fields)  # type: ignore[arg-type]


def decision(
    spec: JobSpec, load: LoadFigures, age_ms: int = 0
) -> Rejection | None:
    aged = AgedFigures(load, age_ms)
    return decide(spec, QUEUE, aged, random.Random(1))


def test_a_job_that_cannot_be_of_use_is_rejected_as_not_run() -> None:
    rejection = decision(job(), figures())
    assert rejection is not None
    assert rejection.failure.verdict is Verdict.NOT_RUN
    assert rejection.failure.code is FailureCode.OVERLOADED
    assert rejection.failure.retry_after_ms == 1_000


def test_a_job_that_is_just_of_use_is_admitted() -> None:
    assert decision(job(), figures(MAX_WAIT_MS)) is None


@pytest.mark.parametrize("age_ms", [-1, 2_000, 60_000])
def test_figures_that_are_not_fresh_reject_nothing(age_ms: int) -> None:
    """A paused instance and one without a leader have only such figures."""
    assert decision(job(), figures(), age_ms) is None
    too_large = job(StepSpec(1, WORKER.times(2)))
    assert decision(too_large, figures(), age_ms) is None


def test_without_figures_every_job_is_admitted() -> None:
    assert decide(job(), QUEUE, None, random.Random(1)) is None
    no_workers = LoadFigures(1, 1, {"q": QueueLoad(waits(90_000), 1, {})}, {})
    assert decision(job(), no_workers) is None
    other_queue = LoadFigures(1, 1, {}, {"app": FULL})
    assert decision(job(), other_queue) is None


def test_a_task_larger_than_every_worker_is_impossible() -> None:
    too_large = StepSpec(1, Resources(17_000, 1_000))
    rejection = decision(job(too_large), figures(0))
    assert rejection is not None
    assert rejection.failure.code is FailureCode.IMPOSSIBLE
    assert rejection.failure.retry_after_ms is None
    leftover = too_large._replace(uses_leftover=True)
    assert decision(job(leftover), figures(0)) is None


def test_a_task_must_fit_one_worker_in_every_resource() -> None:
    """No worker has the largest amount of each resource."""
    mixed = ServiceCapacity((Resources(16_000, 8_000), Resources(8_000, 64)))
    both = job(StepSpec(1, Resources(16_000, 8_000)))
    assert decision(both, figures(0, mixed)) is None
    neither = job(StepSpec(1, Resources(16_000, 8_001)))
    assert decision(neither, figures(0, mixed)) is not None


def test_a_job_that_finds_room_is_admitted() -> None:
    room = ServiceCapacity((WORKER,), (TASK,), TASK.times(2))
    assert decision(job(), figures(capacity=room)) is None
    no_cpu = TASK._replace(cpu_millis=TASK.cpu_millis - 1)
    no_room = ServiceCapacity((WORKER,), (no_cpu,), TASK.times(9))
    assert decision(job(), figures(capacity=no_room)) is not None


def test_a_task_smaller_than_those_that_wait_is_admitted() -> None:
    """It may start in a gap that they cannot use."""
    small = TASK._replace(cpu_millis=TASK.cpu_millis - 1)
    assert decision(job(StepSpec(2, small)), figures(90_000)) is None
    steps = (StepSpec(2, TASK), StepSpec(1, small))
    assert decision(job()._replace(steps=steps), figures(90_000)) is None
    chain = (StepSpec(2, TASK), StepSpec(1, small, depends_on=(0,)))
    assert decision(job()._replace(steps=chain), figures(90_000)) is not None


def test_a_gang_needs_room_for_all_of_its_tasks() -> None:
    gang = job(StepSpec(3, TASK, is_gang=True))
    two = ServiceCapacity((WORKER,), (TASK,), TASK.times(2))
    assert decision(gang, figures(capacity=two)) is not None
    three = ServiceCapacity((WORKER,), (TASK,), TASK.times(3))
    assert decision(gang, figures(capacity=three)) is None


@pytest.mark.parametrize(
    "spec",
    [
        job(StepSpec(1, TASK, is_long_running=True)),
        job(run_count=5),
    ],
)
def test_work_that_is_of_use_whenever_it_runs_is_admitted(
    spec: JobSpec,
) -> None:
    assert decision(spec, figures(90_000)) is None


# With about 1,600 queues the record outgrew what the store takes.
def test_figures_keep_the_longest_waits_within_a_limit() -> None:
    queues = {
        f"queue-{number}": QueueLoad(waits(number) * 4, 2_000, {})
        for number in range(3_000)
    }
    load = LoadFigures(1, 1, queues, {"app": FULL})
    limited = limited_figures(load, MAX_LOAD_BYTES)
    size_bytes = len(encode_figures(limited))
    assert 0.7 * MAX_LOAD_BYTES < size_bytes <= MAX_LOAD_BYTES
    kept = set(limited.queues_by_name)
    assert kept == {f"queue-{3_000 - 1 - n}" for n in range(len(kept))}
    assert limited_figures(limited, MAX_LOAD_BYTES) == limited
    assert not limited_figures(load, 40).services_by_name


def test_a_queue_without_an_objective_is_admitted() -> None:
    aged = AgedFigures(figures(90_000), 0)
    queue = QUEUE._replace(stretch=1.0, target_ms=0.0)
    assert decide(job(), queue, aged, random.Random(1)) is None


def test_a_longer_declared_path_leaves_more_time() -> None:
    long = job(StepSpec(1, TASK, estimate_ms=5_000))
    assert decision(long, figures(MAX_WAIT_MS + 1)) is None
    first, second = StepSpec(1, TASK, 1_000), StepSpec(1, TASK, 1_000, (0,))
    chain = job()._replace(steps=(first, second))
    assert decision(chain, figures(MAX_WAIT_MS + 1)) is None


def test_the_bound_of_a_workspace_applies_to_its_jobs_only() -> None:
    load = figures(0, large=90_000)
    assert decision(job(workspace="small"), load) is None
    assert decision(job(workspace="large"), load) is not None


def test_callers_return_in_the_order_in_which_capacity_becomes_free() -> None:
    """Whole seconds from 1 to 10, spread over as much again."""
    source = random.Random(1)
    delays_ms = {
        excess_ms: [retry_after_ms(excess_ms, source) for _ in range(1_000)]
        for excess_ms in (0, 400, 1_000, 2_000, 4_000, 5_000, 60_000)
    }
    for excess_ms, values in delays_ms.items():
        assert all(value % 1_000 == 0 for value in values)
        assert min(values) >= max(1_000, min(excess_ms, 5_000))
        assert max(values) <= min(10_000, 2 * excess_ms + 1_000)
    means = [sum(values) / len(values) for values in delays_ms.values()]
    assert means == sorted(means)
    # Callers that are all told the longest wait do not return together.
    longest = delays_ms[60_000]
    assert max(longest.count(value) for value in longest) <= 300


def test_figures_survive_encoding() -> None:
    load = figures(12, ServiceCapacity((WORKER,), (TASK,), TASK), large=9)
    assert decode_figures(encode_figures(load)) == load


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{",
        b"\xff",
        b"[]",
        b'{"epoch":1}',
        b'[1,2,{"q":[5,1,{}]},{}]',
        b'[1,2,{"q":[[[[1,1,0],"5"]],1,{}]},{}]',
        b'[1,2,{"q":[[[[1,1,0],-5]],1,{}]},{}]',
        b'[1,2,{"q":[[[[1,1,0],1.5]],1,{}]},{}]',
        b'[1,2,{"q":[[[[1,1,0],NaN]],1,{}]},{}]',
        b"[1,2,[],{}]",
        b"[true,2,{},{}]",
    ],
)
def test_a_record_of_another_type_is_unreadable(value: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        decode_figures(value)


def test_a_decision_takes_well_under_a_millisecond() -> None:
    """1,400 queues, 20 workspaces above their share in each."""
    workspaces = {f"w{number}": waits(90_000) for number in range(20)}
    queues = {
        f"q{number}": QueueLoad(waits(90_000), 800, workspaces)
        for number in range(1_400)
    }
    load = AgedFigures(
        LoadFigures(1, 1, queues | {"q": queues["q0"]}, {"app": FULL}), 0
    )
    source = random.Random(1)
    started_ns = time.process_time_ns()
    for _ in range(1_000):
        assert decide(job(), QUEUE, load, source) is not None
    assert time.process_time_ns() - started_ns < 500_000_000


def test_a_small_record_describes_a_busy_cluster() -> None:
    """20 queues, each with bounds for tasks of four sizes."""
    load = LoadFigures(
        1 << 40,
        10_000,
        {
            f"queue-{number}": QueueLoad(waits(9_000) * 4, 2_000, {})
            for number in range(20)
        },
        {"app": ServiceCapacity((WORKER,), (TASK,) * 8, NO_RESOURCES)},
    )
    assert len(encode_figures(load)) < 20 * MAX_BYTES_PER_QUEUE
