"""A call that is repeated in a thread of its own."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from result import Err
from result import Result

from magnoliapitch.control.guard import guarded


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.verdict import Failure


class PeriodicCall:
    """Repeats a call at intervals, one at a time, while it is asked to.

    A call that takes longer than the interval is followed by the next at
    once.

    :param name: name of the call, for its thread and the log.
    :param interval_ms: time from the begin of one call to that of the next.
    :param on_failure: called in the thread with the failure of a call, also
        that of one that ended with an unexpected error.
    """

    def __init__(
        self,
        name: str,
        interval_ms: int,
        call: Callable[[], Result[None, Failure]],
        on_failure: Callable[[Failure], object],
    ) -> None:
        self._name = name
        self._interval_ms = interval_ms
        self._call = call
        self._on_failure = on_failure
        self._executor = ThreadPoolExecutor(1, name)
        self._is_under_way = False
        self._begun_ms: int | None = None

    def expedite(self) -> None:
        """Let the next call begin without waiting for the interval."""
        self._begun_ms = None

    def begin_if_due(self, now_ms: int) -> None:
        """Begin the next call if it is due and none is under way."""
        begun_ms = self._begun_ms
        is_due = begun_ms is None or now_ms - begun_ms >= self._interval_ms
        if is_due and not self._is_under_way:
            self._is_under_way = True
            self._begun_ms = now_ms
            self._executor.submit(self._run)

    def _run(self) -> None:
        outcome = guarded(self._name, self._call)
        self._is_under_way = False
        if isinstance(outcome, Err):
            self._on_failure(outcome.err_value)


__all__ = ["PeriodicCall"]
