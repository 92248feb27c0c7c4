from __future__ import annotations

import itertools

from typing import TYPE_CHECKING

from magnoliapitch.admission import decode_figures
from magnoliapitch.ledger.records import LOAD_KEY
from magnoliapitch.ledger.records import TOKENS_PER_EPOCH
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.planner.load import LoadEstimator
from magnoliapitch.planner.options import PlanningOptions
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import Service
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.simulated_worker import SimulatedWorker
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


if TYPE_CHECKING:
    import pytest

    from magnoliapitch.admission import LoadFigures
    from magnoliapitch.ledger.leader_appender import Batch


ADMISSION = PlanningOptions(admission=True)
MAX_RECORD_BYTES = 300
TASK = Resources(8_000, 8_000)


class Published:
    """Figures that the leader of a simulation has published, by time."""

    def __init__(self, options: PlanningOptions = ADMISSION) -> None:
        self.simulation = Simulation(
            [queue("q"), queue("later", 1)], workers(2), options=options
        )
        self.figures: list[tuple[int, LoadFigures]] = []
        self.longest_record_bytes = 0
        self.simulation.on_commit = self._record

    def _record(self, batch: Batch) -> None:
        for record in batch.states:
            if record.key == LOAD_KEY:
                self.longest_record_bytes = max(
                    self.longest_record_bytes, len(record.value)
                )
                self.figures.append(
                    (self.simulation.now_ms, decode_figures(record.value))
                )

    def submit(self, job_id: str, queue_name: str, task_count: int) -> None:
        step = StepSpec(task_count, TASK, 1_000)
        self.simulation.submit(JobSpec(job_id, queue_name, "", (step,)))


def test_figures_are_published_at_most_every_500_ms() -> None:
    published = Published()
    for number in range(50):
        published.simulation.schedule(
            number * 80,
            lambda number=number: published.submit(f"j{number}", "q", 4),  # type: ignore[misc]
        )
    published.simulation.run(10_000)
    times_ms = [time_ms for time_ms, _ in published.figures]
    intervals = [
        later - earlier for earlier, later in itertools.pairwise(times_ms)
    ]
    assert min(intervals) >= 500
    # Otherwise they would be too old to be used.
    assert max(intervals) < 1_500
    assert published.longest_record_bytes <= MAX_RECORD_BYTES


def test_unchanged_figures_are_repeated_before_they_are_too_old() -> None:
    published = Published()
    published.simulation.run(1_000)
    published.figures.clear()
    published.simulation.run(10_000)
    assert 6 <= len(published.figures) <= 11


def test_figures_state_the_wait_behind_a_backlog() -> None:
    published = Published()
    published.simulation.run(4_000)
    published.submit("a", "q", 400)
    published.submit("b", "later", 1)
    published.simulation.run(1_500)
    _, figures = published.figures[-1]
    # 400 tasks of 8 cores and 1 s on 64 cores take 50 s; half of that is
    # certain.
    wait_ms = figures.queues_by_name["later"].wait_ms("", TASK)
    assert 20_000 < wait_ms <= 25_000
    load = published.simulation.states.load.current(
        published.simulation.states.leader, published.simulation.now_ms
    )
    assert load is not None
    assert load.age_ms < 1_500


def test_workers_of_a_standby_service_may_come_to_help() -> None:
    """They are moved to another service while there is much work."""
    published = Published()
    simulation = published.simulation
    standby = Service("standby", is_standby=True)
    services = {
        **simulation.configuration.services_by_name,
        "standby": standby,
    }
    simulation.configuration = simulation.configuration._replace(
        services_by_name=services
    )
    for worker in list(simulation.workers.values()):
        info = worker.info._replace(
            worker_id=f"s-{worker.info.worker_id}", service="standby"
        )
        simulation.workers[info.worker_id] = SimulatedWorker(info, simulation)
    simulation.run(4_000)
    published.submit("a", "q", 400)
    published.submit("b", "later", 1)
    simulation.run(1_500)
    _, figures = published.figures[-1]
    # Half of what it is without the standby workers.
    assert figures.queues_by_name["later"].wait_ms("", TASK) <= 12_500


def test_a_new_leader_publishes_under_its_epoch() -> None:
    published = Published()
    published.simulation.run(2_000)
    published.simulation.take_over()
    published.simulation.run(2_000)
    positions = [figures.position for _, figures in published.figures]
    assert positions == sorted(positions)
    assert {epoch for epoch, _ in positions} == {
        TOKENS_PER_EPOCH,
        2 * TOKENS_PER_EPOCH,
    }
    assert (2 * TOKENS_PER_EPOCH, 1) in positions


def test_nothing_is_published_while_admission_is_off() -> None:
    published = Published(PlanningOptions())
    published.submit("a", "q", 40)
    published.simulation.run(4_000)
    assert published.figures == []


def test_an_error_in_the_figures_does_not_end_the_rounds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_: object) -> None:
        raise ZeroDivisionError

    published = Published()
    monkeypatch.setattr(LoadEstimator, "figures", fail)
    published.submit("a", "q", 4)
    published.simulation.run(3_000)
    assert published.figures == []
    assert published.simulation.finished["a"].outcome is JobState.COMPLETED
