from __future__ import annotations

import orjson
import pytest

from magnoliapitch.http.problem import problem_response
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


@pytest.mark.parametrize("code", FailureCode)
def test_every_code_has_a_status(code: FailureCode) -> None:
    """A handler that returns one without a status would raise an error."""
    response = problem_response(not_run(code, "detail"))
    assert 400 <= response.status < 600


@pytest.mark.parametrize(
    ("retry_after_ms", "seconds"), [(1_000, "1"), (1_001, "2"), (10_000, "10")]
)
def test_retry_after_is_in_whole_seconds(
    retry_after_ms: int, seconds: str
) -> None:
    failure = not_run(FailureCode.OVERLOADED, "detail", retry_after_ms)
    response = problem_response(failure, status=429)
    assert response.headers == (("Retry-After", seconds),)
    assert orjson.loads(response.body)["verdict"] == "not_run"
