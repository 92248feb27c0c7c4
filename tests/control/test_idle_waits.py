"""The check of ``idle_waits.py`` in random schedules, and of itself."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import pytest

from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.run import EndKind
from tests.control.delegation.simulated_agents import DelegatedEffects
from tests.control.idle_waits import IdleWaits
from tests.control.simulated_effects import SimulatedEffects
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers
from tests.control.test_attempts_under_faults import FailingRun
from tests.control.test_capacity_under_faults import FaultyRun
from tests.control.test_preemption_under_faults import PreemptingRun
from tests.control.test_quotas_under_faults import QuotaRun
from tests.control.test_services_under_faults import ServiceRun
from tests.control.test_worker_crashes_under_faults import CrashingRun
from tests.control.test_worker_restarts_under_faults import RestartingRun


if TYPE_CHECKING:
    from collections.abc import Callable


PERMIT_TIMING = PermitTiming(300, 2, 2_500)
CAPACITY = Resources(8_000, 32_000)
SIZE = Resources(1_000, 1_000)
FOREVER_MS = 1e9


class Schedule(Protocol):
    """A random schedule."""

    @property
    def simulation(self) -> Simulation: ...

    def play(self) -> None: ...


class Case(NamedTuple):
    """A random schedule to play.

    :param kind: key of ``SCHEDULE_BY_KIND``.
    :param asks: whether its queues need permits.
    """

    kind: str
    seed: int
    asks: bool = False


SCHEDULE_BY_KIND: dict[str, Callable[[int], Schedule]] = {
    "faulty": FaultyRun,
    "failing": lambda seed: FailingRun(seed, SimulatedEffects),
    "quota": QuotaRun,
    "service": lambda seed: ServiceRun(seed, SimulatedEffects),
    "service-agents": lambda seed: ServiceRun(seed, DelegatedEffects),
    "crashing": CrashingRun,
    "restarting": RestartingRun,
    "preempting": lambda seed: PreemptingRun(seed, is_speculative=False),
}
CASES = (
    Case("faulty", 3),
    Case("faulty", 4),
    Case("failing", 0),
    Case("quota", 0),
    Case("service", 0),
    Case("service", 3),
    Case("service-agents", 1),
    Case("service-agents", 2),
    Case("crashing", 3),
    Case("restarting", 0),
    Case("preempting", 0),
    Case("faulty", 1, asks=True),
    Case("faulty", 3, asks=True),
    Case("faulty", 4, asks=True),
    Case("quota", 1, asks=True),
    Case("service", 2, asks=True),
    Case("service", 4, asks=True),
)


def _id(case: Case) -> str:
    return f"{case.kind}-{case.seed}" + ("-asks" if case.asks else "")


@pytest.mark.parametrize("case", CASES, ids=_id)
def test_no_step_stands_still_beside_room_under_faults(case: Case) -> None:
    schedule = SCHEDULE_BY_KIND[case.kind](case.seed)
    simulation = schedule.simulation
    if case.asks:
        need_permits(simulation)
    idle_waits = IdleWaits(simulation)
    schedule.play()
    idle_waits.check()


def need_permits(simulation: Simulation) -> None:
    """Have every queue need permits, before its first job."""
    queues_by_name = {
        name: queue._replace(permit_timing=PERMIT_TIMING)
        for name, queue in simulation.configuration.queues_by_name.items()
    }
    simulation.configuration = simulation.configuration._replace(
        queues_by_name=queues_by_name
    )
    simulation.controller.handle_configuration_changed()


def make_simulation(worker_count: int = 2) -> Simulation:
    return Simulation([queue("q")], workers(worker_count, CAPACITY))


def submit(simulation: Simulation, job_id: str, step: StepSpec) -> None:
    simulation.submit(JobSpec(job_id, "q", "text", (step,)))


# Found by the check: the gang needs two workers to itself, and a service has
# a part of one. The other worker stayed empty for 20 s.
def test_no_room_is_kept_for_a_gang_that_a_service_keeps_out() -> None:
    simulation = make_simulation()
    simulation.actual_duration_ms = lambda _: FOREVER_MS
    service = StepSpec(1, SIZE.times(2), is_long_running=True)
    submit(simulation, "service", service)
    simulation.run(1_000)
    idle_waits = IdleWaits(simulation)
    gang = StepSpec(4, Resources(3_500, 1_000), 20_000, is_gang=True)
    submit(simulation, "gang", gang)
    simulation.run(1_000)
    submit(simulation, "batch", StepSpec(1, SIZE.times(3), 60_000))
    simulation.run(12_000)
    idle_waits.check()


def test_check_finds_a_step_whose_calls_are_not_answered() -> None:
    simulation = Simulation(
        [queue("q", permit_timing=PERMIT_TIMING)],
        workers(2, CAPACITY),
        advisor_call_limit=0,
    )
    simulation.permitted_share = 1.0
    idle_waits = IdleWaits(simulation)
    submit(simulation, "a", StepSpec(1, SIZE))
    simulation.run(7_000)
    assert idle_waits.found == []
    simulation.run(1_000)
    [found] = idle_waits.found
    assert found.step.job_id == "a"
    assert found.room_count >= 2
    assert found.gates.startswith("gate=no-call ")


def test_check_counts_no_worker_that_the_advisor_does_not_permit() -> None:
    simulation = Simulation(
        [queue("q", permit_timing=PERMIT_TIMING)], workers(2, CAPACITY)
    )
    simulation.permitted_share = 0.0
    idle_waits = IdleWaits(simulation)
    submit(simulation, "a", StepSpec(1, SIZE))
    simulation.run(10_000)
    assert idle_waits.found == []


def test_check_counts_only_room_for_a_step_twice_over() -> None:
    simulation = Simulation(
        [queue("q", permit_timing=PERMIT_TIMING)],
        workers(3, CAPACITY),
        advisor_call_limit=0,
    )
    simulation.permitted_share = 1.0
    idle_waits = IdleWaits(simulation)
    submit(simulation, "gang", StepSpec(2, CAPACITY, is_gang=True))
    submit(simulation, "a", StepSpec(2, CAPACITY))
    simulation.run(10_000)
    assert [found.step.job_id for found in idle_waits.found] == ["a"]


def test_check_starts_again_with_each_disturbance() -> None:
    simulation = Simulation(
        [queue("q", permit_timing=PERMIT_TIMING)],
        workers(3, CAPACITY),
        advisor_call_limit=0,
    )
    simulation.permitted_share = 1.0
    idle_waits = IdleWaits(simulation)
    submit(simulation, "a", StepSpec(1, SIZE))
    for number in range(4):
        simulation.run(6_000)
        simulation.silent_worker_ids = {f"w{number % 2:03d}"}
    assert idle_waits.found == []
    simulation.run(8_000)
    assert len(idle_waits.found) == 1


def test_check_counts_a_task_that_lasts_beside_its_other_runs() -> None:
    simulation = Simulation(
        [queue("q", permit_timing=PERMIT_TIMING)], workers(4, CAPACITY)
    )
    simulation.permitted_share = 1.0
    simulation.actual_duration_ms = lambda _: FOREVER_MS
    idle_waits = IdleWaits(simulation)
    submit(simulation, "a", StepSpec(2, SIZE, is_long_running=True))
    simulation.run(3_000)
    simulation.advisor_call_limit = 0
    holders = [w for w in simulation.workers.values() if w.running]
    run = next(iter(holders[0].running.values()))
    holders[0].end(run, EndKind.DONE)
    simulation.run(6_000 + 3_000)
    assert idle_waits.found == []
    simulation.run(1_000)
    assert len(idle_waits.found) == 1
