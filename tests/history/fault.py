from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from tests.history.simulation import ZONES


if TYPE_CHECKING:
    from tests.history.simulation import Simulation


Undo = Callable[[], object]
Fault = Callable[["Simulation"], Undo]

faults_by_name: dict[str, Fault] = {}


def fault(apply: Fault) -> Fault:
    """Register a fault under the name of its function.

    The position among the sorted names is part of the seed of a schedule.
    """
    faults_by_name[apply.__name__] = apply
    return apply


def choose_instance(simulation: Simulation) -> str:
    return str(simulation.rng.choice(sorted(simulation.instances_by_id)))


def choose_worker(simulation: Simulation) -> str:
    return str(simulation.rng.choice(sorted(simulation.cluster.workers.by_id)))


@fault
def kill_entry(simulation: Simulation) -> Undo:
    name = choose_instance(simulation)
    zone = name.rpartition("-")[0]
    simulation.kill(name)
    return lambda: simulation.add_instance(name, zone)


@fault
def kill_all(simulation: Simulation) -> Undo:
    names = sorted(simulation.instances_by_id)
    for name in names:
        simulation.kill(name)

    def undo() -> None:
        for name in names:
            simulation.add_instance(name, name.rpartition("-")[0])

    return undo


@fault
def pause_entry(simulation: Simulation) -> Undo:
    name = choose_instance(simulation)
    simulation.pause(name)
    return lambda: simulation.resume(name)


@fault
def log_outage(simulation: Simulation) -> Undo:
    simulation.cluster.log.down = True

    def undo() -> None:
        simulation.cluster.log.down = False

    return undo


@fault
def lost_log_answers(simulation: Simulation) -> Undo:
    simulation.cluster.log.responses_to_lose += int(
        simulation.rng.integers(1, 8)
    )
    return lambda: None


@fault
def entry_cut_from_log(simulation: Simulation) -> Undo:
    environment = simulation.instances_by_id[
        choose_instance(simulation)
    ].environment
    environment.is_log_unreachable = True

    def undo() -> None:
        environment.is_log_unreachable = False

    return undo


def cut_peers(simulation: Simulation, pairs: set[tuple[str, str]]) -> Undo:
    simulation.network.blocked_links |= pairs

    def undo() -> None:
        simulation.network.blocked_links -= pairs

    return undo


@fault
def peers_cut_one_way(simulation: Simulation) -> Undo:
    own = simulation.instances_by_id[choose_instance(simulation)].address
    others = {
        instance.address for instance in simulation.instances_by_id.values()
    } - {own}
    return cut_peers(simulation, {(own, other) for other in others})


@fault
def peers_cut_two_ways(simulation: Simulation) -> Undo:
    own = simulation.instances_by_id[choose_instance(simulation)].address
    others = {
        instance.address for instance in simulation.instances_by_id.values()
    } - {own}
    pairs = {(own, other) for other in others}
    return cut_peers(simulation, pairs | {(b, a) for a, b in pairs})


@fault
def entry_cut_from_all_but_workers(simulation: Simulation) -> Undo:
    name = choose_instance(simulation)
    instance = simulation.instances_by_id[name]
    others = {item.address for item in simulation.instances_by_id.values()}
    pairs = {(instance.address, other) for other in others}
    instance.environment.is_log_unreachable = True
    undo_peers = cut_peers(simulation, pairs | {(b, a) for a, b in pairs})

    def undo() -> None:
        instance.environment.is_log_unreachable = False
        undo_peers()

    return undo


@fault
def zone_cut(simulation: Simulation) -> Undo:
    return simulation.cut_zone(str(simulation.rng.choice(ZONES)))


@fault
def worker_down(simulation: Simulation) -> Undo:
    worker = simulation.cluster.workers.by_id[choose_worker(simulation)]
    worker.down = True

    def undo() -> None:
        worker.down = False

    return undo


@fault
def worker_restart(simulation: Simulation) -> Undo:
    simulation.cluster.workers.by_id[choose_worker(simulation)].restart()
    return lambda: None


@fault
def worker_fails_all(simulation: Simulation) -> Undo:
    worker = simulation.cluster.workers.by_id[choose_worker(simulation)]
    worker.fails_all_tasks = True

    def undo() -> None:
        worker.fails_all_tasks = False

    return undo


@fault
def worker_cut_from_entry(simulation: Simulation) -> Undo:
    environment = simulation.instances_by_id[
        choose_instance(simulation)
    ].environment
    worker_id = choose_worker(simulation)
    environment.unreachable_workers.add(worker_id)
    return lambda: environment.unreachable_workers.discard(worker_id)


@fault
def late_worker_calls(simulation: Simulation) -> Undo:
    environment = simulation.instances_by_id[
        choose_instance(simulation)
    ].environment
    environment.call_delay_max_ms = 20_000
    environment.delayed_call_share = 0.3

    def undo() -> None:
        environment.delayed_call_share = 0.0

    return undo


@fault
def cancellation_wave(simulation: Simulation) -> Undo:
    for number in range(2):
        simulation.cancel(choose_instance(simulation), f"job-{number}")
    return lambda: None
