from __future__ import annotations

import numpy as np
import pytest

from magnoliapitch.history import LeaseStarted
from magnoliapitch.history import check_history
from magnoliapitch.ownership.presence_lease import MOVE_AFTER_MIN_MS
from tests.history.simulation import Simulation


RACK = "norte-rack-1"
SHORT_RUN_MS = 3_000
LONG_RUN_MS = 400_000
TICK_MS = 500


def simulation_with_movable_job(run_ms: int) -> Simulation:
    simulation = Simulation(np.random.default_rng(3))
    simulation.publish_movable_entry(MOVE_AFTER_MIN_MS)
    simulation.run(10_000, TICK_MS)
    simulation.submit("centro-0", "job", 6, RACK, "movable", run_ms)
    simulation.submit("centro-0", "stays", 2, RACK, "roster", run_ms)
    simulation.run(3_000, TICK_MS)
    return simulation


def moved_starts(simulation: Simulation, after_ms: int) -> list[LeaseStarted]:
    return [
        event
        for event in simulation.history()
        if isinstance(event, LeaseStarted)
        and event.at_ms > after_ms
        and event.worker_id.startswith("centro")
    ]


@pytest.mark.parametrize("pause_ms", [0, 20_000])
def test_zone_move_runs_tasks_elsewhere_after_the_owner_stopped(
    pause_ms: int,
) -> None:
    simulation = simulation_with_movable_job(LONG_RUN_MS)
    cut_ms = simulation.clock.now_ms()
    heal = simulation.cut_zone("norte")
    if pause_ms:
        simulation.run(MOVE_AFTER_MIN_MS - pause_ms, TICK_MS)
        for name in list(simulation.instances_by_id):
            if name.startswith("norte"):
                simulation.pause(name)
        simulation.run(pause_ms, TICK_MS)
        for name in list(simulation.paused):
            simulation.resume(name)
    simulation.run(2 * MOVE_AFTER_MIN_MS, TICK_MS)
    moved = moved_starts(simulation, cut_ms)
    assert {item.lease_id.split("/")[0] for item in moved} == {"job"}
    assert len(moved) == 6
    assert min(item.at_ms for item in moved) > cut_ms + MOVE_AFTER_MIN_MS / 2
    heal()
    simulation.run(2 * LONG_RUN_MS, 2_000)
    assert simulation.all_jobs_done()
    assert check_history(simulation.history()) == ()
    assert len(moved_starts(simulation, cut_ms)) == 6


def test_zone_move_is_rejected_after_a_heartbeat_of_the_owner() -> None:
    simulation = simulation_with_movable_job(LONG_RUN_MS)
    cut_ms = simulation.clock.now_ms()
    heal = simulation.cut_zone("norte")
    simulation.run(MOVE_AFTER_MIN_MS - 10_000, TICK_MS)
    heal()
    simulation.run(8_000, TICK_MS)
    heal = simulation.cut_zone("norte")
    simulation.run(MOVE_AFTER_MIN_MS - 10_000, TICK_MS)
    assert moved_starts(simulation, cut_ms) == []
    heal()
    simulation.run(2 * LONG_RUN_MS, 2_000)
    assert simulation.all_jobs_done()
    assert check_history(simulation.history()) == ()


def test_zone_move_does_not_touch_a_zone_with_live_owners() -> None:
    simulation = simulation_with_movable_job(SHORT_RUN_MS)
    simulation.run(3 * MOVE_AFTER_MIN_MS, 1_000)
    assert moved_starts(simulation, 0) == []
    assert check_history(simulation.history()) == ()
