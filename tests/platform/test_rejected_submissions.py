from __future__ import annotations

from typing import TYPE_CHECKING

import orjson
import pytest

from result import Err
from result import Ok

from magnoliapitch.access import AccessGate
from magnoliapitch.access import ConfigurationFreshness
from magnoliapitch.clock import ManualClock
from magnoliapitch.http import HttpRequest
from magnoliapitch.metric import Metrics
from magnoliapitch.platform import job_application
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.configuration import Configuration
from tests.control.simulation import queue


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.access import Caller
    from magnoliapitch.http import HttpResponse
    from magnoliapitch.workload.job import JobSpec


QUEUE = queue("q")
BODY = {"steps": [{"count": 2, "cpu": 4_000, "mem-mb": 8_000}]}


class FakeJobs:
    """Operations on jobs; every submission gets the same answer.

    :ivar submitted: timeouts of the submissions.
    """

    def __init__(self, answer: Result[None, Failure]) -> None:
        self.submitted: list[int] = []
        self._answer = answer

    def is_closing(self) -> bool:
        return False

    def submit(
        self, job: JobSpec, timeout_ms: int, caller: Caller
    ) -> Result[None, Failure]:
        assert job.job_id == "0a"
        self.submitted.append(timeout_ms)
        return self._answer


def post(jobs: FakeJobs, body: object = BODY, **headers: str) -> HttpResponse:
    freshness = ConfigurationFreshness(ManualClock(10_000))
    gate = AccessGate(freshness, Metrics())
    gate.configure(Configuration(1, {"q": QUEUE}, {}))
    application = job_application(jobs, gate, 1 << 20)  # type: ignore[arg-type]
    headers_by_name = {"host": "host", **headers}
    return application.handle(
        HttpRequest(
            "POST", "/q/0a", {}, {}, headers_by_name, orjson.dumps(body)
        )
    )


def test_a_rejected_submission_gets_429_with_retry_after() -> None:
    failure = not_run(FailureCode.OVERLOADED, "of no use after 9 s", 4_000)
    response = post(FakeJobs(Err(failure)))
    assert response.status == 429
    assert ("Retry-After", "4") in response.headers
    assert orjson.loads(response.body)["verdict"] == "not_run"


def test_an_impossible_job_gets_429_without_retry_after() -> None:
    failure = not_run(FailureCode.IMPOSSIBLE, "larger than every worker")
    response = post(FakeJobs(Err(failure)))
    assert (response.status, response.headers) == (429, ())


@pytest.mark.parametrize(
    "step",
    [
        {"count": 1, "estimate-ms": -5},
        {"count": 1e30},
        {"count": 1_000_000},
        {"count": 0},
        {"count": 1, "depends-on": [0]},
        {"count": 1, "cpu": -1},
        {"count": 1, "max-per-server": -1},
    ],
)
def test_a_job_that_cannot_be_planned_is_refused(
    step: dict[str, object],
) -> None:
    jobs = FakeJobs(Ok(None))
    assert post(jobs, {"steps": [step]}).status == 400
    assert jobs.submitted == []


def test_too_many_occurrences_are_refused() -> None:
    """The leader keeps the tasks of all occurrences in memory."""
    jobs = FakeJobs(Ok(None))
    assert post(jobs, BODY | {"run-count": 1_000_000_000}).status == 400
    assert jobs.submitted == []


@pytest.mark.parametrize("deadline", ["\u00b2", "-1", "1.5", "abc"])
def test_a_deadline_that_is_no_number_is_ignored(deadline: str) -> None:
    """A superscript digit raised an error in the handler."""
    jobs = FakeJobs(Ok(None))
    headers = {"x-magnoliapitch-deadline-ms": deadline}
    assert post(jobs, **headers).status == 200
    assert jobs.submitted == [QUEUE.timeout_ms]
