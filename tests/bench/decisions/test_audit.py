from __future__ import annotations

import pytest

from magnoliapitch.bench.decisions import DEPLOYMENTS
from magnoliapitch.bench.decisions import InvalidDecisionError
from magnoliapitch.bench.decisions import make_traces
from magnoliapitch.bench.decisions import measure_policy
from magnoliapitch.bench.decisions import offline_bound
from magnoliapitch.bench.decisions.audit import DecisionAudit
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.decision.first_fit import FirstFitScheduler
from magnoliapitch.decision.interface import Decision
from magnoliapitch.decision.interface import Placement
from magnoliapitch.decision.interface import TaskRequest
from magnoliapitch.decision.interface import WorkerShape
from magnoliapitch.resource import Resources


WORKER_CAPACITY = DEPLOYMENTS[0].workers[0].capacity
MONTH_END_TRACE = make_traces(DEPLOYMENTS[:1], seed=3, scale=0.02)[0]


class _Overcommitting(FirstFitScheduler):
    def add_worker(self, worker: WorkerShape) -> None:
        doubled_capacity = worker.capacity.times(2)
        super().add_worker(worker._replace(capacity=doubled_capacity))


class _Repeating(FirstFitScheduler):
    def decide(self, now_ms: int) -> Decision:
        decision = super().decide(now_ms)
        return decision._replace(placements=decision.placements * 2)


class _Splitting(FirstFitScheduler):
    _pending: tuple[Placement, ...] = ()

    def decide(self, now_ms: int) -> Decision:
        pending = self._pending + super().decide(now_ms).placements
        self._pending = pending[1:]
        return Decision(pending[:1], has_more=bool(self._pending))


@pytest.mark.parametrize(
    ("policy", "message"),
    [
        (_Overcommitting, "more than its capacity of Resources"),
        (_Repeating, "placed twice"),
        (_Splitting, "gang job"),
    ],
)
def test_invalid_decisions_are_rejected(
    policy: type[FirstFitScheduler], message: str
) -> None:
    bound = offline_bound(MONTH_END_TRACE)
    with pytest.raises(InvalidDecisionError, match=message):
        measure_policy(MONTH_END_TRACE, "broken", policy({}), bound)


def test_resizing_a_reservation_beyond_the_capacity_is_rejected() -> None:
    worker = DEPLOYMENTS[0].workers[0]
    audit = DecisionAudit()
    audit.add_worker(worker)
    task = TaskRequest(
        "j/0/0", "j", "e", "o", WorkClass.BATCH, WORKER_CAPACITY, 1, 0
    )
    audit.check_decision(
        ((task, Placement("j/0/0", worker.worker_id, WORKER_CAPACITY)),)
    )
    with pytest.raises(InvalidDecisionError):
        audit.resize("j/0/0", WORKER_CAPACITY.plus(Resources(1)))
