from __future__ import annotations

from typing import TYPE_CHECKING

import orjson
import pytest

from magnoliapitch.http import Application
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import Listener
from magnoliapitch.journal.http_log import HttpLog
from magnoliapitch.membership.http_instance_list import HttpInstanceList
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict


if TYPE_CHECKING:
    from collections.abc import Iterator


class FixedResponseServer:
    """HTTP server that answers every call with the same response."""

    def __init__(self) -> None:
        self.status = 200
        self.body = b""
        application = Application()
        for method, path in (
            ("POST", "/append"),
            ("GET", "/read"),
            ("GET", "/instances"),
        ):
            application.route(method, path)(self._respond)
        self.listener = Listener("test", ("127.0.0.1", 0), application, 2)

    def _respond(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(self.status, self.body)


@pytest.fixture(scope="module")
def server() -> Iterator[FixedResponseServer]:
    server = FixedResponseServer()
    server.listener.start()
    yield server
    server.listener.stop()


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"null",
        b"[]",
        b"{}",
        b'{"offset": "x"}',
        b'{"offset": -1}',
        b'{"records": [{"offset": 0}], "oldest": 0, "head": 1}',
        b'{"records": null, "oldest": 0, "head": 1}',
        b'{"instances": [{"instance_id": 1}]}',
        b'{"verdict": "perhaps", "title": "timeout", "detail": ""}',
    ],
)
def test_malformed_responses_become_failures(
    server: FixedResponseServer, status: int, body: bytes
) -> None:
    server.status = status
    server.body = body
    url = f"http://127.0.0.1:{server.listener.port}"
    appended = HttpLog(url).append(b"{}").unwrap_err()
    assert appended.verdict is Verdict.MAY_HAVE_RUN
    assert appended.code is FailureCode.BAD_RESPONSE
    assert HttpLog(url).read(0, 1).is_err()
    assert HttpInstanceList(url).instances().is_err()


def test_problem_responses_keep_their_verdict(
    server: FixedResponseServer,
) -> None:
    server.status = 503
    server.body = orjson.dumps(
        {"verdict": "not_run", "title": "unavailable", "detail": "down"}
    )
    url = f"http://127.0.0.1:{server.listener.port}"
    failure = HttpLog(url).append(b"{}").unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.code is FailureCode.UNAVAILABLE
