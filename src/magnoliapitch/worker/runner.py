"""Running calls to workers side by side, at most one for each worker."""

from __future__ import annotations

import queue

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from result import Result

from magnoliapitch.verdict import Failure
from magnoliapitch.worker.lease import WorkerView


if TYPE_CHECKING:
    from collections.abc import Iterator


CALL_THREAD_COUNT = 8

WorkerOutcome = Result[WorkerView, Failure]


class WorkerCall(NamedTuple):
    """A call to one worker.

    :param run: makes the call; runs in any thread.
    """

    worker_id: str
    run: Callable[[], WorkerOutcome]


class WorkerReply(NamedTuple):
    """Outcome of a call to one worker."""

    worker_id: str
    outcome: WorkerOutcome


class CallRunner(Protocol):
    """Makes calls without keeping the caller waiting."""

    def submit(self, call: WorkerCall) -> None:
        """Make a call soon."""

    def replies(self) -> Iterator[WorkerReply]:
        """Return the outcomes that have arrived since the last time."""


class InlineRunner:
    """Makes each call at once, for deterministic runs."""

    def __init__(self) -> None:
        self._replies: list[WorkerReply] = []

    def submit(self, call: WorkerCall) -> None:
        """Make a call now."""
        self._replies.append(WorkerReply(call.worker_id, call.run()))

    def replies(self) -> Iterator[WorkerReply]:
        """Return the outcomes since the last time."""
        replies, self._replies = self._replies, []
        return iter(replies)


class PooledRunner:
    """Makes calls in a few thread_count, so a silent worker delays no other."""

    def __init__(self, thread_count: int = CALL_THREAD_COUNT) -> None:
        self._executor = ThreadPoolExecutor(thread_count, "worker-call")
        self._replies: queue.SimpleQueue[WorkerReply] = queue.SimpleQueue()

    def submit(self, call: WorkerCall) -> None:
        """Make a call when a thread is free."""
        self._executor.submit(self._run, call)

    def replies(self) -> Iterator[WorkerReply]:
        """Return the outcomes that have arrived since the last time."""
        while True:
            try:
                yield self._replies.get_nowait()
            except queue.Empty:
                return

    def stop(self) -> None:
        """Start no further calls."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, call: WorkerCall) -> None:
        self._replies.put(WorkerReply(call.worker_id, call.run()))
