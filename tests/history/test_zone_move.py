from __future__ import annotations

import numpy as np
import pytest

from magnoliapitch.history import LeaseStarted
from magnoliapitch.history import check_history
from magnoliapitch.ownership.hold import MOVE_AFTER_MIN_MS
from tests.history.simulation import Scene


RACK = "norte-rack-1"
SHORT_MS = 3_000
LONG_MS = 400_000
TICK_MS = 500


def movable_scene(run_ms: int) -> Scene:
    scene = Scene(np.random.default_rng(3))
    scene.publish_movable(MOVE_AFTER_MIN_MS)
    scene.run(10_000, TICK_MS)
    scene.submit("centro-0", "job", 6, RACK, "movable", run_ms)
    scene.submit("centro-0", "stays", 2, RACK, "roster", run_ms)
    scene.run(3_000, TICK_MS)
    return scene


def moved_starts(scene: Scene, after_ms: int) -> list[LeaseStarted]:
    return [
        event
        for event in scene.history()
        if isinstance(event, LeaseStarted)
        and event.at_ms > after_ms
        and event.worker_id.startswith("centro")
    ]


@pytest.mark.parametrize("pause_ms", [0, 20_000])
def test_zone_move_runs_tasks_elsewhere_after_the_holder_stopped(
    pause_ms: int,
) -> None:
    scene = movable_scene(LONG_MS)
    cut_ms = scene.clock.now_ms()
    heal = scene.cut_zone("norte")
    if pause_ms:
        scene.run(MOVE_AFTER_MIN_MS - pause_ms, TICK_MS)
        for name in list(scene.actors):
            if name.startswith("norte"):
                scene.pause(name)
        scene.run(pause_ms, TICK_MS)
        for name in list(scene.paused):
            scene.resume(name)
    scene.run(2 * MOVE_AFTER_MIN_MS, TICK_MS)
    moved = moved_starts(scene, cut_ms)
    assert {item.lease_id.split("/")[0] for item in moved} == {"job"}
    assert len(moved) == 6
    assert min(item.at_ms for item in moved) > cut_ms + MOVE_AFTER_MIN_MS / 2
    heal()
    scene.run(2 * LONG_MS, 2_000)
    assert scene.is_at_rest()
    assert check_history(scene.history()) == ()
    assert len(moved_starts(scene, cut_ms)) == 6


def test_zone_move_is_refused_once_the_holder_shows_its_presence() -> None:
    scene = movable_scene(LONG_MS)
    cut_ms = scene.clock.now_ms()
    heal = scene.cut_zone("norte")
    scene.run(MOVE_AFTER_MIN_MS - 10_000, TICK_MS)
    heal()
    scene.run(8_000, TICK_MS)
    heal = scene.cut_zone("norte")
    scene.run(MOVE_AFTER_MIN_MS - 10_000, TICK_MS)
    assert moved_starts(scene, cut_ms) == []
    heal()
    scene.run(2 * LONG_MS, 2_000)
    assert scene.is_at_rest()
    assert check_history(scene.history()) == ()


def test_zone_move_leaves_a_zone_alone_whose_owners_are_present() -> None:
    scene = movable_scene(SHORT_MS)
    scene.run(3 * MOVE_AFTER_MIN_MS, 1_000)
    assert moved_starts(scene, 0) == []
    assert check_history(scene.history()) == ()
