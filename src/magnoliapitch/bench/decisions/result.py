"""Figures of one scheduling policy on one trace."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.bench.decisions.recorder import CostSummary
from magnoliapitch.bench.decisions.recorder import Sample
from magnoliapitch.bench.decisions.recorder import WaitSummary
from magnoliapitch.bench.decisions.replay import Replay


if TYPE_CHECKING:
    from magnoliapitch.bench.decisions.offline import OfflineBound
    from magnoliapitch.bench.decisions.trace import Trace
    from magnoliapitch.decision.interface import Scheduler


class RunResult(NamedTuple):
    """Figures of one scheduling policy on one trace.

    Work is processor time; bulk work is that of batch and gang jobs.

    :param fleet: name of the deployment.
    :param trace: name of the trace.
    :param policy: label of the policy.
    :param ended_ms: simulated time at which all jobs but services had
        ended, or at which the replay stopped.
    :param waits_by_class: waiting times by work class.
    :param deadlines_met: number of feasible deadlines that were met.
    :param deadlines_feasible: number of deadlines that an offline schedule
        meets, without those of jobs that the trace cancels.
    :param packing: bulk work done within the peak interval, as a share of
        what an offline packing of the whole trace does in it.
    :param volume_packing: the same as a share of the upper bound by volume.
    :param fairness: smallest ratio, over all owners, of the work done for
        the owner within the peak interval to its weighted max-min fair
        share.
    :param refused: number of jobs that the scheduler refused.
    :param failures: number of failed attempts.
    :param overruns: how often a worker ran out of memory.
    :param lost_core_s: work of failed, stopped and lost attempts, in
        seconds of one core.
    :param audited_decisions: number of decisions checked for invariants.
    :param cost: real time that the scheduler spent.
    :param samples: processors reserved and used over time.
    """

    fleet: str
    trace: str
    policy: str
    ended_ms: int
    waits_by_class: dict[str, WaitSummary]
    deadlines_met: int
    deadlines_feasible: int
    packing: float
    volume_packing: float
    fairness: float
    refused: int
    failures: int
    overruns: int
    evictions_by_action: dict[str, int]
    lost_core_s: float
    starts: int
    audited_decisions: int
    cost: CostSummary
    samples: tuple[Sample, ...]

    @property
    def deadline_share(self) -> float:
        """Number of met deadlines divided by that of feasible ones."""
        return self.deadlines_met / max(1, self.deadlines_feasible)


def measure_policy(
    trace: Trace, policy: str, scheduler: Scheduler, bound: OfflineBound
) -> RunResult:
    """Replay a trace against a scheduler and compare it with a bound.

    :param policy: label of the scheduler in the result.
    :param scheduler: a scheduler without workers or tasks.
    :param bound: offline bound of the same trace.
    :raises InvalidDecisionError: if a decision violates an invariant.
    """
    replay = Replay(trace, scheduler)
    replay.run(trace.horizon_ms)
    recorder = replay.recorder
    cancelled_job_ids = {item.job_id for item in trace.cancellations}
    feasible_job_ids = bound.feasible_job_ids - cancelled_job_ids
    return RunResult(
        trace.deployment.name,
        trace.name,
        policy,
        replay.now_ms,
        recorder.wait_summaries(replay.now_ms),
        sum(_met_deadline(replay, job_id) for job_id in feasible_job_ids),
        len(feasible_job_ids),
        recorder.peak_bulk_millicore_ms
        / max(1.0, bound.packed_bulk_millicore_ms),
        recorder.peak_bulk_millicore_ms
        / max(1.0, bound.volume_bulk_millicore_ms),
        _fairness(trace, recorder.peak_millicore_ms_by_owner),
        len(replay.refused),
        recorder.failures,
        recorder.memory_overruns,
        recorder.evictions_by_action,
        recorder.lost_millicore_ms / 1_000_000,
        recorder.starts,
        replay.audit.decisions,
        recorder.cost_summary(),
        tuple(recorder.samples),
    )


def _met_deadline(replay: Replay, job_id: str) -> bool:
    job = replay.jobs_by_id.get(job_id)
    if job is None or job.unfinished_tasks or job.is_abandoned:
        return False
    ended_ms = max(task.finished_ms for task in job.tasks)
    return ended_ms <= job.traced_job.deadline_ms


def _fairness(trace: Trace, work_by_owner: dict[str, float]) -> float:
    """Return the smallest ratio of an owner's work to its fair share."""
    fair_work_by_owner = _fair_work_by_owner(
        trace, sum(work_by_owner.values())
    )
    return min(
        work_by_owner.get(owner, 0.0) / max(1.0, fair)
        for owner, fair in fair_work_by_owner.items()
    )


def _fair_work_by_owner(
    trace: Trace, undivided_work: float
) -> dict[str, float]:
    """Divide the work done among the owners by weighted max-min fairness.

    No owner gets more than the work that its jobs could do between their
    arrival and the end of the peak interval.

    :param undivided_work: work done for all owners.
    """
    end_ms = trace.peak_interval_ms()[1]
    demand_by_owner: dict[str, float] = {}
    share_by_owner: dict[str, int] = {}
    for job in trace.runnable_jobs():
        time_to_peak_end_ms = end_ms - job.arrives_ms
        if time_to_peak_end_ms <= 0:
            continue
        owner = job.entry.owner
        work = sum(
            item.actual_usage.cpu_millis
            * min(item.run_ms, time_to_peak_end_ms)
            for item in job.tasks
        )
        demand_by_owner[owner] = demand_by_owner.get(owner, 0.0) + work
        share = max(share_by_owner.get(owner, 0), job.entry.limits.share)
        share_by_owner[owner] = share
    fair_work_by_owner: dict[str, float] = {}
    owners_by_demand = sorted(
        demand_by_owner,
        key=lambda owner: demand_by_owner[owner] / share_by_owner[owner],
    )
    remaining_shares = sum(share_by_owner.values())
    for owner in owners_by_demand:
        fair_work = undivided_work * share_by_owner[owner] / remaining_shares
        fair_work_by_owner[owner] = min(demand_by_owner[owner], fair_work)
        undivided_work -= fair_work_by_owner[owner]
        remaining_shares -= share_by_owner[owner]
    return fair_work_by_owner
