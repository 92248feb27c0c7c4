"""Registry that runs each request at most once and repeats its outcome."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.request.dispatcher import Outcome


MAX_EXECUTIONS = 100_000
ANSWERS_MAX_BYTES = 16 << 20
FULL_RETRY_AFTER_MS = 5_000


class _Execution:
    """Execution of one named request.

    :ivar digest: digest of the request body.
    :ivar done: set when the current attempt ends; absent before the first
        attempt and after an attempt that was not run.
    :ivar outcome: absent until an attempt has ended, and again after the
        answer was dropped to save memory.
    """

    __slots__ = ("digest", "done", "expires_ms", "outcome")

    def __init__(self, digest: str, expires_ms: int) -> None:
        self.digest = digest
        self.expires_ms = expires_ms
        self.done: threading.Event | None = None
        self.outcome: Outcome | None = None


class ExecutionRegistry:
    """Requests, by name, that only this incarnation may run.

    A name that is not registered is never run, so losing one is safe.
    Executions are kept until they expire. Answers are dropped earlier, the
    oldest first, when together they exceed ``answers_max_bytes``.
    """

    def __init__(
        self,
        clock: Clock,
        max_executions: int = MAX_EXECUTIONS,
        answers_max_bytes: int = ANSWERS_MAX_BYTES,
    ) -> None:
        self._clock = clock
        self._max_executions = max_executions
        self._answers_max_bytes = answers_max_bytes
        self._executions_by_name: dict[str, _Execution] = {}
        self._answer_bytes_by_name: dict[str, int] = {}
        self._total_answer_bytes = 0
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._executions_by_name)

    def register(
        self, name: str, digest: str, expires_ms: int
    ) -> Failure | None:
        """Register a name to be run once; a known name stays as it is.

        :param digest: digest of the request body.
        :param expires_ms: local monotonic time, in milliseconds, until which
            the name is kept.
        :return: the failure if the registry is full or the name has expired.
        """
        with self._lock:
            if name in self._executions_by_name:
                return None
            # The name may have expired since the caller checked it, and its
            # execution may have been removed.
            if expires_ms <= self._clock.now_ms():
                return _unknown_failure()
            if len(self._executions_by_name) >= self._max_executions:
                self._remove_expired()
            if len(self._executions_by_name) >= self._max_executions:
                return not_run(
                    FailureCode.OVERLOADED,
                    f"{self._max_executions} requests are remembered already; "
                    "more are accepted when some of them have expired",
                    FULL_RETRY_AFTER_MS,
                )
            self._executions_by_name[name] = _Execution(digest, expires_ms)
        return None

    def run(
        self,
        name: str,
        digest: str,
        deadline_ms: int,
        execute: Callable[[], Outcome],
    ) -> Outcome:
        """Execute a registered request, or return its earlier outcome.

        If another thread executes it now, wait for that outcome.

        :param digest: digest of the request body; another body is refused.
        :param deadline_ms: local monotonic time, in milliseconds, until which
            to wait for another thread.
        """
        with self._lock:
            execution = self._executions_by_name.get(name)
            if execution is None:
                return Err(_unknown_failure())
            if execution.digest != digest:
                return Err(_body_conflict())
            done = execution.done
            if done is None:
                execution.done = threading.Event()
        if done is not None:
            return self._wait_for_outcome(execution, done, deadline_ms)
        return self._execute(name, execution, execute)

    def _execute(
        self, name: str, execution: _Execution, execute: Callable[[], Outcome]
    ) -> Outcome:
        outcome: Outcome = Err(
            may_have_run(
                FailureCode.INTERNAL,
                "the execution ended with an internal error",
            )
        )
        try:
            outcome = execute()
        finally:
            self._finish(name, execution, outcome)
        return outcome

    def _finish(
        self, name: str, execution: _Execution, outcome: Outcome
    ) -> None:
        with self._lock:
            done = execution.done
            assert done is not None
            if _is_not_run(outcome):
                execution.done = None
            else:
                execution.outcome = outcome
                self._account_answer(name, outcome)
        done.set()

    def _wait_for_outcome(
        self, execution: _Execution, done: threading.Event, deadline_ms: int
    ) -> Outcome:
        remaining_ms = max(deadline_ms - self._clock.now_ms(), 0)
        if not done.is_set() and not self._clock.wait(done, remaining_ms):
            return Err(
                may_have_run(
                    FailureCode.TIMEOUT,
                    "an earlier attempt of the request is still running",
                )
            )
        with self._lock:
            if execution.done is not done:
                return Err(_not_run_failure())
            if execution.outcome is not None:
                return execution.outcome
        return Err(
            Failure(
                Verdict.RAN,
                FailureCode.EXPIRED,
                "the request ran before, and its answer is no longer kept",
            )
        )

    def _account_answer(self, name: str, outcome: Outcome) -> None:
        if isinstance(outcome, Err):
            return
        size = len(outcome.ok_value.body)
        self._answer_bytes_by_name[name] = size
        self._total_answer_bytes += size
        while self._total_answer_bytes > self._answers_max_bytes:
            oldest = next(iter(self._answer_bytes_by_name))
            self._total_answer_bytes -= self._answer_bytes_by_name.pop(oldest)
            self._executions_by_name[oldest].outcome = None

    def _remove_expired(self) -> None:
        now_ms = self._clock.now_ms()
        expired = [
            name
            for name, execution in self._executions_by_name.items()
            if execution.expires_ms <= now_ms and _is_idle(execution)
        ]
        for name in expired:
            del self._executions_by_name[name]
            self._total_answer_bytes -= self._answer_bytes_by_name.pop(name, 0)


def _is_idle(execution: _Execution) -> bool:
    return execution.done is None or execution.done.is_set()


def _is_not_run(outcome: Outcome) -> bool:
    return (
        isinstance(outcome, Err)
        and outcome.err_value.verdict is Verdict.NOT_RUN
    )


def _unknown_failure() -> Failure:
    return may_have_run(
        FailureCode.EXPIRED, "this instance no longer remembers the request"
    )


def _body_conflict() -> Failure:
    return not_run(
        FailureCode.CONFLICT,
        "the ticket or key was used before with another request body",
    )


def _not_run_failure() -> Failure:
    return not_run(
        FailureCode.UNAVAILABLE,
        "the concurrent attempt of the same request was not run",
        100,
    )
