from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from tests.history.scene import ZONES


if TYPE_CHECKING:
    from tests.history.scene import Scene


Undo = Callable[[], object]
Fault = Callable[["Scene"], Undo]

faults_by_name: dict[str, Fault] = {}


def fault(apply: Fault) -> Fault:
    faults_by_name[apply.__name__] = apply
    return apply


def pick_entry(scene: Scene) -> str:
    return str(scene.rng.choice(sorted(scene.actors)))


def pick_worker(scene: Scene) -> str:
    return str(scene.rng.choice(sorted(scene.cell.workers.by_id)))


@fault
def kill_entry(scene: Scene) -> Undo:
    name = pick_entry(scene)
    zone = name.rpartition("-")[0]
    scene.kill(name)
    return lambda: scene.add_entry(name, zone)


@fault
def kill_all(scene: Scene) -> Undo:
    names = sorted(scene.actors)
    for name in names:
        scene.kill(name)

    def undo() -> None:
        for name in names:
            scene.add_entry(name, name.rpartition("-")[0])

    return undo


@fault
def pause_entry(scene: Scene) -> Undo:
    name = pick_entry(scene)
    scene.pause(name)
    return lambda: scene.resume(name)


@fault
def log_outage(scene: Scene) -> Undo:
    scene.cell.log.down = True

    def undo() -> None:
        scene.cell.log.down = False

    return undo


@fault
def lost_log_answers(scene: Scene) -> Undo:
    scene.cell.log.answers_to_lose += int(scene.rng.integers(1, 8))
    return lambda: None


@fault
def entry_cut_from_log(scene: Scene) -> Undo:
    outside = scene.actors[pick_entry(scene)].outside
    outside.log_away = True

    def undo() -> None:
        outside.log_away = False

    return undo


def cut_peers(scene: Scene, pairs: set[tuple[str, str]]) -> Undo:
    scene.network.blocked_links |= pairs

    def undo() -> None:
        scene.network.blocked_links -= pairs

    return undo


@fault
def peers_cut_one_way(scene: Scene) -> Undo:
    own = scene.actors[pick_entry(scene)].address
    others = {actor.address for actor in scene.actors.values()} - {own}
    return cut_peers(scene, {(own, other) for other in others})


@fault
def peers_cut_two_ways(scene: Scene) -> Undo:
    own = scene.actors[pick_entry(scene)].address
    others = {actor.address for actor in scene.actors.values()} - {own}
    pairs = {(own, other) for other in others}
    return cut_peers(scene, pairs | {(b, a) for a, b in pairs})


@fault
def entry_cut_from_all_but_workers(scene: Scene) -> Undo:
    name = pick_entry(scene)
    actor = scene.actors[name]
    others = {item.address for item in scene.actors.values()}
    pairs = {(actor.address, other) for other in others}
    actor.outside.log_away = True
    undo_peers = cut_peers(scene, pairs | {(b, a) for a, b in pairs})

    def undo() -> None:
        actor.outside.log_away = False
        undo_peers()

    return undo


@fault
def zone_cut(scene: Scene) -> Undo:
    return scene.cut_zone(str(scene.rng.choice(ZONES)))


@fault
def worker_down(scene: Scene) -> Undo:
    worker = scene.cell.workers.by_id[pick_worker(scene)]
    worker.down = True

    def undo() -> None:
        worker.down = False

    return undo


@fault
def worker_restart(scene: Scene) -> Undo:
    scene.cell.workers.by_id[pick_worker(scene)].restart()
    return lambda: None


@fault
def worker_fails_all(scene: Scene) -> Undo:
    worker = scene.cell.workers.by_id[pick_worker(scene)]
    worker.fails_all_tasks = True

    def undo() -> None:
        worker.fails_all_tasks = False

    return undo


@fault
def worker_cut_from_entry(scene: Scene) -> Undo:
    outside = scene.actors[pick_entry(scene)].outside
    worker_id = pick_worker(scene)
    outside.unreachable.add(worker_id)
    return lambda: outside.unreachable.discard(worker_id)


@fault
def late_worker_calls(scene: Scene) -> Undo:
    outside = scene.actors[pick_entry(scene)].outside
    outside.late_ms = 20_000
    outside.late_share = 0.3

    def undo() -> None:
        outside.late_share = 0.0

    return undo


@fault
def cancellation_wave(scene: Scene) -> Undo:
    for number in range(2):
        scene.cancel(pick_entry(scene), f"job-{number}")
    return lambda: None
