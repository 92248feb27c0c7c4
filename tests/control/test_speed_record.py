"""The record of what is learned, over a change of leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.ledger.records import SPEEDS_KEY
from magnoliapitch.ledger.state_table import StateTable
from magnoliapitch.planner import PlanningOptions
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


if TYPE_CHECKING:
    from magnoliapitch.ledger.leader_appender import Batch
    from magnoliapitch.planner.duration import LearnedDurations

RUN_MS = 30_000
MIN_INTERVAL_MS = 5_000


class Record:
    """Batches of a leader that carry the record."""

    def __init__(self, *, is_on: bool) -> None:
        self.simulation = Simulation(
            [queue("q")],
            workers(6),
            options=PlanningOptions(worker_speeds=is_on),
        )
        self.simulation.speed_of = lambda name: 2.0 if name < "w002" else 1.0
        self.written_ms: list[int] = []
        self.simulation.on_commit = self._record
        step = StepSpec(4, Resources(8_000, 500), 1_000)
        for number in range(RUN_MS // 200):
            job = JobSpec(f"a{number}", "q", "text", (step,))
            self.simulation.schedule(
                number * 200,
                lambda job=job: self.simulation.submit(job),  # type: ignore[misc]
            )

    def _record(self, batch: Batch) -> None:
        keys = [record.key for record in batch.states]
        if SPEEDS_KEY in keys:
            self.written_ms.append(self.simulation.now_ms)

    @property
    def learned(self) -> LearnedDurations:
        """Return what the present leader has learned."""
        learned = self.simulation.controller.planner.learned_durations
        assert learned is not None
        return learned


def test_the_next_leader_knows_the_speeds() -> None:
    record = Record(is_on=True)
    record.simulation.run(RUN_MS)
    before = record.learned.speeds.estimate("w000").log_speed
    record.simulation.take_over()
    record.simulation.run(600)
    after = record.learned.speeds.estimate("w000").log_speed
    assert before > 0.3
    assert after == pytest.approx(before, abs=0.15)


def test_the_record_is_written_at_most_every_5_s() -> None:
    """Otherwise it would use the links of small instances."""
    record = Record(is_on=True)
    record.simulation.run(RUN_MS)
    pairs = zip(record.written_ms, record.written_ms[1:], strict=False)
    assert len(record.written_ms) >= 3
    assert all(late - early >= MIN_INTERVAL_MS for early, late in pairs)


def test_nothing_is_written_without_learned_speeds() -> None:
    record = Record(is_on=False)
    record.simulation.run(RUN_MS)
    assert record.written_ms == []


def test_a_leader_starts_without_history_if_the_record_is_unreadable() -> None:
    """A malformed record must not end the leader's process."""
    record = Record(is_on=True)
    record.simulation.states.speeds = b"\xff{"
    record.simulation.take_over()
    record.simulation.run(2_000)
    assert record.learned.work_by_queue
    assert record.simulation.finished


def test_the_state_table_keeps_the_newest_record() -> None:
    table = StateTable()
    table.apply({SPEEDS_KEY: b"1"}, [SPEEDS_KEY])
    assert table.speeds == b"1"
    table.apply({}, [SPEEDS_KEY])
    assert table.speeds is None
