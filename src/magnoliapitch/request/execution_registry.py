"""Runs each name at most once and repeats its outcome."""

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


RECORDS_MAX = 100_000
ANSWERS_MAX_BYTES = 16 << 20
FULL_RETRY_MS = 5_000


class _Record:
    """What is known of a name.

    ``done`` is absent while nothing has run; ``outcome`` is absent while
    it runs, and again after the answer was dropped.
    """

    __slots__ = ("digest", "done", "expires_ms", "outcome")

    def __init__(self, digest: str, expires_ms: int) -> None:
        self.digest = digest
        self.expires_ms = expires_ms
        self.done: threading.Event | None = None
        self.outcome: Outcome | None = None


class OnceBook:
    """Names that this incarnation alone may run.

    A name that is not in the book is never run, so losing a record is
    safe. Records are kept until they expire; answers are dropped earlier,
    the oldest first, when they exceed their bound.
    """

    def __init__(
        self,
        clock: Clock,
        records_max: int = RECORDS_MAX,
        answers_max_bytes: int = ANSWERS_MAX_BYTES,
    ) -> None:
        self._clock = clock
        self._records_max = records_max
        self._answers_max_bytes = answers_max_bytes
        self._records_by_name: dict[str, _Record] = {}
        self._answered: dict[str, int] = {}
        self._answer_bytes = 0
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._records_by_name)

    def open(self, name: str, digest: str, expires_ms: int) -> Failure | None:
        """Allow a name to run once; a known name stays as it is.

        :return: why it cannot be, if the book is full or it has expired.
        """
        with self._lock:
            if name in self._records_by_name:
                return None
            # Its record may have expired after the caller had checked it.
            if expires_ms <= self._clock.now_ms():
                return _forgotten()
            if len(self._records_by_name) >= self._records_max:
                self._expire()
            if len(self._records_by_name) >= self._records_max:
                return not_run(
                    FailureCode.OVERLOADED,
                    f"{self._records_max} requests are remembered already",
                    FULL_RETRY_MS,
                )
            self._records_by_name[name] = _Record(digest, expires_ms)
        return None

    def run(
        self,
        name: str,
        digest: str,
        deadline_ms: int,
        execute: Callable[[], Outcome],
    ) -> Outcome:
        """Execute a name, join its execution or repeat its outcome."""
        with self._lock:
            record = self._records_by_name.get(name)
            if record is None:
                return Err(_forgotten())
            if record.digest != digest:
                return Err(_other_body())
            done = record.done
            if done is None:
                record.done = threading.Event()
        if done is not None:
            return self._join(record, done, deadline_ms)
        return self._execute(name, record, execute)

    def _execute(
        self, name: str, record: _Record, execute: Callable[[], Outcome]
    ) -> Outcome:
        outcome: Outcome = Err(
            may_have_run(FailureCode.INTERNAL, "the execution failed")
        )
        try:
            outcome = execute()
        finally:
            self._settle(name, record, outcome)
        return outcome

    def _settle(self, name: str, record: _Record, outcome: Outcome) -> None:
        with self._lock:
            done = record.done
            assert done is not None
            if _is_not_run(outcome):
                record.done = None
            else:
                record.outcome = outcome
                self._note_answer(name, outcome)
        done.set()

    def _join(
        self, record: _Record, done: threading.Event, deadline_ms: int
    ) -> Outcome:
        left_ms = max(deadline_ms - self._clock.now_ms(), 0)
        if not done.is_set() and not self._clock.wait(done, left_ms):
            return Err(
                may_have_run(
                    FailureCode.TIMEOUT, "the first attempt still runs"
                )
            )
        with self._lock:
            if record.done is not done:
                return Err(_retry())
            if record.outcome is not None:
                return record.outcome
        return Err(
            Failure(
                Verdict.RAN,
                FailureCode.EXPIRED,
                "it was answered before, and the answer is no longer kept",
            )
        )

    def _note_answer(self, name: str, outcome: Outcome) -> None:
        if isinstance(outcome, Err):
            return
        size = len(outcome.ok_value.body)
        self._answered[name] = size
        self._answer_bytes += size
        while self._answer_bytes > self._answers_max_bytes:
            oldest = next(iter(self._answered))
            self._answer_bytes -= self._answered.pop(oldest)
            self._records_by_name[oldest].outcome = None

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        expired = [
            name
            for name, record in self._records_by_name.items()
            if record.expires_ms <= now_ms and _is_settled(record)
        ]
        for name in expired:
            del self._records_by_name[name]
            self._answer_bytes -= self._answered.pop(name, 0)


def _is_settled(record: _Record) -> bool:
    return record.done is None or record.done.is_set()


def _is_not_run(outcome: Outcome) -> bool:
    return (
        isinstance(outcome, Err)
        and outcome.err_value.verdict is Verdict.NOT_RUN
    )


def _forgotten() -> Failure:
    return may_have_run(
        FailureCode.EXPIRED, "this instance no longer remembers the request"
    )


def _other_body() -> Failure:
    return not_run(
        FailureCode.CONFLICT, "it was used before with another request"
    )


def _retry() -> Failure:
    return not_run(
        FailureCode.UNAVAILABLE, "the attempt that was joined did not run", 100
    )
