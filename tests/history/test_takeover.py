from __future__ import annotations

import numpy as np

from magnoliapitch.history import LeaseStarted
from magnoliapitch.history import check_history
from magnoliapitch.ownership.claimer import CLAIM_INTERVAL_MS
from magnoliapitch.ownership.claimer import TAKEOVER_AFTER_MS
from magnoliapitch.worker.lease import LEASE_TTL_MAX_MS
from tests.history.scene import AWAY
from tests.history.scene import Scene


TICK_MS = 100
RACK = "norte-rack-1"
SUSPECT_MS = 2_000
HEARTBEAT_MS = 500
POLL_MS = 250
BOUND_MS = (
    SUSPECT_MS
    + HEARTBEAT_MS
    + TAKEOVER_AFTER_MS
    + CLAIM_INTERVAL_MS
    + LEASE_TTL_MAX_MS
    + 2 * POLL_MS
    + 8 * TICK_MS
)


def busy_scene(seed: int = 7, tasks: int = 20) -> tuple[Scene, str]:
    scene = Scene(np.random.default_rng(seed))
    scene.run(6_000, TICK_MS)
    for number in range(4):
        scene.submit("centro-0", f"job-{number}", tasks, RACK)
    scene.run(3_000, TICK_MS)
    return scene, owner_of(scene)


def owner_of(scene: Scene) -> str:
    incarnation = next(iter(scene.actors.values())).core.journal
    with incarnation.reading() as state:
        claim = state.claims_by_unit[RACK]
    for name, actor in scene.actors.items():
        if actor.core.identity.incarnation == claim.incarnation:
            return name
    raise AssertionError(claim)


def starts_after(scene: Scene, at_ms: int) -> list[LeaseStarted]:
    return [
        event
        for event in scene.history()
        if isinstance(event, LeaseStarted) and event.at_ms > at_ms
    ]


def finish(scene: Scene) -> None:
    for _ in range(200):
        if scene.is_at_rest():
            break
        scene.run(2_000, 1_000)
    assert scene.is_at_rest()
    assert check_history(scene.history()) == ()


def test_takeover_starts_new_work_within_the_bound() -> None:
    scene, owner = busy_scene()
    died_ms = scene.clock.now_ms()
    scene.kill(owner)
    scene.run(BOUND_MS + 5_000, TICK_MS)
    delay_ms = min(item.at_ms for item in starts_after(scene, died_ms))
    delay_ms -= died_ms
    assert LEASE_TTL_MAX_MS < delay_ms <= BOUND_MS
    finish(scene)


def test_takeover_counts_a_grant_of_the_dead_owner_that_arrives_late() -> None:
    scene, owner = busy_scene()
    scene.actors[owner].outside.late_start_ms = 9_000
    while not scene.late:
        scene.tick(TICK_MS)
    scene.kill(owner)
    scene.run(6_000, TICK_MS)
    scene.submit("centro-0", "job-of-the-new-owner", 8, RACK)
    finish(scene)


def test_start_without_an_answer_counts_until_its_expiry() -> None:
    scene, owner = busy_scene()
    outside = scene.actors[owner].outside
    outside.late_start_ms = 7_000
    scene.run(15_000, TICK_MS)
    outside.late_start_ms = 0
    finish(scene)


def test_task_on_a_silent_worker_counts_until_its_expiry() -> None:
    scene, owner = busy_scene(tasks=1)
    outside = scene.actors[owner].outside
    outside.unreachable.add("norte-worker-1")
    cut_ms = scene.clock.now_ms()
    scene.run(20_000, TICK_MS)
    outside.unreachable.clear()
    finish(scene)
    retried = [
        item.at_ms - cut_ms
        for item in starts_after(scene, cut_ms)
        if item.lease_id.endswith("/1")
    ]
    assert min(retried) > LEASE_TTL_MAX_MS - 6_000


def test_takeover_fences_an_owner_that_only_workers_hear() -> None:
    scene, owner = busy_scene()
    actor = scene.actors[owner]
    actor.outside.log_away = True
    others = {item.address for item in scene.actors.values()}
    scene.network.cuts |= {(actor.address, other) for other in others}
    scene.network.cuts |= {(other, actor.address) for other in others}
    scene.run(2 * BOUND_MS, TICK_MS)
    assert owner_of_by_log(scene) != owner
    phases = actor.core.job_manager.dump()["workers"]
    assert isinstance(phases, dict)
    assert set(phases.values()) == {"yielded"}
    actor.outside.log_away = False
    scene.network.cuts.clear()
    finish(scene)


def owner_of_by_log(scene: Scene) -> str:
    current = {
        name: actor
        for name, actor in scene.actors.items()
        if not actor.outside.log_away
    }
    journal = next(iter(current.values())).core.journal
    with journal.reading() as state:
        incarnation = state.claims_by_unit[RACK].incarnation
    for name, actor in scene.actors.items():
        if actor.core.identity.incarnation == incarnation:
            return name
    raise AssertionError(incarnation)


def test_takeover_waits_for_a_worker_that_only_the_old_owner_reaches() -> None:
    scene, owner = busy_scene()
    actor = scene.actors[owner]
    actor.outside.log_away = True
    for name, other in scene.actors.items():
        if name != owner:
            other.outside.unreachable.add("norte-worker-1")
            pair = (actor.address, other.address)
            scene.network.cuts |= {pair, (pair[1], pair[0])}
    actor.outside.unreachable.add("norte-worker-2")
    scene.run(60_000, 500)
    scene.network.cuts.clear()
    actor.outside.log_away = False
    for other in scene.actors.values():
        other.outside.unreachable.clear()
    finish(scene)


def test_takeover_finds_running_work_after_every_entry_died() -> None:
    scene, _ = busy_scene()
    died_ms = scene.clock.now_ms()
    names = sorted(scene.actors)
    for name in names:
        scene.kill(name)
    scene.clock.advance(2_000)
    for name in names:
        scene.add_entry(name, name.rpartition("-")[0])
    scene.run(500, TICK_MS)
    again = {item.lease_id for item in starts_after(scene, died_ms)}
    assert not again
    running = [
        actor.core.job_manager.dump()["running"]
        for actor in scene.actors.values()
    ]
    assert any(running)
    finish(scene)


def test_zone_that_is_cut_off_goes_on_with_its_jobs() -> None:
    scene, owner = busy_scene()
    heal = scene.cut_zone("norte")
    cut_ms = scene.clock.now_ms()
    scene.run(300_000, 1_000)
    started = starts_after(scene, cut_ms)
    assert len({item.lease_id for item in started}) == 80 - 8
    heal()
    healed_ms = scene.clock.now_ms()
    scene.run(3_000, TICK_MS)
    assert scene.is_at_rest()
    assert starts_after(scene, healed_ms) == []
    assert owner_of(scene) == owner
    finish(scene)


def test_entry_that_starts_in_a_cut_zone_owns_nothing() -> None:
    scene, _ = busy_scene()
    scene.kill("norte-0")
    scene.kill("norte-1")
    actor = scene.add_entry("norte-0", "norte")
    actor.outside.log_away = True
    for other in scene.actors.values():
        scene.network.cuts.add((actor.address, other.address))
        scene.network.cuts.add((other.address, actor.address))
    scene.run(30_000, 500)
    assert actor.core.claimer.owned_claims() == {}
    assert actor.outside.append(b"") == actor.outside.instances()
    assert actor.outside.append(b"").err() == AWAY
    actor.outside.log_away = False
    scene.network.cuts.clear()
    finish(scene)
