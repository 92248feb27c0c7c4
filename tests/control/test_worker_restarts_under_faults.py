"""Random schedules in which workers restart under their ids."""

from __future__ import annotations

from itertools import product
from typing import TYPE_CHECKING

import pytest

from tests.control.restarting_workers import DelegatedWireEffects
from tests.control.restarting_workers import RestartingSimulation
from tests.control.restarting_workers import WireEffects
from tests.control.test_worker_crashes_under_faults import CrashingRun


if TYPE_CHECKING:
    from tests.control.simulated_effects import SimulatedEffects


SEEDS = range(8)
EFFECTS_TYPES = (WireEffects, DelegatedWireEffects)
SCHEDULE_WITH_A_WRONG_CRASH = (7, DelegatedWireEffects)
SCHEDULES = [
    schedule
    for schedule in product(SEEDS, EFFECTS_TYPES)
    if schedule != SCHEDULE_WITH_A_WRONG_CRASH
]
RESTART_PROBABILITY = 0.06


class RestartingRun(CrashingRun):
    """Workers crash often and are back under their ids, mostly at once."""

    def __init__(
        self, seed: int, effects_type: type[SimulatedEffects] = WireEffects
    ) -> None:
        super().__init__(seed, effects_type, RestartingSimulation)

    def _cause_faults(self) -> None:
        super()._cause_faults()
        simulation = self.simulation
        assert isinstance(simulation, RestartingSimulation)
        simulation.listing_delay_ms = self._random.choice((0, 700, 1_500))
        simulation.restart_delay_ms = self._random.choice(
            (20, 200, 1_000, 3_000, 6_000)
        )
        if self._happens(RESTART_PROBABILITY):
            name = self._random.choice(sorted(simulation.workers))
            simulation.workers[name].crash()


# Incident TWICE: with cuts, late orders, lost answers and new leaders, too.
@pytest.mark.parametrize(("seed", "effects_type"), SCHEDULES)
def test_nothing_runs_twice_when_workers_restart_under_faults(
    seed: int, effects_type: type[SimulatedEffects]
) -> None:
    check_schedule(seed, effects_type)


# A job was given up after one crash: the restart of a worker before an order
# reached it counted as a crash under the run that its next incarnation began.
def test_a_restart_before_an_order_does_not_count_as_a_crash() -> None:
    check_schedule(*SCHEDULE_WITH_A_WRONG_CRASH)


def check_schedule(seed: int, effects_type: type[SimulatedEffects]) -> None:
    run = RestartingRun(seed, effects_type)
    run.play()
    assert run.simulation.violations == []
    assert run.wrongly_failed() == set()
    assert set(run.simulation.finished) == set(run.job_ids)
