"""Concurrent callers that send small requests and check the responses."""

from __future__ import annotations

import time

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import NamedTuple

import orjson
import urllib3


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.standin.deployment import RequestPlan


CALLER_COUNT = 16
MAX_ATTEMPTS = 40
RETRY_DELAY_S = 0.05
TIMEOUT_S = 30
REQUEST_ID_HEADER = "X-Request-Id"


class RequestOutcome(NamedTuple):
    """Outcome of one small request after all its attempts.

    :param request_id: id of the request; each attempt appends its number.
    :param entry: catalogue entry of the request.
    :param answered: whether the complete response to this request arrived.
    :param not_run_ids: ids of attempts with the verdict ``not_run``.
    :param may_have_run: whether the last attempt failed with another verdict.
    :param problem: what was wrong with the response, or empty.
    :param elapsed_ms: milliseconds from the first attempt to the last
        response.
    """

    request_id: str
    entry: str
    answered: bool
    not_run_ids: tuple[str, ...]
    may_have_run: bool
    problem: str
    elapsed_ms: float


class RequestSender:
    """Sends planned requests from several threads.

    :param urls: base URLs at which entry instances serve callers.
    """

    def __init__(self, urls: Sequence[str]) -> None:
        self._urls = urls
        self._pool = urllib3.PoolManager(maxsize=CALLER_COUNT, retries=False)

    def send_all(self, plans: Sequence[RequestPlan]) -> list[RequestOutcome]:
        """Send every planned request and return the outcomes.

        Attempts with the verdict ``not_run`` are repeated at the next URL.
        """
        planned = [
            (f"{plan.entry}-{number}", plan.entry)
            for plan in plans
            for number in range(plan.requests)
        ]
        # Sorting by the reversed id mixes the requests of all entries.
        planned.sort(key=lambda request: request[0][::-1])
        with ThreadPoolExecutor(CALLER_COUNT) as callers:
            return list(callers.map(self._send, range(len(planned)), planned))

    def _send(self, number: int, request: tuple[str, str]) -> RequestOutcome:
        request_id, entry = request
        started_s = time.monotonic()
        not_run_ids: list[str] = []
        for attempt in range(MAX_ATTEMPTS):
            attempt_id = f"{request_id}.{attempt}"
            url = self._urls[(number + attempt) % len(self._urls)]
            response = self._post(f"{url}/v1/requests/{entry}", attempt_id)
            if response.status < 300:
                problem = _find_problem(response, attempt_id)
                answered = not problem
                may_have_run = False
                break
            may_have_run = response.json().get("verdict") != "not_run"
            problem = "" if not may_have_run else str(response.json())
            answered = False
            if may_have_run:
                break
            not_run_ids.append(attempt_id)
            time.sleep(RETRY_DELAY_S)
        elapsed_ms = (time.monotonic() - started_s) * 1_000
        return RequestOutcome(
            request_id,
            entry,
            answered,
            tuple(not_run_ids),
            may_have_run,
            problem,
            elapsed_ms,
        )

    def _post(self, url: str, attempt_id: str) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            "POST",
            url,
            body=f"body of {attempt_id}".encode(),
            headers={REQUEST_ID_HEADER: attempt_id},
            timeout=TIMEOUT_S,
        )


def _find_problem(response: urllib3.BaseHTTPResponse, attempt_id: str) -> str:
    if response.headers.get(REQUEST_ID_HEADER) != attempt_id:
        return f"{attempt_id}: the response carries the id of another request"
    try:
        echo = response.json()["echo"]
    except (orjson.JSONDecodeError, KeyError, ValueError):
        return f"{attempt_id}: the response body is incomplete"
    if echo != f"body of {attempt_id}":
        return f"{attempt_id}: the response body belongs to another request"
    return ""
