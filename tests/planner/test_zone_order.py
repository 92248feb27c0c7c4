"""Zones in which steps are placed, alone and while a zone is cut off."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.planner import Planner
from magnoliapitch.planner import SchedulerState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


if TYPE_CHECKING:
    from collections.abc import Sequence


CORES_16 = Resources(16_000, 64_000)
ZONE_COUNT = 3
# A cut of one zone may hold up the jobs that run there, and a few that did not
# fit into one zone.
MAX_HELD_SHARE = 1 / ZONE_COUNT + 0.1
CUT_MS = 6_000
# Time in which a job that is not held up is done.
PROMPT_MS = 2_500


def _zones_by_job(cpu_millis: int, counts: Sequence[int]) -> list[set[str]]:
    """Start steps on idle workers; return the zones of each step."""
    state = SchedulerState()
    for info in workers(6, CORES_16):
        state.update_worker(info).is_usable = True
    jobs = queue("q")
    for number, count in enumerate(counts):
        step = StepSpec(count, Resources(cpu_millis, 1_000))
        state.add_job(JobSpec(f"a{number}", "q", "", (step,)), jobs, 0)
    plan = Planner().plan(state, 0, 0)
    zones: list[set[str]] = [set() for _ in counts]
    for start in plan.starts:
        used = state.workers_by_id[start.worker_id].info
        assert used is not None
        zones[int(start.task.job_id[1:])].add(used.zone)
    return zones


def test_a_step_runs_in_one_zone_if_it_fits() -> None:
    assert _zones_by_job(4_000, [6]) == [{"zone-0"}]


def test_steps_are_spread_over_the_zones() -> None:
    zones = _zones_by_job(4_000, [6, 6, 6])
    assert sorted(map(sorted, zones)) == [["zone-0"], ["zone-1"], ["zone-2"]]


def test_a_step_larger_than_a_zone_takes_whole_zones_in_turn() -> None:
    (zones,) = _zones_by_job(4_000, [12])
    assert len(zones) == 2


def test_a_step_starts_at_once_although_no_zone_has_room_for_it() -> None:
    (zones,) = _zones_by_job(4_000, [24])
    assert len(zones) == ZONE_COUNT


def test_the_tasks_of_a_service_are_not_kept_in_one_zone() -> None:
    """One zone that is lost must not take the whole service away."""
    state = SchedulerState()
    for number, worker in enumerate(workers(6, CORES_16)):
        # Packing takes the workers with the least free CPU first.
        cpu_millis = 8_000 if number < ZONE_COUNT else 16_000
        capacity = CORES_16._replace(cpu_millis=cpu_millis)
        info = worker._replace(capacity=capacity)
        state.update_worker(info).is_usable = True
    step = StepSpec(3, Resources(8_000, 1_000), is_long_running=True)
    state.add_job(JobSpec("a", "q", "", (step,)), queue("q"), 0)
    starts = Planner().plan(state, 0, 0).starts
    infos = [state.workers_by_id[start.worker_id].info for start in starts]
    assert len({info.zone for info in infos if info}) == ZONE_COUNT


@pytest.mark.parametrize("cut_zone", range(ZONE_COUNT))
def test_a_cut_of_one_zone_holds_up_a_third_of_the_urgent_jobs(
    cut_zone: int,
) -> None:
    """Wide steps of short tasks on a pool at half load, then a cut."""
    simulation = Simulation([queue("q")], workers(24, CORES_16))
    simulation.actual_duration_ms = lambda _: 800.0
    source = random.Random(cut_zone)
    names: list[str] = []

    def submit(duration_ms: int) -> None:
        end_ms = simulation.now_ms + duration_ms
        while simulation.now_ms < end_ms:
            names.append(f"a{len(names)}")
            step = StepSpec(source.randint(4, 9), Resources(1_300, 2_000))
            simulation.submit(JobSpec(names[-1], "q", "text", (step,)))
            simulation.run(source.randint(20, 80))

    submit(4_000)
    done_before = set(simulation.finished)
    running = [name for name in names if name not in done_before]
    simulation.unreachable_worker_ids = {
        worker_id
        for number, worker_id in enumerate(sorted(simulation.workers))
        if number % ZONE_COUNT == cut_zone
    }
    simulation.run(PROMPT_MS)
    held = [name for name in running if name not in simulation.finished]
    assert len(held) <= MAX_HELD_SHARE * len(running)
    simulation.run(CUT_MS - PROMPT_MS)
    simulation.unreachable_worker_ids = set()
    simulation.run(10_000)
    assert len(simulation.finished) == len(names)
    assert simulation.violations == []
