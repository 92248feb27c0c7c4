from __future__ import annotations

from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.resource import Resources
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.configuration import Configuration
from magnoliapitch.workload.configuration import Workspace
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.ledger.test_job_api import FakeStore
from tests.ledger.test_job_api import published_job


TIMEOUT_MS = 1_000
GANG = JobSpec(
    "gang",
    "q",
    "",
    (StepSpec(8, Resources(1_000), is_gang=True),),
    workspace="a",
)


def configuration(quota_cores: int) -> Configuration:
    workspace = Workspace("a", quota=Resources(quota_cores * 1_000))
    return Configuration(1, {}, {}, workspaces_by_name={"a": workspace})


def test_a_gang_beyond_its_quota_is_rejected_before_it_is_stored() -> None:
    store = FakeStore()
    job_api = store.job_api()
    job_api.configure(configuration(4))
    failure = job_api.submit(GANG, TIMEOUT_MS).unwrap_err()
    assert failure.code is FailureCode.QUOTA
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.retry_after_ms is None
    assert store.stored == {}
    job_api.configure(configuration(7))
    assert job_api.submit(GANG, TIMEOUT_MS).is_ok()


def test_a_known_gang_is_not_rejected_after_its_quota_was_lowered() -> None:
    """It was accepted, so that the answer that it was not run is untrue."""
    store = FakeStore()
    first = store.job_api()
    first.configure(configuration(8))
    assert first.submit(GANG, TIMEOUT_MS).is_ok()
    second = store.job_api()
    for job_api in (first, second):
        job_api.configure(configuration(4))
        assert job_api.submit(GANG, TIMEOUT_MS).is_ok()
    third = FakeStore()
    third.published["gang"] = published_job(JobState.RUNNING)
    job_api = third.job_api()
    job_api.configure(configuration(4))
    assert job_api.submit(GANG, TIMEOUT_MS).is_ok()


def test_a_gang_that_may_be_known_is_not_rejected_as_beyond_its_quota() -> (
    None
):
    store = FakeStore()
    store.failure = not_run(FailureCode.UNAVAILABLE, "no answer")
    job_api = store.job_api()
    job_api.configure(configuration(4))
    failure = job_api.submit(GANG, TIMEOUT_MS).unwrap_err()
    assert failure.code is FailureCode.UNAVAILABLE
