from __future__ import annotations

import pytest

from magnoliapitch.bench.decisions import FLEETS
from magnoliapitch.bench.decisions import BrokenPolicyError
from magnoliapitch.bench.decisions import make_traces
from magnoliapitch.bench.decisions import measure
from magnoliapitch.bench.decisions import offline_bound
from magnoliapitch.bench.decisions.audit import DecisionAudit
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.first_fit import FirstFitScheduler
from magnoliapitch.decision.interface import Decision
from magnoliapitch.decision.interface import Placement
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.resource import Resources


WHOLE = FLEETS[0].workers[0].capacity
TRACE = make_traces(FLEETS[:1], seed=3, scale=0.02)[0]


class _Overcommitting(FirstFitScheduler):
    def add_worker(self, worker: WorkerShape) -> None:
        double = worker.capacity.times(2)
        super().add_worker(worker._replace(capacity=double))


class _Repeating(FirstFitScheduler):
    def decide(self, now_ms: int) -> Decision:
        decision = super().decide(now_ms)
        return decision._replace(placements=decision.placements * 2)


class _Splitting(FirstFitScheduler):
    _held: tuple[Placement, ...] = ()

    def decide(self, now_ms: int) -> Decision:
        held = self._held + super().decide(now_ms).placements
        self._held = held[1:]
        return Decision(held[:1], has_more=bool(self._held))


@pytest.mark.parametrize(
    ("policy", "message"),
    [
        (_Overcommitting, "of Resources"),
        (_Repeating, "placed twice"),
        (_Splitting, "gang"),
    ],
)
def test_audit_refuses_a_broken_policy(
    policy: type[FirstFitScheduler], message: str
) -> None:
    bound = offline_bound(TRACE)
    with pytest.raises(BrokenPolicyError, match=message):
        measure(TRACE, "broken", policy({}), bound)


def test_audit_counts_a_larger_reservation_of_a_running_task() -> None:
    worker = FLEETS[0].workers[0]
    audit = DecisionAudit()
    audit.add_worker(worker)
    task = TaskRequest("j/0/0", "j", "e", "o", WorkClass.BATCH, WHOLE, 1, 0)
    audit.place(((task, Placement("j/0/0", worker.worker_id, WHOLE)),))
    with pytest.raises(BrokenPolicyError):
        audit.resize("j/0/0", WHOLE.plus(Resources(1)))
