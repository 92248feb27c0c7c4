from __future__ import annotations

from typing import Any
from typing import cast

import orjson
import pytest

from result import Ok
from result import Result

from magnoliapitch.http.client import HttpClient
from magnoliapitch.http.client import HttpReply
from magnoliapitch.platform.advisor import PlatformAdvisor
from magnoliapitch.platform.workers import EXPECTED_WORKER_HEADER
from magnoliapitch.platform.workers import MAX_LISTED_ENDS
from magnoliapitch.platform.workers import PlatformWorkers
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.run import Permit
from magnoliapitch.workload.run import WorkerReport
from magnoliapitch.workload.worker import WorkerInfo


BORN_MS = 1_790_000_000_000
REPORT = {"clock-ms": 5, "running": [], "ended-runs": []}


class RecordedClient:
    """Answers each call with the same body and records what was sent."""

    def __init__(self, body: object) -> None:
        self._data = orjson.dumps(body)
        self.headers: dict[str, str] = {}
        self.body: Any = None

    def exchange(
        self,
        method: str,
        url: str,
        timeout_ms: int,
        body: bytes,
        headers: dict[str, str],
    ) -> Result[HttpReply, Failure]:
        del method, url, timeout_ms
        self.headers = headers
        self.body = orjson.loads(body)
        return Ok(HttpReply(200, self._data))


def renew(
    worker_id: str, body: dict[str, object]
) -> Result[WorkerReport, Failure]:
    client = RecordedClient(body)
    worker = WorkerInfo(worker_id, "app", "10.0.0.1:80", "z")
    outcome = PlatformWorkers(cast("HttpClient", client)).renew(
        worker, 7, None, 0, 0, 100
    )
    assert client.headers[EXPECTED_WORKER_HEADER] == "w"
    return outcome


def test_the_incarnation_that_was_meant_is_understood() -> None:
    report = renew(f"w@{BORN_MS}", {**REPORT, "born": BORN_MS}).unwrap()
    assert report.clock_ms == 5


@pytest.mark.parametrize("worker_id", ["w", f"w@{BORN_MS}"])
def test_an_answer_without_a_start_time_is_read(worker_id: str) -> None:
    assert renew(worker_id, REPORT).is_ok()


# A full page of ends was taken for all of them.
def test_a_report_with_a_full_page_of_ends_may_not_have_all() -> None:
    rows = [
        [n, f"job.0.0.{n}", 1, "done", ""]
        for n in range(1, MAX_LISTED_ENDS + 1)
    ]
    for ended, has_all_ends in ((rows, False), (rows[1:], True)):
        report = renew("w", {**REPORT, "ended-runs": ended}).unwrap()
        assert report.ended[-1].sequence == MAX_LISTED_ENDS
        assert report.has_all_ends is has_all_ends


def test_a_list_entry_without_a_start_time_accepts_any_report() -> None:
    assert renew("w", {**REPORT, "born": BORN_MS}).is_ok()


# Incident TWICE: the next incarnation answers calls to the former one.
def test_a_renewal_that_the_next_incarnation_answers_is_no_report() -> None:
    outcome = renew(f"w@{BORN_MS}", {**REPORT, "born": BORN_MS + 1})
    failure = outcome.unwrap_err()
    assert failure.code is FailureCode.RESTARTED
    assert failure.verdict is Verdict.MAY_HAVE_RUN


def test_a_start_time_that_is_no_whole_number_makes_a_bad_response() -> None:
    outcome = renew(f"w@{BORN_MS}", {**REPORT, "born": "soon"})
    assert outcome.unwrap_err().code is FailureCode.BAD_RESPONSE


def test_permits_are_given_to_incarnations() -> None:
    client = RecordedClient({"good": [["w", "ticket"], ["other", "unasked"]]})
    advisor = PlatformAdvisor("10.0.0.9:80", cast("HttpClient", client))
    permits = advisor.permits(
        StepKey("job", 0, 0), [f"w@{BORN_MS}", "v"], 100
    ).unwrap()
    assert permits == (Permit(f"w@{BORN_MS}", "ticket"),)
    assert client.body["workers"] == ["w", "v"]
