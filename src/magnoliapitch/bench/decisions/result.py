"""Result of one policy on one trace."""

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


HORIZON_FACTOR = 4


class RunResult(NamedTuple):
    """Measures of one policy on one trace.

    :param ended_ms: when all work but services had ended.
    :param deadlines_met: of the feasible ones.
    :param packing: bulk work within the peak, as a share of the offline
        packing of the whole trace.
    :param volume_packing: the same as a share of the volume bound.
    :param fairness: least work of an owner within the peak, as a share of
        its weighted max-min fair part.
    :param lost_core_s: work of failed, stopped and lost attempts.
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
        """Share of the feasible deadlines that were met."""
        return self.deadlines_met / max(1, self.deadlines_feasible)


def measure(
    trace: Trace, policy: str, scheduler: Scheduler, bound: OfflineBound
) -> RunResult:
    """Replay a trace against a policy.

    :raises BrokenPolicyError: if a decision breaks a promise.
    """
    replay = Replay(trace, scheduler)
    replay.run(trace.arrivals_ms * HORIZON_FACTOR)
    recorder = replay.recorder
    cancelled = {item.job_id for item in trace.cancellations}
    wanted = bound.feasible - cancelled
    return RunResult(
        trace.fleet.name,
        trace.name,
        policy,
        replay.now_ms,
        recorder.waits(replay.now_ms),
        sum(_is_met(replay, job_id) for job_id in wanted),
        len(wanted),
        recorder.peak_bulk / max(1.0, bound.packed_bulk),
        recorder.peak_bulk / max(1.0, bound.volume_bulk),
        _fairness(trace, recorder.peak_by_owner),
        len(replay.refused),
        recorder.failures,
        recorder.overruns,
        recorder.evictions_by_action,
        recorder.lost_work / 1_000_000,
        recorder.starts,
        replay.audit.decisions,
        recorder.cost(),
        tuple(recorder.samples),
    )


def _is_met(replay: Replay, job_id: str) -> bool:
    run = replay.jobs_by_id.get(job_id)
    if run is None or run.left or run.given_up:
        return False
    ended_ms = max(task.finished_ms for task in run.tasks)
    return ended_ms <= run.job.deadline_ms


def _fairness(trace: Trace, work_by_owner: dict[str, float]) -> float:
    """Return the least share of its fair part that an owner received."""
    fair_by_owner = _fair_parts(trace, sum(work_by_owner.values()))
    return min(
        work_by_owner.get(owner, 0.0) / max(1.0, fair)
        for owner, fair in fair_by_owner.items()
    )


def _fair_parts(trace: Trace, total: float) -> dict[str, float]:
    """Return the weighted max-min fair division of the work done.

    No owner's part exceeds the work that it submitted by the peak's end.
    """
    end_ms = trace.peak_ms()[1]
    wanted_by_owner: dict[str, float] = {}
    share_by_owner: dict[str, int] = {}
    for job in trace.runnable():
        longest_ms = end_ms - job.arrives_ms
        if longest_ms <= 0:
            continue
        owner = job.entry.owner
        work = sum(
            item.usage.cpu_millis * min(item.run_ms, longest_ms)
            for item in job.tasks
        )
        wanted_by_owner[owner] = wanted_by_owner.get(owner, 0.0) + work
        share = max(share_by_owner.get(owner, 0), job.entry.limits.share)
        share_by_owner[owner] = share
    fair_by_owner: dict[str, float] = {}
    by_demand = sorted(
        wanted_by_owner,
        key=lambda owner: wanted_by_owner[owner] / share_by_owner[owner],
    )
    shares = sum(share_by_owner.values())
    for owner in by_demand:
        part = total * share_by_owner[owner] / shares
        fair_by_owner[owner] = min(wanted_by_owner[owner], part)
        total -= fair_by_owner[owner]
        shares -= share_by_owner[owner]
    return fair_by_owner
