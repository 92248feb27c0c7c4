"""A refusal that says a job was not stored must be true.

Guards against refusals after an earlier submission of the same job whose
answer was lost, and which the store may still carry out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from result import Err
from result import Ok

from magnoliapitch.ledger.doubtful_submissions import MAX_DOUBTFUL_JOBS
from magnoliapitch.ledger.doubtful_submissions import DoubtfulSubmissions
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from result import Result


LOST = may_have_run(FailureCode.TIMEOUT, "no answer")
REFUSED = not_run(FailureCode.UNAVAILABLE, "store down")


def submit(
    doubtful: DoubtfulSubmissions, outcome: Result[None, Failure]
) -> Verdict | None:
    doubtful.begin("0a")
    settled = doubtful.settle("0a", outcome)
    return settled.err_value.verdict if isinstance(settled, Err) else None


def test_a_refused_submission_is_certain_without_an_earlier_one() -> None:
    doubtful = DoubtfulSubmissions()
    assert submit(doubtful, Err(REFUSED)) is Verdict.NOT_RUN
    assert not doubtful.is_doubtful("0a")


def test_a_refused_retry_leaves_a_lost_submission_in_doubt() -> None:
    doubtful = DoubtfulSubmissions()
    assert submit(doubtful, Err(LOST)) is Verdict.MAY_HAVE_RUN
    for _ in range(2):
        assert submit(doubtful, Err(REFUSED)) is Verdict.MAY_HAVE_RUN
        assert doubtful.is_doubtful("0a")
    assert submit(doubtful, Ok(None)) is None
    assert not doubtful.is_doubtful("0a")


def test_a_submission_that_is_under_way_is_in_doubt() -> None:
    doubtful = DoubtfulSubmissions()
    doubtful.begin("0a")
    assert doubtful.is_doubtful("0a")
    assert submit(doubtful, Err(REFUSED)) is Verdict.MAY_HAVE_RUN
    doubtful.settle("0a", Err(REFUSED))
    assert not doubtful.is_doubtful("0a")


@pytest.mark.parametrize("job_id", ["j0", f"j{MAX_DOUBTFUL_JOBS}"])
def test_only_the_latest_doubtful_submissions_are_kept(job_id: str) -> None:
    doubtful = DoubtfulSubmissions()
    for number in range(MAX_DOUBTFUL_JOBS + 1):
        doubtful.begin(f"j{number}")
        doubtful.settle(f"j{number}", Err(LOST))
    assert doubtful.is_doubtful(job_id) is (job_id != "j0")
