"""Client that operates on jobs through the leader's instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson

from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from magnoliapitch.access import UNRESTRICTED
from magnoliapitch.access import Caller
from magnoliapitch.http.client import HTTP_OK
from magnoliapitch.http.client import JSON_HEADERS
from magnoliapitch.http.client import failure_from_problem
from magnoliapitch.relay.messages import CANCEL_PATH
from magnoliapitch.relay.messages import JOB_REPLY
from magnoliapitch.relay.messages import JOB_REQUEST
from magnoliapitch.relay.messages import STATE_PATH
from magnoliapitch.relay.messages import SUBMIT_PATH
from magnoliapitch.relay.messages import SUBMIT_REQUEST
from magnoliapitch.relay.messages import JobReply
from magnoliapitch.relay.messages import JobRequest
from magnoliapitch.relay.messages import SubmitRequest
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.http.client import HttpReply
    from magnoliapitch.ledger.state_table import JobState
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.workload.job import JobSpec


# Longest wait for the leader's answer; it answers within a few milliseconds
# unless it is cut off as well.
MAX_TIMEOUT_MS = 1_000
# Time without calls after the leader did not answer one.
FAILURE_BACKOFF_MS = 1_000


class JobRelay:
    """Calls the instance that led last, as far as this instance knows.

    An instance that leads no more still reaches the store, as a rule.

    :param own_address: ``IP:PORT`` at which peers call this instance.
    """

    def __init__(
        self,
        state_table: StateTable,
        own_address: str,
        client: HttpClient,
        clock: Clock,
    ) -> None:
        self._state_table = state_table
        self._own_address = own_address
        self._client = client
        self._clock = clock
        self._usable_ms = 0

    def is_available(self) -> bool:
        """Return whether there is another instance to call."""
        return (
            self._address() not in ("", self._own_address)
            and self._clock.now_ms() >= self._usable_ms
        )

    def submit(
        self, job: JobSpec, timeout_ms: int, caller: Caller = UNRESTRICTED
    ) -> Result[None, Failure]:
        """Submit a job.

        :param timeout_ms: time until the answer is needed.
        """
        timeout_ms = min(timeout_ms, MAX_TIMEOUT_MS)
        body = SUBMIT_REQUEST.dump_json(SubmitRequest(job, timeout_ms, caller))
        return self._call(SUBMIT_PATH, body, timeout_ms).map(lambda _: None)

    def cancel(
        self, job_id: str, timeout_ms: int, caller: Caller = UNRESTRICTED
    ) -> Result[bool, Failure]:
        """Cancel a job; return False if there is none."""
        reply = self._call_about(CANCEL_PATH, job_id, timeout_ms, caller)
        return reply.map(lambda found: found.exists)

    def state(
        self, job_id: str, timeout_ms: int, caller: Caller = UNRESTRICTED
    ) -> Result[JobState | None, Failure]:
        """Return a job's state, or None if there is no such job."""
        reply = self._call_about(STATE_PATH, job_id, timeout_ms, caller)
        return reply.map(lambda found: found.state)

    def _call_about(
        self, path: str, job_id: str, timeout_ms: int, caller: Caller
    ) -> Result[JobReply, Failure]:
        timeout_ms = min(timeout_ms, MAX_TIMEOUT_MS)
        body = JOB_REQUEST.dump_json(JobRequest(job_id, timeout_ms, caller))
        return self._call(path, body, timeout_ms)

    def _call(
        self, path: str, body: bytes, timeout_ms: int
    ) -> Result[JobReply, Failure]:
        url = f"http://{self._address()}{path}"
        reply = self._client.exchange(
            "POST", url, timeout_ms, body, JSON_HEADERS
        )
        if isinstance(reply, Err):
            self._usable_ms = self._clock.now_ms() + FAILURE_BACKOFF_MS
        return reply.and_then(_decode)

    def _address(self) -> str:
        leader = self._state_table.leader
        return leader.address if leader is not None else ""


def _decode(reply: HttpReply) -> Result[JobReply, Failure]:
    if reply.status != HTTP_OK:
        return Err(_failure_of(reply))
    try:
        return Ok(JOB_REPLY.validate_json(reply.data))
    except ValidationError as error:
        return Err(may_have_run(FailureCode.BAD_RESPONSE, str(error)))


def _failure_of(reply: HttpReply) -> Failure:
    """Return the failure that the leader's instance answered with.

    Only the instance knows whether it has carried the operation out; an
    answer that does not tell leaves it open.
    """
    try:
        return failure_from_problem(orjson.loads(reply.data))
    except orjson.JSONDecodeError:
        detail = f"the leader's instance answered with status {reply.status}"
        return may_have_run(FailureCode.BAD_RESPONSE, detail)
