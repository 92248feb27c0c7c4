from __future__ import annotations

import numpy as np

from magnoliapitch.history import LeaseStarted
from magnoliapitch.history import check_history
from magnoliapitch.ownership.claimer import CLAIM_INTERVAL_MS
from magnoliapitch.ownership.claimer import TAKEOVER_AFTER_MS
from magnoliapitch.worker.lease import LEASE_TTL_MAX_MS
from tests.history.environment import UNREACHABLE
from tests.history.simulation import Simulation


TICK_MS = 100
RACK = "norte-rack-1"
SUSPECT_MS = 2_000
HEARTBEAT_MS = 500
POLL_MS = 250
TAKEOVER_MAX_MS = (
    SUSPECT_MS
    + HEARTBEAT_MS
    + TAKEOVER_AFTER_MS
    + CLAIM_INTERVAL_MS
    + LEASE_TTL_MAX_MS
    + 2 * POLL_MS
    + 8 * TICK_MS
)


def busy_simulation(seed: int = 7, tasks: int = 20) -> tuple[Simulation, str]:
    simulation = Simulation(np.random.default_rng(seed))
    simulation.run(6_000, TICK_MS)
    for number in range(4):
        simulation.submit("centro-0", f"job-{number}", tasks, RACK)
    simulation.run(3_000, TICK_MS)
    return simulation, owner_of(simulation)


def owner_of(simulation: Simulation) -> str:
    journal = next(iter(simulation.instances_by_id.values())).core.journal
    with journal.locked_state() as state:
        claim = state.claims_by_unit[RACK]
    for name, instance in simulation.instances_by_id.items():
        if instance.core.identity.incarnation == claim.incarnation:
            return name
    raise AssertionError(claim)


def starts_after(simulation: Simulation, at_ms: int) -> list[LeaseStarted]:
    return [
        event
        for event in simulation.history()
        if isinstance(event, LeaseStarted) and event.at_ms > at_ms
    ]


def finish_all_jobs(simulation: Simulation) -> None:
    for _ in range(200):
        if simulation.all_jobs_done():
            break
        simulation.run(2_000, 1_000)
    assert simulation.all_jobs_done()
    assert check_history(simulation.history()) == ()


def test_takeover_starts_new_tasks_within_the_time_limit() -> None:
    simulation, owner = busy_simulation()
    died_ms = simulation.clock.now_ms()
    simulation.kill(owner)
    simulation.run(TAKEOVER_MAX_MS + 5_000, TICK_MS)
    delay_ms = min(item.at_ms for item in starts_after(simulation, died_ms))
    delay_ms -= died_ms
    assert LEASE_TTL_MAX_MS < delay_ms <= TAKEOVER_MAX_MS
    finish_all_jobs(simulation)


def test_takeover_respects_a_late_start_by_the_dead_owner() -> None:
    simulation, owner = busy_simulation()
    simulation.instances_by_id[owner].environment.start_delay_ms = 9_000
    while not simulation.delayed_calls:
        simulation.tick(TICK_MS)
    simulation.kill(owner)
    simulation.run(6_000, TICK_MS)
    simulation.submit("centro-0", "job-after-takeover", 8, RACK)
    finish_all_jobs(simulation)


def test_start_without_a_response_reserves_capacity_until_it_expires() -> None:
    simulation, owner = busy_simulation()
    environment = simulation.instances_by_id[owner].environment
    environment.start_delay_ms = 7_000
    simulation.run(15_000, TICK_MS)
    environment.start_delay_ms = 0
    finish_all_jobs(simulation)


def test_task_on_an_unreachable_worker_is_retried_after_its_expiry() -> None:
    simulation, owner = busy_simulation(tasks=1)
    environment = simulation.instances_by_id[owner].environment
    environment.unreachable_workers.add("norte-worker-1")
    cut_ms = simulation.clock.now_ms()
    simulation.run(20_000, TICK_MS)
    environment.unreachable_workers.clear()
    finish_all_jobs(simulation)
    retried = [
        item.at_ms - cut_ms
        for item in starts_after(simulation, cut_ms)
        if item.lease_id.endswith("/1")
    ]
    assert min(retried) > LEASE_TTL_MAX_MS - 6_000


