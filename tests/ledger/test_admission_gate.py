from __future__ import annotations

import random

from typing import TYPE_CHECKING

import pytest

from result import Err
from result import Ok

from magnoliapitch.admission import LoadFigures
from magnoliapitch.admission import QueueLoad
from magnoliapitch.admission import ServiceCapacity
from magnoliapitch.admission import SizedWait
from magnoliapitch.ledger.admission_gate import AdmissionGate
from magnoliapitch.ledger.job_api import JobApi
from magnoliapitch.ledger.records import JOB_STREAM
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.ledger.unpublished_jobs import UnpublishedJobs
from magnoliapitch.metric import Metrics
from magnoliapitch.resource import Resources
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.configuration import Configuration
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.simulation import SERVICE
from tests.control.simulation import queue
from tests.ledger.test_job_api import FakeStore
from tests.ledger.test_job_api import published_job


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.verdict import Failure


JOB = JobSpec("0a", "q", "text", (StepSpec(2, Resources(4_000, 8_000)),))
QUEUE = queue("q")
WORKER = Resources(16_000, 64_000)
OVERLOADED = LoadFigures(
    1,
    1,
    {"q": QueueLoad((SizedWait(Resources(), 90_000),), 800, {})},
    {SERVICE: ServiceCapacity((WORKER,))},
)
UNANSWERED = may_have_run(FailureCode.TIMEOUT, "no answer")
TIMEOUT_MS = 1_000


class Instance(FakeStore):
    """An instance that has read figures of an overload.

    :ivar append_failure: failure of every append that is carried out.
    """

    def __init__(self) -> None:
        super().__init__()
        self.append_failure: Failure | None = None
        self.metrics = Metrics()
        self.states.leader = LeaderRecord(1, "leader")
        self.states.load.update(OVERLOADED, self.clock.now_ms())
        gate = AdmissionGate(
            self.states, self.clock, random.Random(1), self.metrics
        )
        self.api = JobApi(
            self.states,
            self,  # type: ignore[arg-type]
            self.refresh,
            UnpublishedJobs(self.streams, self.states, self.clock),
            self.metrics,
            gate,
        )
        self.api.configure(Configuration(1, {"q": QUEUE}, {}))

    def append(
        self, record: KeyedRecord, timeout_ms: int
    ) -> Result[None, Failure]:
        if self.append_failure is not None:
            return Err(self.append_failure)
        return super().append(record, timeout_ms)

    def submit(self, job: JobSpec = JOB) -> Result[None, Failure]:
        return self.api.submit(job, TIMEOUT_MS)


def is_rejected(outcome: Result[None, Failure]) -> bool:
    return (
        isinstance(outcome, Err)
        and outcome.err_value.code is FailureCode.OVERLOADED
        and outcome.err_value.verdict is Verdict.NOT_RUN
    )


def test_nothing_of_a_rejected_job_is_stored() -> None:
    instance = Instance()
    assert is_rejected(instance.submit())
    assert instance.stored == {}
    assert instance.streams.appends == 0
    counts = instance.metrics.counts()
    assert counts["submissions_rejected", "overloaded"] == 1
    assert counts["calls_submit", "not_run"] == 1


def test_an_admitted_job_makes_no_further_call_to_the_store() -> None:
    instance = Instance()
    instance.clock.advance(2_000)
    assert instance.submit() == Ok(None)
    assert list(instance.stored) == ["j.0a"]
    assert instance.refreshed_ages_ms == []
    assert instance.streams.read_offsets == []


def test_a_job_that_was_accepted_here_is_accepted_again() -> None:
    instance = Instance()
    instance.clock.advance(2_000)
    assert instance.submit() == Ok(None)
    instance.states.load.update(
        OVERLOADED._replace(sequence=2), instance.clock.now_ms()
    )
    assert instance.submit() == Ok(None)


@pytest.mark.parametrize("is_published", [True, False])
def test_a_job_that_another_instance_has_stored_is_not_rejected(
    is_published: bool,
) -> None:
    """The answer to the first submission was lost; this one would be false."""
    instance = Instance()
    if is_published:
        instance.published["0a"] = published_job(JobState.RUNNING)
    else:
        record = KeyedRecord("j.0a", encode_job(JOB))
        instance.streams.append(JOB_STREAM, [record])
    assert instance.submit() == Ok(None)
    assert instance.stored == {}


def test_a_job_is_not_rejected_if_it_cannot_be_looked_up() -> None:
    instance = Instance()
    instance.failure = not_run(FailureCode.UNAVAILABLE, "cut off")
    assert instance.submit() == Ok(None)


def test_a_job_whose_append_is_in_doubt_is_not_rejected() -> None:
    """The store may carry the append out after the rejection."""
    instance = Instance()
    instance.clock.advance(2_000)
    instance.append_failure = UNANSWERED
    assert instance.submit() == Err(UNANSWERED)
    instance.states.load.update(
        OVERLOADED._replace(sequence=2), instance.clock.now_ms()
    )
    assert instance.submit() == Err(UNANSWERED)
    instance.append_failure = not_run(FailureCode.UNAVAILABLE, "down")
    assert not is_rejected(instance.submit())


def test_a_job_that_was_certainly_not_stored_can_be_rejected() -> None:
    instance = Instance()
    instance.clock.advance(2_000)
    instance.append_failure = not_run(FailureCode.UNAVAILABLE, "down")
    assert instance.submit() == Err(instance.append_failure)
    instance.states.load.update(
        OVERLOADED._replace(sequence=2), instance.clock.now_ms()
    )
    assert is_rejected(instance.submit())


def test_a_paused_instance_rejects_nothing() -> None:
    instance = Instance()
    instance.clock.advance(10_000)
    assert instance.submit() == Ok(None)


def test_a_new_leader_rejects_nothing_before_its_own_figures() -> None:
    instance = Instance()
    instance.states.leader = LeaderRecord(2, "next")
    assert instance.submit() == Ok(None)


def test_an_impossible_job_is_rejected() -> None:
    instance = Instance()
    step = StepSpec(1, Resources(17_000, 0))
    outcome = instance.submit(JOB._replace(steps=(step,)))
    assert isinstance(outcome, Err)
    assert outcome.err_value.code is FailureCode.IMPOSSIBLE
    assert instance.stored == {}


def test_without_a_gate_nothing_is_rejected() -> None:
    """The option is off."""
    instance = Instance()
    api = instance.job_api()
    api.configure(Configuration(1, {"q": QUEUE}, {}))
    assert api.submit(JOB, TIMEOUT_MS) == Ok(None)
