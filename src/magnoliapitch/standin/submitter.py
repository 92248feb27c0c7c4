"""Caller that submits jobs and polls them until they are done."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import orjson
import urllib3

from magnoliapitch.catalogue.entry import WorkClass


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.standin.deployment import JobPlan


MAX_ATTEMPTS = 100
RETRY_DELAY_S = 0.05
TIMEOUT_S = 30
STATUS_ACCEPTED = 202


class SubmittedJob(NamedTuple):
    """A job that an entry instance has accepted.

    :param tasks: number of tasks.
    :param accepted_ms: monotonic time of the acceptance, in milliseconds.
    """

    job_id: str
    work_class: WorkClass
    tasks: int
    accepted_ms: float


class JobSubmitter:
    """Submits, polls and cancels jobs, using the entry instances in turn.

    :param urls: base URLs at which the entry instances serve callers.
    """

    def __init__(self, urls: Sequence[str]) -> None:
        self._urls = urls
        self._call_count = 0
        self._pool = urllib3.PoolManager(retries=False)

    def submit(
        self, plan: JobPlan, number: int, work_class: WorkClass
    ) -> SubmittedJob | None:
        """Submit one job, with retries.

        :param number: number of the job among those of the plan.
        :return: ``None`` if no attempt was accepted.
        """
        job_id = f"{plan.entry}-{number}"
        body = orjson.dumps(
            {
                "job_id": job_id,
                "entry": plan.entry,
                "tasks": plan.tasks,
                "resources": plan.resources._asdict(),
                "run_ms": plan.run_ms,
                "payload": f"run_ms={plan.run_ms}",
            }
        )
        for _ in range(MAX_ATTEMPTS):
            if self._call("POST", "/v1/jobs", body).status == STATUS_ACCEPTED:
                now_ms = time.monotonic() * 1_000
                return SubmittedJob(job_id, work_class, plan.tasks, now_ms)
            time.sleep(RETRY_DELAY_S)
        return None

    def is_done(self, job: SubmittedJob) -> bool:
        """Return whether no task of the job has to run any more."""
        response = self._call("GET", f"/v1/jobs/{job.job_id}")
        if response.status != 200:
            return False
        status: Any = response.json()
        return bool(status["done"])

    def cancel(self, job: SubmittedJob) -> bool:
        """Cancel a job and return whether the call succeeded."""
        response = self._call("DELETE", f"/v1/jobs/{job.job_id}")
        return response.status == 200

    def _call(
        self, method: str, path: str, body: bytes = b""
    ) -> urllib3.BaseHTTPResponse:
        self._call_count += 1
        url = self._urls[self._call_count % len(self._urls)]
        return self._pool.request(
            method, url + path, body=body, timeout=TIMEOUT_S
        )
