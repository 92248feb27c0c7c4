from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.control import progress_batcher
from magnoliapitch.ledger.records import LEADER_KEY
from magnoliapitch.ledger.records import decode_leader
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


if TYPE_CHECKING:
    from magnoliapitch.ledger.leader_appender import Batch

JOB_COUNT = 200
SUBMISSION_INTERVAL_MS = 17


# The first batch of a leader took time by the number of all open jobs.
@pytest.mark.parametrize("max_states", [5_000, 7])
def test_a_published_offset_covers_only_jobs_with_published_states(
    max_states: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise other instances would report an accepted job as missing."""
    monkeypatch.setattr(progress_batcher, "MAX_STATES_PER_BATCH", max_states)
    simulation = Simulation([queue("q")], workers(3))
    step = StepSpec(2, Resources(500, 500))
    offsets: list[int] = []

    def check(batch: Batch) -> None:
        job_states = [
            record for record in batch.states if record.key.startswith("s.")
        ]
        assert len(job_states) <= max_states
        published = {record.key[2:] for record in batch.states}
        offsets.extend(
            decode_leader(record.value).job_offset
            for record in batch.states
            if record.key == LEADER_KEY
        )
        for number in range(offsets[-1] if offsets else 0):
            job_id = f"a{number}"
            assert job_id in published or simulation.states.get(job_id)

    simulation.on_commit = check
    for number in range(JOB_COUNT):
        job = JobSpec(f"a{number}", "q", "text", (step,))
        simulation.schedule(
            number * SUBMISSION_INTERVAL_MS,
            lambda job=job: simulation.submit(job),  # type: ignore[misc]
        )
    simulation.run(2_000)
    simulation.take_over()
    simulation.run(10_000)
    assert offsets == sorted(offsets)
    assert offsets[-1] == JOB_COUNT


def test_the_offset_is_published_without_other_changes() -> None:
    simulation = Simulation([queue("q")], workers(1))
    step = StepSpec(1, Resources(64_000, 500))
    simulation.submit(JobSpec("a", "q", "text", (step,)))
    simulation.run(1_000)
    leader = simulation.states.leader
    assert leader is not None
    assert leader.job_offset == 1
