from __future__ import annotations

import itertools

import numpy as np
import pytest

from loguru import logger

from magnoliapitch.history import check_history
from tests.history.fault import faults_by_name
from tests.history.simulation import Simulation


FAULT_NAMES = sorted(faults_by_name)
SINGLES = [(name,) for name in FAULT_NAMES]
PAIRS = list(itertools.combinations_with_replacement(FAULT_NAMES, 2))
SEEDS_PER_SINGLE = 6
SEEDS_PER_PAIR = 3
SCHEDULES = [
    (names, seed)
    for group, seeds in ((SINGLES, SEEDS_PER_SINGLE), (PAIRS, SEEDS_PER_PAIR))
    for names in group
    for seed in range(seeds)
]
JOBS = (("norte", 12), ("centro", 8), ("norte", 12), ("norte", 12))
WARM_UP_MS = 6_000
FAULT_MAX_MS = 36_000
FINISH_MAX_MS = 240_000
SCHEDULES_PER_TEST = 20


def run_schedule(names: tuple[str, ...], seed: int) -> Simulation:
    rng = np.random.default_rng([seed, *(FAULT_NAMES.index(n) for n in names)])
    simulation = Simulation(rng)
    simulation.run(WARM_UP_MS)
    for number, (zone, tasks) in enumerate(JOBS):
        simulation.submit(
            f"{zone}-0", f"job-{number}", tasks, f"{zone}-rack-1"
        )
    undo_at: list[tuple[int, int]] = []
    undos = []
    for name in names:
        simulation.run(int(rng.integers(0, 8_000)))
        if not simulation.instances_by_id:
            break
        undos.append(faults_by_name[name](simulation))
        duration_ms = int(rng.integers(1_000, FAULT_MAX_MS))
        undo_at.append(
            (simulation.clock.now_ms() + duration_ms, len(undos) - 1)
        )
    for at_ms, index in sorted(undo_at):
        simulation.run(max(at_ms - simulation.clock.now_ms(), 0))
        undos[index]()
    until_ms = simulation.clock.now_ms() + FINISH_MAX_MS
    while simulation.clock.now_ms() < until_ms:
        simulation.run(4_000)
        if simulation.all_jobs_done():
            break
    return simulation


@pytest.mark.parametrize("first", range(0, len(SCHEDULES), SCHEDULES_PER_TEST))
def test_schedules_keep_all_invariants(first: int) -> None:
    logger.disable("magnoliapitch")
    try:
        violations_by_schedule = {}
        for names, seed in SCHEDULES[first : first + SCHEDULES_PER_TEST]:
            simulation = run_schedule(names, seed)
            violations = check_history(simulation.history())
            if violations:
                violations_by_schedule[names, seed] = violations[:3]
    finally:
        logger.enable("magnoliapitch")
    assert not violations_by_schedule


def test_schedule_count() -> None:
    assert len(SCHEDULES) >= 500
