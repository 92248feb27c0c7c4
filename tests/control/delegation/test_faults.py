"""The invariants hold with agents that are slow and are lost."""

from __future__ import annotations

import pytest

from tests.control.delegation.simulated_agents import DelegatedEffects
from tests.control.test_capacity_under_faults import FaultyRun


SEEDS = range(12)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_and_no_worker_is_over_capacity(seed: int) -> None:
    run = FaultyRun(seed, DelegatedEffects)
    run.play()
    assert run.simulation.violations == []
    assert set(run.simulation.finished) == set(run.job_ids)
