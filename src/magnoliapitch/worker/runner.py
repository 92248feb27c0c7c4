"""Concurrent execution of calls to workers.

The caller submits at most one call at a time for each worker.
"""

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

    :param run: makes the call; may run in any thread.
    """

    worker_id: str
    run: Callable[[], WorkerOutcome]


class WorkerReply(NamedTuple):
    """Outcome of a call to one worker."""

    worker_id: str
    outcome: WorkerOutcome


class CallRunner(Protocol):
    """Executes calls and collects their outcomes."""

    def submit(self, call: WorkerCall) -> None:
        """Execute a call, at once or later."""

    def replies(self) -> Iterator[WorkerReply]:
        """Return the outcomes that arrived since the previous invocation."""


class InlineRunner:
    """Executes each call within ``submit``, for deterministic tests."""

    def __init__(self) -> None:
        self._replies: list[WorkerReply] = []

    def submit(self, call: WorkerCall) -> None:
        """Execute a call before returning."""
        self._replies.append(WorkerReply(call.worker_id, call.run()))

    def replies(self) -> Iterator[WorkerReply]:
        """Return the outcomes of all calls since the previous invocation."""
        replies, self._replies = self._replies, []
        return iter(replies)


class PooledRunner:
    """Executes calls in a thread pool.

    So an unresponsive worker does not delay calls to other workers.
    """

    def __init__(self, thread_count: int = CALL_THREAD_COUNT) -> None:
        self._executor = ThreadPoolExecutor(thread_count, "worker-call")
        self._replies: queue.SimpleQueue[WorkerReply] = queue.SimpleQueue()

    def submit(self, call: WorkerCall) -> None:
        """Execute a call as soon as a thread is free."""
        self._executor.submit(self._run, call)

    def replies(self) -> Iterator[WorkerReply]:
        """Return the outcomes that arrived since the previous invocation."""
        while True:
            try:
                yield self._replies.get_nowait()
            except queue.Empty:
                return

    def stop(self) -> None:
        """Cancel the calls that have not begun; running ones continue."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, call: WorkerCall) -> None:
        self._replies.put(WorkerReply(call.worker_id, call.run()))
