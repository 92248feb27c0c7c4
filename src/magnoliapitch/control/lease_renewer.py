"""Repeated renewal of the lease of one worker."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.control.events import WorkerReported
from magnoliapitch.control.guard import guarded
from magnoliapitch.control.renewal_pacing import RenewalPacing
from magnoliapitch.control.worker_tokens import next_token
from magnoliapitch.event import log_event
from magnoliapitch.verdict import FailureCode


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.client import WorkerClient
    from magnoliapitch.workload.worker import WorkerInfo


# Longest wait for ended runs to be stored and acknowledged before the next
# renewal; without the wait the worker would report them again.
MAX_ACKNOWLEDGE_WAIT_MS = 400
# Different reasons of failed renewals that are logged for a worker.
MAX_LOGGED_REASONS = 4


class LeaseRenewer:
    """Thread that renews a worker's lease and posts each report.

    A renewal that follows an unanswered one acknowledges nothing: the worker
    may have restarted, and would forget ends that it has not reported.

    Once the next incarnation has answered, renewals carry the token that the
    leader will use for it, so that it refuses orders to the former one.

    :param token: fencing token of the leader for the worker.
    :param next_deadline: takes the current time; returns the end of the next
        lease on the worker's clock in ms, or None to get a report without
        extending the lease.
    :param post: called with the outcome of every renewal.
    """

    def __init__(
        self,
        worker: WorkerInfo,
        token: int,
        client: WorkerClient,
        clock: Clock,
        next_deadline: Callable[[int], int | None],
        post: Callable[[WorkerReported], None],
    ) -> None:
        self._worker = worker
        self._token = token
        self._client = client
        self._clock = clock
        self._next_deadline = next_deadline
        self._post = post
        self._condition = threading.Condition()
        self._acknowledged_sequence = 0
        self._last_end_sequence = 0
        self._is_answered = False
        self._logged_reasons: set[str] = set()
        self._has_restarted = False
        self._pacing = RenewalPacing()
        self._is_stopped = False
        self._thread = threading.Thread(
            target=self._run, name=f"link-{worker.worker_id}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after the call that is under way."""
        with self._condition:
            self._is_stopped = True
            self._condition.notify_all()

    def acknowledge(self, sequence: int) -> None:
        """Let the worker drop ended runs up to a sequence number."""
        with self._condition:
            self._acknowledged_sequence = max(
                self._acknowledged_sequence, sequence
            )
            self._condition.notify_all()

    def _run(self) -> None:
        while not self._is_stopped:
            pause_ms = self._renew_once()
            if pause_ms:
                self._pause(pause_ms)
            self._wait_for_acknowledgement()

    def _renew_once(self) -> int:
        """Renew once; return the pause before the next renewal, in ms."""
        sent_ms = self._clock.now_ms()
        deadline_ms = (
            None if self._has_restarted else self._next_deadline(sent_ms)
        )
        timing = self._pacing.next_renewal(sent_ms)
        outcome = guarded(
            "renew",
            lambda: self._client.renew(
                self._worker,
                self._token,
                deadline_ms,
                self._acknowledged_sequence if self._is_answered else 0,
                timing.wait_ms if deadline_ms is not None else 0,
                timing.timeout_ms,
            ),
        )
        if self._is_stopped:
            return 0
        now_ms = self._clock.now_ms()
        self._post(
            WorkerReported(self._worker.worker_id, outcome, sent_ms, now_ms)
        )
        self._is_answered = not isinstance(outcome, Err)
        if isinstance(outcome, Err):
            self._log_failure(outcome.err_value)
            pause_ms = self._pacing.record_unanswered(now_ms)
            is_restart = outcome.err_value.code is FailureCode.RESTARTED
            if is_restart and not self._has_restarted:
                self._fence_former()
                return 0
            return pause_ms
        for end in outcome.ok_value.ended:
            self._last_end_sequence = max(
                self._last_end_sequence, end.sequence
            )
        return self._pacing.record_answered(
            lease_granted=deadline_ms is not None
        )

    def _log_failure(self, failure: Failure) -> None:
        reasons = self._logged_reasons
        if failure.detail in reasons or len(reasons) == MAX_LOGGED_REASONS:
            return
        reasons.add(failure.detail)
        log_event(
            "renewal-failed",
            worker=self._worker.worker_id,
            code=failure.code,
            reason=failure.detail,
        )

    def _fence_former(self) -> None:
        """Let the next renewal fence orders to the former incarnation."""
        self._has_restarted = True
        self._token = next_token(self._token)
        # Its ends are lost.
        self._last_end_sequence = 0

    def _wait_for_acknowledgement(self) -> None:
        with self._condition:
            self._condition.wait_for(
                lambda: (
                    self._acknowledged_sequence >= self._last_end_sequence
                    or self._is_stopped
                ),
                MAX_ACKNOWLEDGE_WAIT_MS / 1000,
            )

    def _pause(self, duration_ms: int) -> None:
        with self._condition:
            if not self._is_stopped:
                self._condition.wait(duration_ms / 1000)
