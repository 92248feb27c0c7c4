from __future__ import annotations

import itertools

import numpy as np
import pytest

from loguru import logger

from magnoliapitch.history import check_history
from tests.history.fault import faults_by_name
from tests.history.simulation import Scene


NAMES = sorted(faults_by_name)
SINGLES = [(name,) for name in NAMES]
PAIRS = list(itertools.combinations_with_replacement(NAMES, 2))
SEEDS_PER_SINGLE = 6
SEEDS_PER_PAIR = 3
SCHEDULES = [
    (names, seed)
    for group, seeds in ((SINGLES, SEEDS_PER_SINGLE), (PAIRS, SEEDS_PER_PAIR))
    for names in group
    for seed in range(seeds)
]
JOBS = (("norte", 12), ("centro", 8), ("norte", 12), ("norte", 12))
START_MS = 6_000
FAULT_MAX_MS = 36_000
REST_MAX_MS = 240_000
BATCH = 20


def run_schedule(names: tuple[str, ...], seed: int) -> Scene:
    rng = np.random.default_rng([seed, *(NAMES.index(n) for n in names)])
    scene = Scene(rng)
    scene.run(START_MS)
    for number, (zone, tasks) in enumerate(JOBS):
        scene.submit(f"{zone}-0", f"job-{number}", tasks, f"{zone}-rack-1")
    undo_at: list[tuple[int, int]] = []
    undos = []
    for name in names:
        scene.run(int(rng.integers(0, 8_000)))
        if not scene.actors:
            break
        undos.append(faults_by_name[name](scene))
        lasts_ms = int(rng.integers(1_000, FAULT_MAX_MS))
        undo_at.append((scene.clock.now_ms() + lasts_ms, len(undos) - 1))
    for at_ms, index in sorted(undo_at):
        scene.run(max(at_ms - scene.clock.now_ms(), 0))
        undos[index]()
    until_ms = scene.clock.now_ms() + REST_MAX_MS
    while scene.clock.now_ms() < until_ms:
        scene.run(4_000)
        if scene.is_at_rest():
            break
    return scene


@pytest.mark.parametrize("first", range(0, len(SCHEDULES), BATCH))
def test_schedule_keeps_every_promise(first: int) -> None:
    logger.disable("magnoliapitch")
    try:
        broken = {}
        for names, seed in SCHEDULES[first : first + BATCH]:
            scene = run_schedule(names, seed)
            violations = check_history(scene.history())
            if violations:
                broken[names, seed] = violations[:3]
    finally:
        logger.enable("magnoliapitch")
    assert not broken


def test_schedule_count() -> None:
    assert len(SCHEDULES) >= 500
