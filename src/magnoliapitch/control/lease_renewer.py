"""Renews the lease of one worker again and again."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.control.events import WorkerReported
from magnoliapitch.control.renewal_pacing import RenewalPacing


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.workload.client import WorkerClient
    from magnoliapitch.workload.worker import WorkerInfo


# Without this pause an end that is not stored yet would be listed again.
MAX_ACKNOWLEDGE_WAIT_MS = 400


class LeaseRenewer:
    """A thread that renews a lease and hands over each report.

    :param deadline: returns the end of the next lease on the worker's
        clock; None to timing only.
    :param post: takes every report.
    """

    def __init__(
        self,
        worker: WorkerInfo,
        token: int,
        client: WorkerClient,
        clock: Clock,
        deadline: Callable[[int], int | None],
        post: Callable[[WorkerReported], None],
    ) -> None:
        self._worker = worker
        self._token = token
        self._client = client
        self._clock = clock
        self._deadline = deadline
        self._post = post
        self._condition = threading.Condition()
        self._acknowledged = 0
        self._last_end = 0
        self._pacing = RenewalPacing()
        self._is_closed = False
        self._thread = threading.Thread(
            target=self._run, name=f"link-{worker.worker_id}", daemon=True
        )

    def open(self) -> None:
        """Start renewing."""
        self._thread.start()

    def close(self) -> None:
        """Stop renewing after the call that is under way."""
        with self._condition:
            self._is_closed = True
            self._condition.notify_all()

    def acknowledge(self, number: int) -> None:
        """Let the worker forget ends up to a number."""
        with self._condition:
            self._acknowledged = max(self._acknowledged, number)
            self._condition.notify_all()

    def _run(self) -> None:
        while not self._is_closed:
            pause_ms = self._renew_once()
            if pause_ms:
                self._pause(pause_ms)
            self._wait_for_acknowledgement()

    def _renew_once(self) -> int:
        """RenewalTiming at the worker once and return the pause until the next."""
        sent_ms = self._clock.now_ms()
        deadline_ms = self._deadline(sent_ms)
        timing = self._pacing.next_renewal(sent_ms)
        outcome = self._client.renew(
            self._worker,
            self._token,
            deadline_ms,
            self._acknowledged,
            timing.wait_ms if deadline_ms is not None else 0,
            timing.timeout_ms,
        )
        if self._is_closed:
            return 0
        now_ms = self._clock.now_ms()
        self._post(
            WorkerReported(self._worker.worker_id, outcome, sent_ms, now_ms)
        )
        if isinstance(outcome, Err):
            return self._pacing.record_unanswered(now_ms)
        for end in outcome.ok_value.ended:
            self._last_end = max(self._last_end, end.sequence)
        return self._pacing.record_answered(lease_granted=deadline_ms is not None)

    def _wait_for_acknowledgement(self) -> None:
        with self._condition:
            if self._acknowledged < self._last_end and not self._is_closed:
                self._condition.wait(MAX_ACKNOWLEDGE_WAIT_MS / 1000)

    def _pause(self, duration_ms: int) -> None:
        with self._condition:
            if not self._is_closed:
                self._condition.wait(duration_ms / 1000)
