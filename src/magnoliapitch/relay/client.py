"""Client that operates on jobs through other instances."""

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
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    import random

    from collections.abc import Callable
    from collections.abc import Collection

    from magnoliapitch.clock import Clock
    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.http.client import HttpReply
    from magnoliapitch.ledger.state_table import JobState
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.workload.job import JobSpec


# Longest wait for another instance's answer; it answers within a few
# milliseconds unless it is cut off as well.
MAX_TIMEOUT_MS = 1_000
# Time without calls to an instance that did not answer one.
FAILURE_BACKOFF_MS = 1_000
# The same after an answer that the store fails there too. The last leader is
# asked again at once, since it notices the end of an outage first.
REFUSAL_BACKOFF_MS = 400
# Instances that are called for one operation.
MAX_ATTEMPTS = 2
# Failures of the store, which another instance may not have.
STORE_FAILURES = (FailureCode.UNAVAILABLE, FailureCode.TIMEOUT)


class JobRelay:
    """Calls the instance that led last, or else any other one.

    An instance that leads no more still reaches the store, as a rule. It may
    also be the one that the store turns away, so that another is tried then.

    :param own_address: ``IP:PORT`` at which peers call this instance.
    :param randomness: spreads the calls over the instances.
    :param peer_addresses: returns ``IP:PORT`` of the other instances that
        are known.
    """

    def __init__(
        self,
        state_table: StateTable,
        own_address: str,
        client: HttpClient,
        clock: Clock,
        randomness: random.Random,
        peer_addresses: Callable[[], Collection[str]] = tuple,
    ) -> None:
        self._state_table = state_table
        self._own_address = own_address
        self._client = client
        self._clock = clock
        self._random = randomness
        self._peer_addresses = peer_addresses
        self._usable_ms_by_address: dict[str, int] = {}

    def is_available(self) -> bool:
        """Return whether there is another instance to call."""
        return bool(self._usable_addresses())

    def has_other_leader(self) -> bool:
        """Return whether another instance led last and may be called."""
        return self._is_usable(self._leader_address())

    def submit(
        self, job: JobSpec, timeout_ms: int, caller: Caller = UNRESTRICTED
    ) -> Result[None, Failure]:
        """Submit a job.

        :param timeout_ms: time until the answer is needed.
        """
        timeout_ms = min(timeout_ms, MAX_TIMEOUT_MS)
        body = SUBMIT_REQUEST.dump_json(SubmitRequest(job, timeout_ms, caller))
        return self._call(SUBMIT_PATH, body, timeout_ms).map(lambda _: None)

    def submit_to_leader(
        self, job: JobSpec, timeout_ms: int, caller: Caller = UNRESTRICTED
    ) -> Result[None, Failure]:
        """Submit a job to the instance that led last.

        :param timeout_ms: time until the answer is needed.
        """
        address = self._leader_address()
        if not self._is_usable(address):
            return Err(_nobody_to_call())
        body = SUBMIT_REQUEST.dump_json(SubmitRequest(job, timeout_ms, caller))
        reply = self._call_at(address, SUBMIT_PATH, body, timeout_ms)
        return reply.map(lambda _: None)

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
        """Call one instance after the other until one has an answer."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        may_have_stored: Failure | None = None
        outcome: Result[JobReply, Failure] = Err(_nobody_to_call())
        for address in self._usable_addresses()[:MAX_ATTEMPTS]:
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                break
            outcome = self._call_at(address, path, body, remaining_ms)
            if not isinstance(outcome, Err):
                return outcome
            failure = outcome.err_value
            if failure.verdict is Verdict.MAY_HAVE_RUN:
                may_have_stored = failure
            if failure.code not in STORE_FAILURES:
                break
        return outcome if may_have_stored is None else Err(may_have_stored)

    def _call_at(
        self, address: str, path: str, body: bytes, timeout_ms: int
    ) -> Result[JobReply, Failure]:
        reply = self._client.exchange(
            "POST", f"http://{address}{path}", timeout_ms, body, JSON_HEADERS
        )
        if isinstance(reply, Err):
            self._avoid(address, FAILURE_BACKOFF_MS)
            return reply
        outcome = _decode(reply.ok_value)
        if (
            isinstance(outcome, Err)
            and outcome.err_value.code in STORE_FAILURES
            and address != self._leader_address()
        ):
            self._avoid(address, REFUSAL_BACKOFF_MS)
        return outcome

    def _avoid(self, address: str, duration_ms: int) -> None:
        until_ms = self._clock.now_ms() + duration_ms
        self._usable_ms_by_address[address] = until_ms

    def _usable_addresses(self) -> list[str]:
        """Return the instances to call, the one that led last first."""
        peers = list(self._peer_addresses())
        self._random.shuffle(peers)
        return [
            address
            for address in dict.fromkeys((self._leader_address(), *peers))
            if self._is_usable(address)
        ]

    def _leader_address(self) -> str:
        leader = self._state_table.leader
        return leader.address if leader is not None else ""

    def _is_usable(self, address: str) -> bool:
        usable_ms = self._usable_ms_by_address.get(address, 0)
        return (
            address not in ("", self._own_address)
            and self._clock.now_ms() >= usable_ms
        )


def _decode(reply: HttpReply) -> Result[JobReply, Failure]:
    if reply.status != HTTP_OK:
        return Err(_failure_of(reply))
    try:
        return Ok(JOB_REPLY.validate_json(reply.data))
    except ValidationError as error:
        return Err(may_have_run(FailureCode.BAD_RESPONSE, str(error)))


def _nobody_to_call() -> Failure:
    return not_run(
        FailureCode.UNAVAILABLE, "there is no other instance to call"
    )


def _failure_of(reply: HttpReply) -> Failure:
    """Return the failure that the leader's instance answered with.

    Only that instance knows whether it has carried the operation out; an
    answer that does not tell leaves it open.
    """
    try:
        return failure_from_problem(orjson.loads(reply.data))
    except orjson.JSONDecodeError:
        detail = f"another instance answered with status {reply.status}"
        return may_have_run(FailureCode.BAD_RESPONSE, detail)
