"""Operations on jobs, with a second way for when the store fails."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err
from result import Result

from magnoliapitch.access import UNRESTRICTED
from magnoliapitch.access import Caller
from magnoliapitch.event import log_event
from magnoliapitch.ledger.job_api import ANSWER_RESERVE_MS
from magnoliapitch.relay.client import STORE_FAILURES
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.job_api import JobApi
    from magnoliapitch.ledger.state_table import JobState
    from magnoliapitch.relay.client import JobRelay
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.job import JobSpec


ValueT = TypeVar("ValueT")

MIN_RELAY_TIMEOUT_MS = 100
# Longest wait for the leader before a job is stored here: two appends of a
# store that is slow.
MAX_LEADER_TIMEOUT_MS = 1_500
# Answers about the job itself, which the leader's instance gives in place of
# this one.
_REJECTIONS = (
    FailureCode.OVERLOADED,
    FailureCode.IMPOSSIBLE,
    FailureCode.QUOTA,
    FailureCode.FORBIDDEN,
)


class RelayedJobs:
    """Operations on jobs by this instance, else by another.

    Every operation is idempotent, so one that may have reached the store can
    be made again through the other instance.

    :param prefers_leader: returns whether a job is to be submitted through
        the leader's instance, which stores those of all instances together.
    """

    def __init__(
        self,
        job_api: JobApi,
        relay: JobRelay,
        clock: Clock,
        prefers_leader: Callable[[JobSpec], bool] = lambda _: False,
    ) -> None:
        self._job_api = job_api
        self._relay = relay
        self._clock = clock
        self._prefers_leader = prefers_leader

    def submit(
        self, job: JobSpec, timeout_ms: int, caller: Caller = UNRESTRICTED
    ) -> Result[None, Failure]:
        """Store a job; accept a known job again without storing it twice.

        :param timeout_ms: time until the caller needs the answer.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        led = self._submit_to_leader(job, timeout_ms, caller)
        if led is not None and not _needs_another_way(led):
            return led
        remaining_ms = max(1, deadline_ms - self._clock.now_ms())
        outcome = self._operate(
            "submit",
            job.job_id,
            remaining_ms,
            lambda: self._job_api.submit(job, remaining_ms, caller),
            lambda left_ms: self._relay.submit(job, left_ms, caller),
        )
        if (
            isinstance(led, Err)
            and led.err_value.verdict is Verdict.MAY_HAVE_RUN
            and isinstance(outcome, Err)
        ):
            return led
        return outcome

    def _submit_to_leader(
        self, job: JobSpec, timeout_ms: int, caller: Caller
    ) -> Result[None, Failure] | None:
        """Submit a job through the leader's instance if that is better.

        A part of the time is kept for another way.

        :return: None if the job was not submitted in this way.
        """
        if not self._prefers_leader(job) or not self._relay.has_other_leader():
            return None
        relay_ms = min(
            (timeout_ms - ANSWER_RESERVE_MS) * 2 // 3, MAX_LEADER_TIMEOUT_MS
        )
        if relay_ms < MIN_RELAY_TIMEOUT_MS:
            return None
        outcome = self._relay.submit_to_leader(job, relay_ms, caller)
        _log_relayed("submit", job.job_id, outcome)
        if not isinstance(outcome, Err):
            self._job_api.record_accepted(job)
        return outcome

    def cancel(
        self, job_id: str, timeout_ms: int, caller: Caller = UNRESTRICTED
    ) -> Result[bool, Failure]:
        """Store the cancellation of a job; return False if there is none."""
        return self._operate(
            "cancel",
            job_id,
            timeout_ms,
            lambda: self._job_api.cancel(job_id, timeout_ms, caller),
            lambda remaining_ms: self._relay.cancel(
                job_id, remaining_ms, caller
            ),
        )

    def state(
        self, job_id: str, timeout_ms: int, caller: Caller = UNRESTRICTED
    ) -> Result[JobState | None, Failure]:
        """Return a job's state, or None if there is no such job."""
        return self._operate(
            "state",
            job_id,
            timeout_ms,
            lambda: self._job_api.state(job_id, timeout_ms, caller),
            lambda remaining_ms: self._relay.state(
                job_id, remaining_ms, caller
            ),
        )

    def pending(self, queue: Queue) -> int:
        """Return the number of a queue's jobs without a started task."""
        return self._job_api.pending(queue)

    def is_closing(self) -> bool:
        """Return whether connections are closed after their next answer."""
        return self._job_api.is_closing()

    def _operate(
        self,
        call: str,
        job_id: str,
        timeout_ms: int,
        operate_here: Callable[[], Result[ValueT, Failure]],
        operate_there: Callable[[int], Result[ValueT, Failure]],
    ) -> Result[ValueT, Failure]:
        deadline_ms = self._clock.now_ms() + timeout_ms - ANSWER_RESERVE_MS
        outcome = operate_here()
        if not isinstance(outcome, Err):
            return outcome
        failure = outcome.err_value
        remaining_ms = deadline_ms - self._clock.now_ms()
        if (
            failure.code not in STORE_FAILURES
            or remaining_ms < MIN_RELAY_TIMEOUT_MS
            or not self._relay.is_available()
        ):
            return outcome
        relayed = operate_there(remaining_ms)
        _log_relayed(call, job_id, relayed)
        if (
            isinstance(relayed, Err)
            and relayed.err_value.verdict is Verdict.NOT_RUN
            and not _is_rejected(failure, relayed.err_value)
        ):
            return outcome
        return relayed


def _needs_another_way(outcome: Result[None, Failure]) -> bool:
    """Return whether the leader's instance did not settle an operation."""
    return (
        isinstance(outcome, Err) and outcome.err_value.code not in _REJECTIONS
    )


def _is_rejected(here: Failure, there: Failure) -> bool:
    """Return whether a job is rejected and was certainly not stored here."""
    return here.verdict is Verdict.NOT_RUN and there.code in _REJECTIONS


def _log_relayed(
    call: str, job_id: str, outcome: Result[ValueT, Failure]
) -> None:
    failure = outcome.err_value if isinstance(outcome, Err) else None
    log_event(
        "call-relayed",
        call=call,
        job=job_id,
        outcome=failure.verdict if failure else "answered",
        reason=failure.detail if failure else "",
    )
