from __future__ import annotations

import numpy as np

from magnoliapitch.decision.retry import MAX_DELAY_MS
from magnoliapitch.decision.retry import RetryPolicy
from magnoliapitch.job.spec import TaskOutcome
from tests.decision.conftest import Bench
from tests.decision.conftest import task


def fail_on(bench: Bench, worker_id: str, rounds: int) -> None:
    for number in range(rounds):
        owner = f"owner{number % 3}"
        jobs = [task(f"j{number}-{n}", owner=owner, cores=4) for n in range(4)]
        bench.submit(*jobs)
        for task_id in bench.started(1_000):
            broken = bench.worker_by_task[task_id] == worker_id
            outcome = TaskOutcome.FAILED if broken else TaskOutcome.FINISHED
            bench.end(task_id, outcome)


def test_worker_that_fails_everything_is_quarantined_and_probed(
    bench: Bench,
) -> None:
    bench.add_workers(4)
    fail_on(bench, "w1", 6)
    assert bench.scheduler._health.quarantined() == ("w1",)
    bench.submit(*(task(f"after{n}", cores=4) for n in range(4)))
    assert len(bench.started(1_000)) == 3
    probe = bench.decide(40_000).placements
    assert [item.worker_id for item in probe] == ["w1"]
    bench.end(probe[0].task_id)
    assert bench.scheduler._health.quarantined() == ()


def test_quarantine_is_capped_within_a_zone(bench: Bench) -> None:
    bench.add_workers(4)
    for number in range(12):
        owner = f"owner{number % 3}"
        bench.submit(
            *(task(f"j{number}-{n}", owner=owner, cores=4) for n in range(4))
        )
        for task_id in bench.started(1_000):
            bench.end(task_id, TaskOutcome.FAILED)
    assert len(bench.scheduler._health.quarantined()) == 1


def test_job_that_fails_everywhere_does_not_blame_workers(
    bench: Bench,
) -> None:
    bench.add_workers(4)
    for attempt in range(20):
        bench.submit(task("broken", 0, attempt, cores=4))
        bench.submit(*(task(f"g{attempt}-{n}", cores=4) for n in range(4)))
        for task_id in bench.started(700_000):
            failed = task_id.startswith("broken")
            outcome = TaskOutcome.FAILED if failed else TaskOutcome.FINISHED
            bench.end(task_id, outcome)
    assert bench.scheduler._health.quarantined() == ()


def test_retry_waits_with_jitter_and_is_explained(bench: Bench) -> None:
    bench.add_workers(1)
    bench.submit(task("flaky"))
    bench.decide()
    bench.end("flaky/0/0", TaskOutcome.FAILED)
    bench.submit(task("flaky", 0, 1))
    assert bench.started() == []
    found = bench.scheduler.explain("flaky", bench.now_ms)
    assert found is not None
    assert found.limit.startswith("retry after failure")
    assert 0 < found.estimate_ms <= 1_000
    assert bench.started(1_001) == ["flaky/0/1"]


def test_retry_delays_spread_over_the_whole_interval() -> None:
    retry = RetryPolicy(np.random.default_rng(1))
    delays = []
    for number in range(40):
        for _ in range(4):
            retry.failed(f"j{number}/0/0")
        delays.append(retry.delay_ms("entry", f"j{number}/0/4"))
    assert max(delays) <= 8_000
    assert min(delays) < 1_000
    assert len(set(delays)) > 35


def test_retry_budget_slows_an_entry_that_always_fails() -> None:
    retry = RetryPolicy(np.random.default_rng(1))
    first: list[int] = []
    later: list[int] = []
    for number in range(200):
        retry.failed(f"j{number}/0/0")
        delays = first if number < 50 else later
        delays.append(retry.delay_ms("entry", f"j{number}/0/1"))
    assert max(first) <= 1_000
    assert sum(later) / len(later) > 10_000
    assert max(later) <= MAX_DELAY_MS


def test_rack_that_comes_back_is_used_at_once(bench: Bench) -> None:
    bench.add_workers(2)
    bench.submit(*(task("j", n, cores=4) for n in range(2)))
    bench.decide()
    lost = bench.worker_by_task["j/0/0"]
    bench.scheduler.remove_worker(lost)
    bench.submit(task("j", 0, 1, cores=4))
    assert bench.started(50) == []
    bench.add_workers(1)
    assert bench.started(50) == ["j/0/1"]
