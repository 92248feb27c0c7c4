"""Answers of the store that the protocol does not define."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import pytest

from result import Ok
from result import Result

from magnoliapitch.http.client import HttpReply
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.platform.store import PlatformStore
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict


if TYPE_CHECKING:
    from magnoliapitch.http.client import HttpClient


class AnsweringClient:
    def __init__(self, status: int) -> None:
        self._status = status

    def exchange(self, *_: object) -> Result[HttpReply, Failure]:
        return Ok(HttpReply(self._status, b"{}"))


def failure_of(status: int) -> Failure:
    client = cast("HttpClient", AnsweringClient(status))
    store = PlatformStore("127.0.0.1:1", client)
    return store.append("s", [KeyedRecord("a", b"x")]).unwrap_err()


# Incident LOST: an answer that has nothing to do with the record, such as
# that of something in between, was taken for a refusal of it for good.
@pytest.mark.parametrize("status", [401, 403, 404, 408, 421, 499, 500, 502])
def test_an_undefined_status_refuses_no_record(status: int) -> None:
    failure = failure_of(status)
    assert failure.code is FailureCode.BAD_RESPONSE
    assert failure.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize("status", [400, 413])
def test_a_record_that_the_store_does_not_take_is_refused(status: int) -> None:
    assert failure_of(status).code is FailureCode.INVALID