def test_takeover_fences_an_owner_that_reaches_only_workers() -> None:
    simulation, owner = busy_simulation()
    instance = simulation.instances_by_id[owner]
    instance.environment.is_log_unreachable = True
    others = {item.address for item in simulation.instances_by_id.values()}
    simulation.network.blocked_links |= {
        (instance.address, other) for other in others
    }
    simulation.network.blocked_links |= {
        (other, instance.address) for other in others
    }
    simulation.run(2 * TAKEOVER_MAX_MS, TICK_MS)
    assert owner_seen_through_the_log(simulation) != owner
    phases = instance.core.job_manager.dump()["workers"]
    assert isinstance(phases, dict)
    assert set(phases.values()) == {"yielded"}
    instance.environment.is_log_unreachable = False
    simulation.network.blocked_links.clear()
    finish_all_jobs(simulation)


def owner_seen_through_the_log(simulation: Simulation) -> str:
    current = {
        name: instance
        for name, instance in simulation.instances_by_id.items()
        if not instance.environment.is_log_unreachable
    }
    journal = next(iter(current.values())).core.journal
    with journal.locked_state() as state:
        incarnation = state.claims_by_unit[RACK].incarnation
    for name, instance in simulation.instances_by_id.items():
        if instance.core.identity.incarnation == incarnation:
            return name
    raise AssertionError(incarnation)


def test_takeover_waits_for_a_worker_that_only_the_old_owner_reaches() -> None:
    simulation, owner = busy_simulation()
    instance = simulation.instances_by_id[owner]
    instance.environment.is_log_unreachable = True
    for name, other in simulation.instances_by_id.items():
        if name != owner:
            other.environment.unreachable_workers.add("norte-worker-1")
            pair = (instance.address, other.address)
            simulation.network.blocked_links |= {pair, (pair[1], pair[0])}
    instance.environment.unreachable_workers.add("norte-worker-2")
    simulation.run(60_000, 500)
    simulation.network.blocked_links.clear()
    instance.environment.is_log_unreachable = False
    for other in simulation.instances_by_id.values():
        other.environment.unreachable_workers.clear()
    finish_all_jobs(simulation)


def test_takeover_finds_running_tasks_after_all_instances_died() -> None:
    simulation, _ = busy_simulation()
    died_ms = simulation.clock.now_ms()
    names = sorted(simulation.instances_by_id)
    for name in names:
        simulation.kill(name)
    simulation.clock.advance(2_000)
    for name in names:
        simulation.add_instance(name, name.rpartition("-")[0])
    simulation.run(500, TICK_MS)
    restarted_lease_ids = {
        item.lease_id for item in starts_after(simulation, died_ms)
    }
    assert not restarted_lease_ids
    running = [
        instance.core.job_manager.dump()["running"]
        for instance in simulation.instances_by_id.values()
    ]
    assert any(running)
    finish_all_jobs(simulation)


def test_zone_that_is_cut_off_continues_its_jobs() -> None:
    simulation, owner = busy_simulation()
    heal = simulation.cut_zone("norte")
    cut_ms = simulation.clock.now_ms()
    simulation.run(300_000, 1_000)
    started = starts_after(simulation, cut_ms)
    assert len({item.lease_id for item in started}) == 80 - 8
    heal()
    healed_ms = simulation.clock.now_ms()
    simulation.run(3_000, TICK_MS)
    assert simulation.all_jobs_done()
    assert starts_after(simulation, healed_ms) == []
    assert owner_of(simulation) == owner
    finish_all_jobs(simulation)


def test_instance_that_starts_in_a_cut_zone_owns_no_unit() -> None:
    simulation, _ = busy_simulation()
    simulation.kill("norte-0")
    simulation.kill("norte-1")
    instance = simulation.add_instance("norte-0", "norte")
    instance.environment.is_log_unreachable = True
    for other in simulation.instances_by_id.values():
        simulation.network.blocked_links.add((instance.address, other.address))
        simulation.network.blocked_links.add((other.address, instance.address))
    simulation.run(30_000, 500)
    assert instance.core.claimer.owned_claims() == {}
    assert instance.environment.append(b"") == instance.environment.instances()
    assert instance.environment.append(b"").err() == UNREACHABLE
    instance.environment.is_log_unreachable = False
    simulation.network.blocked_links.clear()
    finish_all_jobs(simulation)
