from __future__ import annotations

import numpy as np

from magnoliapitch.decision.retry import MAX_DELAY_MS
from magnoliapitch.decision.retry import RetryPolicy
from magnoliapitch.job.spec import TaskOutcome
from tests.decision.conftest import SchedulerHarness
from tests.decision.conftest import task


def run_with_failing_worker(
    harness: SchedulerHarness, worker_id: str, rounds: int
) -> None:
    for number in range(rounds):
        owner = f"owner{number % 3}"
        jobs = [task(f"j{number}-{n}", owner=owner, cores=4) for n in range(4)]
        harness.submit(*jobs)
        for attempt_id in harness.start_tasks(1_000):
            broken = harness.worker_by_attempt[attempt_id] == worker_id
            outcome = TaskOutcome.FAILED if broken else TaskOutcome.FINISHED
            harness.end(attempt_id, outcome)


def test_worker_that_fails_everything_is_quarantined_and_probed(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(4)
    run_with_failing_worker(harness, "w1", 6)
    assert harness.scheduler._health.quarantined_workers() == ("w1",)
    harness.submit(*(task(f"after{n}", cores=4) for n in range(4)))
    assert len(harness.start_tasks(1_000)) == 3
    probe = harness.decide(40_000).placements
    assert [item.worker_id for item in probe] == ["w1"]
    harness.end(probe[0].attempt_id)
    assert harness.scheduler._health.quarantined_workers() == ()


def test_quarantine_is_capped_within_a_zone(harness: SchedulerHarness) -> None:
    harness.add_workers(4)
    for number in range(12):
        owner = f"owner{number % 3}"
        harness.submit(
            *(task(f"j{number}-{n}", owner=owner, cores=4) for n in range(4))
        )
        for attempt_id in harness.start_tasks(1_000):
            harness.end(attempt_id, TaskOutcome.FAILED)
    assert len(harness.scheduler._health.quarantined_workers()) == 1


def test_job_that_fails_everywhere_does_not_quarantine_workers(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(4)
    for attempt in range(20):
        harness.submit(task("broken", 0, attempt, cores=4))
        harness.submit(*(task(f"g{attempt}-{n}", cores=4) for n in range(4)))
        for attempt_id in harness.start_tasks(700_000):
            failed = attempt_id.startswith("broken")
            outcome = TaskOutcome.FAILED if failed else TaskOutcome.FINISHED
            harness.end(attempt_id, outcome)
    assert harness.scheduler._health.quarantined_workers() == ()


def test_retry_waits_with_jitter_and_is_explained(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(1)
    harness.submit(task("flaky"))
    harness.decide()
    harness.end("flaky/0/0", TaskOutcome.FAILED)
    harness.submit(task("flaky", 0, 1))
    assert harness.start_tasks() == []
    found = harness.scheduler.explain("flaky", harness.now_ms)
    assert found is not None
    assert found.limit.startswith("retry after failure")
    assert 0 < found.estimate_ms <= 1_000
    assert harness.start_tasks(1_001) == ["flaky/0/1"]


def test_retry_delays_spread_over_the_whole_interval() -> None:
    retry = RetryPolicy(np.random.default_rng(1))
    delays = []
    for number in range(40):
        for _ in range(4):
            retry.record_failure(f"j{number}/0/0")
        delays.append(retry.delay_ms("entry", f"j{number}/0/4"))
    assert max(delays) <= 8_000
    assert min(delays) < 1_000
    assert len(set(delays)) > 35


def test_retry_budget_slows_an_entry_that_always_fails() -> None:
    retry = RetryPolicy(np.random.default_rng(1))
    first: list[int] = []
    later: list[int] = []
    for number in range(200):
        retry.record_failure(f"j{number}/0/0")
        delays = first if number < 50 else later
        delays.append(retry.delay_ms("entry", f"j{number}/0/1"))
    assert max(first) <= 1_000
    assert sum(later) / len(later) > 10_000
    assert max(later) <= MAX_DELAY_MS


def test_worker_that_replaces_a_lost_one_is_used_at_once(
    harness: SchedulerHarness,
) -> None:
    harness.add_workers(2)
    harness.submit(*(task("j", n, cores=4) for n in range(2)))
    harness.decide()
    lost = harness.worker_by_attempt["j/0/0"]
    harness.scheduler.remove_worker(lost)
    harness.submit(task("j", 0, 1, cores=4))
    assert harness.start_tasks(50) == []
    harness.add_workers(1)
    assert harness.start_tasks(50) == ["j/0/1"]
