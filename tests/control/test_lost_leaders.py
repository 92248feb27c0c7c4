"""Workers fall silent while one leader after the other is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from result import Err
from result import Ok

from magnoliapitch.control.events import Committed
from magnoliapitch.control.events import WorkerReported
from magnoliapitch.control.events import WorkersListed
from magnoliapitch.control.timing import MIN_CLOCK_RATE_RATIO
from magnoliapitch.ledger.elapsed_clock import LeaseEnd
from magnoliapitch.ledger.records import CLOCK_KEY
from magnoliapitch.ledger.records import LEASE_PREFIX
from magnoliapitch.resource import Resources
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.delegation.simulated_agents import DelegatedEffects
from tests.control.simulated_effects import COMMIT_DURATION_MS
from tests.control.simulated_effects import SimulatedEffects
from tests.control.simulation import TIMING
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers
from tests.control.test_capacity_under_faults import FaultyRun


if TYPE_CHECKING:
    from magnoliapitch.ledger.leader_appender import Batch
    from magnoliapitch.ledger.stream import KeyedRecord


SIZE = Resources(2_000, 4_000)
TASK = TaskKey("service", 0, 0, 0)
EFFECTS_TYPES = (SimulatedEffects, DelegatedEffects)
# Time without a leader at each loss.
LEADERLESS_MS = 1_200


def make_simulation(
    effects_type: type[SimulatedEffects] = SimulatedEffects,
) -> Simulation:
    simulation = Simulation(
        [queue("q")], workers(3, SIZE.times(4)), effects_type=effects_type
    )
    simulation.actual_duration_ms = lambda _: 1e9
    step = StepSpec(1, SIZE, is_long_running=True)
    simulation.submit(JobSpec("service", "q", "text", (step,)))
    simulation.run_until(lambda: simulation.starts[TASK])
    simulation.run(3_000)
    return simulation


def lose_leader(simulation: Simulation, *, is_known: bool = True) -> None:
    """Lose the leader; another one begins a while later.

    :param is_known: whether the next one had read the former one's records.
    """
    simulation.controller.is_over = True
    simulation.run(LEADERLESS_MS)
    if not is_known:
        simulation.forget_reading_times()
    simulation.take_over()


def take_worker_away(simulation: Simulation) -> None:
    [worker] = [w for w in simulation.workers.values() if w.running]
    worker.running.clear()
    worker.is_gone = True
    simulation.unreachable_worker_ids = {worker.info.worker_id}


# Incident LOST: a task that lasts was not started again for as long as leaders
# were lost, since each of them waited for all leases anew.
@pytest.mark.parametrize("effects_type", EFFECTS_TYPES)
@pytest.mark.parametrize("interval_ms", [2_500, 5_000])
def test_the_wait_for_leases_goes_on_over_changes_of_leader(
    interval_ms: int, effects_type: type[SimulatedEffects]
) -> None:
    simulation = make_simulation(effects_type)
    take_worker_away(simulation)
    gone_ms = simulation.now_ms
    while simulation.starts[TASK] < 2:
        lose_leader(simulation)
        simulation.run(interval_ms - LEADERLESS_MS)
        longest_ms = TIMING.takeover_ms + LEADERLESS_MS + interval_ms
        assert simulation.now_ms - gone_ms < longest_ms
    assert simulation.violations == []


# The same when every instance is replaced, so that no next leader has read the
# records of the former one before it is lost.
def test_the_wait_for_leases_goes_on_with_instances_that_know_nothing() -> (
    None
):
    simulation = make_simulation()
    take_worker_away(simulation)
    gone_ms = simulation.now_ms
    interval_ms = 5_000
    while simulation.starts[TASK] < 2:
        lose_leader(simulation, is_known=False)
        simulation.run(interval_ms - LEADERLESS_MS)
        leading_share = 1 - LEADERLESS_MS / interval_ms
        longest_ms = TIMING.takeover_ms / leading_share + 2 * interval_ms
        assert simulation.now_ms - gone_ms < longest_ms
    assert simulation.violations == []


# Incident LOST, again: leaders that claimed under a slow store and were not
# prepared before the next claim had granted nothing, and yet each of them made
# the wait for leases begin anew.
def test_claims_of_leaders_that_never_begin_do_not_prolong_the_wait() -> None:
    simulation = make_simulation()
    simulation.controller.is_over = True
    take_worker_away(simulation)
    lost_ms = simulation.now_ms
    for _ in range(4):
        simulation.run(LEADERLESS_MS)
        simulation.claim()
    simulation.run(LEADERLESS_MS)
    simulation.take_over()
    simulation.run_until(lambda: simulation.starts[TASK] > 1)
    assert simulation.now_ms - lost_ms < TIMING.takeover_ms + LEADERLESS_MS
    assert simulation.violations == []


# A worker whose stored end has been relied on must not get a lease that the
# next leader does not know of.
def test_a_worker_that_answers_again_gets_a_lease_once_that_is_stored() -> (
    None
):
    simulation = make_simulation()
    [worker] = [w for w in simulation.workers.values() if w.running]
    worker_id = worker.info.worker_id
    simulation.unreachable_worker_ids = {worker_id}
    simulation.run(2_000)
    assert worker_id in simulation.states.lease_end_by_worker
    simulation.unreachable_worker_ids = set()
    simulation.store_is_unavailable = True
    simulation.run(400)
    controller = simulation.controller
    granted = controller.next_lease_deadline(worker_id, simulation.now_ms)
    assert granted is None
    simulation.store_is_unavailable = False
    simulation.run(1_000)
    assert worker_id not in simulation.states.lease_end_by_worker
    assert controller.next_lease_deadline(worker_id, simulation.now_ms)
    simulation.run(10_000)
    assert simulation.starts[TASK] == 1


# Incident LOST: a worker was gone 0.2 s before its leader. Nothing of that was
# stored, so that the next leader waited as if the worker had been granted a
# lease in the leader's last moment.
def test_two_unanswered_renewals_are_enough_to_store_the_end_of_leases() -> (
    None
):
    simulation = make_simulation()
    [worker] = [w for w in simulation.workers.values() if w.running]
    worker_id = worker.info.worker_id
    unanswered = Err(not_run(FailureCode.UNAVAILABLE, "refused"))
    now_ms = simulation.now_ms
    for _ in range(2):
        assert worker_id not in simulation.states.lease_end_by_worker
        simulation.controller.handle_report(
            WorkerReported(worker_id, unanswered, now_ms, now_ms)
        )
        simulation.run(COMMIT_DURATION_MS + 5)
    assert worker_id in simulation.states.lease_end_by_worker


class LostLeadersRun(FaultyRun):
    """A faulty run whose leaders are lost all the time.

    Some instances have read the former leader's records before it is lost.
    """

    def _cause_faults(self) -> None:
        super()._cause_faults()
        if self._happens(0.25):
            delay_ms = self._random.randrange(100, 3_000)
            self.simulation.controller.is_over = True
            self.simulation.schedule(delay_ms, self._take_over)

    def _take_over(self) -> None:
        if self._happens(0.5):
            self.simulation.forget_reading_times()
        super()._take_over()


@pytest.mark.parametrize("effects_type", EFFECTS_TYPES)
@pytest.mark.parametrize("seed", range(4))
def test_no_task_runs_twice_while_leaders_are_lost_under_faults(
    seed: int, effects_type: type[SimulatedEffects]
) -> None:
    run = LostLeadersRun(seed, effects_type)
    run.play()
    assert run.simulation.violations == []
    assert set(run.simulation.finished) == set(run.job_ids)


class LateAnswerEffects(SimulatedEffects):
    """Loses the answer to a heartbeat, and answers its repeat.

    The leader is cut off from the store then, without being told.

    :ivar stored_ms: when the heartbeat that is repeated was stored; None
        before.
    """

    REPEATED_AFTER_MS = 880

    def __init__(self, simulation: Simulation, epoch: int) -> None:
        super().__init__(simulation, epoch)
        self.is_armed = False
        self.stored_ms: int | None = None

    def commit(self, batch: Batch) -> None:
        if self.stored_ms is not None:
            return
        has_clock = any(record.key == CLOCK_KEY for record in batch.states)
        if not self.is_armed or not has_clock:
            super().commit(batch)
            return
        simulation, controller = self._simulation, self._simulation.controller
        sent_ms = simulation.now_ms + self.REPEATED_AFTER_MS
        self.stored_ms = simulation.now_ms
        simulation.apply_states(batch.states)
        simulation.schedule(
            self.REPEATED_AFTER_MS,
            lambda: controller.handle_commit(
                Committed(Ok(0), sent_ms), simulation.now_ms
            ),
        )


# Two runs at a time would follow from a lease that a former leader grants on
# the answer to a repeat, where the next one counts from what was stored.
def test_a_repeat_that_is_answered_late_grants_no_longer_leases() -> None:
    simulation = make_simulation(LateAnswerEffects)
    [worker] = [w for w in simulation.workers.values() if w.running]
    worker_id = worker.info.worker_id
    former, effects = simulation.controller, simulation.effects
    assert isinstance(effects, LateAnswerEffects)
    effects.is_armed = True
    simulation.run_until(lambda: effects.stored_ms is not None, step_ms=1)
    simulation.run(1_300)
    ends_ms = []
    for later_ms in range(0, 1_200, 100):
        now_ms = simulation.now_ms + later_ms
        deadline_ms = former.next_lease_deadline(worker_id, now_ms)
        if deadline_ms is not None:
            length_ms = deadline_ms - now_ms
            ends_ms.append(now_ms + length_ms / MIN_CLOCK_RATE_RATIO)
    simulation.unreachable_worker_ids = {worker_id}
    successor = simulation.take_over()
    expired_ms = successor._reachability.leases_expired_at_ms(worker_id)
    assert ends_ms
    assert expired_ms >= max(ends_ms)


def _lease_records(simulation: Simulation) -> list[KeyedRecord]:
    found: list[KeyedRecord] = []
    real = simulation.apply_states

    def apply(records: list[KeyedRecord]) -> None:
        found.extend(r for r in records if r.key.startswith(LEASE_PREFIX))
        real(records)

    simulation.apply_states = apply  # type: ignore[assignment, method-assign]
    return found


# The first list of workers comes after the first round: every worker with runs
# is taken as one that is not listed.
def test_a_leader_without_a_list_takes_no_worker_as_silent() -> None:
    simulation = make_simulation()
    simulation.run(1_000)
    found = _lease_records(simulation)
    simulation.controller.is_over = True
    simulation.list_is_unavailable = True
    simulation.run(1_200)
    simulation.take_over()
    simulation.run(250)
    simulation.list_is_unavailable = False
    simulation.run(2_000)
    assert found == []


# Loading took longer than a second: no worker has been called yet.
def test_a_leader_that_loads_slowly_takes_no_worker_as_silent() -> None:
    simulation = make_simulation()
    found = _lease_records(simulation)
    simulation.controller.is_over = True
    simulation.run(1_200)
    successor = simulation.take_over()
    successor._reachability._claimed_ms -= 1_100
    successor.handle_worker_list(
        WorkersListed(simulation.listed(), simulation.now_ms),
        simulation.now_ms,
    )
    successor.run_round(simulation.now_ms, simulation.now_ms)
    simulation.run(2_000)
    assert found == []


# On a slow store, the records of workers that are not silent cost two commits
# before the first lease and the first start.
def test_a_late_list_delays_leases_on_a_slow_store_by_the_list_only() -> None:
    granted_after_ms = []
    for late_ms in (0, 250):
        simulation = make_simulation()
        [worker] = [w for w in simulation.workers.values() if w.running]
        simulation.progress_commit_ms = 700
        simulation.controller.is_over = True
        simulation.list_is_unavailable = True
        simulation.run(1_200)
        successor = simulation.take_over()
        if not late_ms:
            successor.handle_worker_list(
                WorkersListed(simulation.listed(), simulation.now_ms),
                simulation.now_ms,
            )
        else:
            simulation.run(late_ms)
            successor.handle_worker_list(
                WorkersListed(simulation.listed(), simulation.now_ms),
                simulation.now_ms,
            )
        listed_ms = simulation.now_ms
        worker_id = worker.info.worker_id
        simulation.run_until(
            lambda c=successor, w=worker_id, s=simulation: (  # type: ignore[misc]
                c.next_lease_deadline(w, s.now_ms) is not None
            )
        )
        granted_after_ms.append(simulation.now_ms - listed_ms)
    assert granted_after_ms[1] < granted_after_ms[0] + 250


def test_a_leader_that_cannot_store_grants_leases_that_end_no_later() -> None:
    simulation = make_simulation()
    [worker] = [w for w in simulation.workers.values() if w.running]
    simulation.store_is_unavailable = True
    controller = simulation.controller
    stamped_ms = controller._progress_batcher.stamped_ms
    assert stamped_ms is not None
    latest_ms = stamped_ms + TIMING.lease_ms
    ends_ms = []
    for _ in range(20):
        simulation.run(100)
        end_ms = controller.next_lease_deadline(
            worker.info.worker_id, simulation.now_ms
        )
        ends_ms.append(end_ms or 0)
    assert latest_ms - 500 < max(ends_ms) <= latest_ms


# Records of workers that nobody waits for would stay for good.
def test_a_new_leader_deletes_the_ends_of_workers_without_runs() -> None:
    simulation = make_simulation()
    end = LeaseEnd(simulation.states.clock.continue_as(0, 0, 0).origin, 1)
    simulation.states.lease_end_by_worker["gone"] = end
    lose_leader(simulation)
    simulation.run(1_000)
    assert "gone" not in simulation.states.lease_end_by_worker
