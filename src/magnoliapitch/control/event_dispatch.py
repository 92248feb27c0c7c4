"""Handlers of a leader's events, registered by the type of the event."""

from __future__ import annotations

from queue import Empty
from queue import SimpleQueue
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypeVar

from magnoliapitch.control.controller import Controller
from magnoliapitch.control.delegation.router import WorkerRouter
from magnoliapitch.control.events import Committed
from magnoliapitch.control.events import ConfigurationChanged
from magnoliapitch.control.events import JobsRead
from magnoliapitch.control.events import PermitsAnswered
from magnoliapitch.control.events import ProgressStored
from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.events import StopAnswered
from magnoliapitch.control.events import WorkerReported
from magnoliapitch.control.events import WorkersListed
from magnoliapitch.ledger.claim_delay import LEADER_TIMEOUT_MS


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.control.events import Event


EventT = TypeVar("EventT")

# A quarter of the time after which a silent leader is taken for lost.
MAX_APPLYING_MS = LEADER_TIMEOUT_MS // 4


class Leading(NamedTuple):
    """What the events of one leadership are applied to.

    :param router: passes calls to workers on; None if there is none left.
    """

    controller: Controller
    router: WorkerRouter | None


_HANDLERS_BY_TYPE: dict[type, Callable[[Any, Leading, int], None]] = {}


class EventIntake:
    """Events of one leadership, in the order in which they came; thread-safe.

    Any number may come while a round lasts, or the store is away. They are
    applied for a limited time between two rounds, since a leader that stores
    nothing for long is taken for lost.
    """

    def __init__(self) -> None:
        self._queue: SimpleQueue[Event] = SimpleQueue()
        self._next: Event | None = None

    def put(self, event: Event) -> None:
        """Add an event."""
        self._queue.put(event)

    def wait(self, timeout_ms: int) -> None:
        """Wait for an event unless there is one.

        :param timeout_ms: how long to wait for it.
        """
        if self._next is not None:
            return
        try:
            self._next = self._queue.get(timeout=timeout_ms / 1000)
        except Empty:
            return

    def apply(self, leading: Leading, clock: Clock) -> int:
        """Apply the events that have come so far.

        The rest is left to the next call after ``MAX_APPLYING_MS``.

        :return: number of events that were applied.
        """
        end_ms = clock.now_ms() + MAX_APPLYING_MS
        count = 0
        self.wait(0)
        come_count = self._queue.qsize() + (self._next is not None)
        while count < come_count and clock.now_ms() <= end_ms:
            self.wait(0)
            event, self._next = self._next, None
            if event is not None:
                dispatch(event, leading, clock.now_ms())
            count += 1
        return count


def dispatch(event: Event, leading: Leading, now_ms: int) -> None:
    """Apply an event to the controller of its leadership."""
    _HANDLERS_BY_TYPE[type(event)](event, leading, now_ms)


def _handles(
    event_type: type[EventT],
) -> Callable[
    [Callable[[EventT, Leading, int], None]],
    Callable[[EventT, Leading, int], None],
]:
    """Return a decorator that registers the handler of a type of events."""

    def register(
        handler: Callable[[EventT, Leading, int], None],
    ) -> Callable[[EventT, Leading, int], None]:
        _HANDLERS_BY_TYPE[event_type] = handler
        return handler

    return register


@_handles(WorkerReported)
def _handle_report(
    event: WorkerReported, leading: Leading, now_ms: int
) -> None:
    """Apply a report, then grant the worker's next lease."""
    leading.controller.handle_report(event)
    if leading.router is not None:
        deadline_ms = leading.controller.next_lease_deadline(
            event.worker_id, now_ms
        )
        leading.router.grant(event.worker_id, deadline_ms)


@_handles(StartAnswered)
def _handle_start(event: StartAnswered, leading: Leading, _: int) -> None:
    leading.controller.handle_start_answer(event)


@_handles(StopAnswered)
def _handle_stop(event: StopAnswered, leading: Leading, _: int) -> None:
    leading.controller.handle_stop_answer(event)


@_handles(ProgressStored)
def _handle_stored(
    event: ProgressStored, leading: Leading, now_ms: int
) -> None:
    leading.controller.handle_progress_stored(now_ms, event.refused_keys)


@_handles(Committed)
def _handle_commit(event: Committed, leading: Leading, now_ms: int) -> None:
    leading.controller.handle_commit(event, now_ms)


@_handles(JobsRead)
def _handle_jobs(event: JobsRead, leading: Leading, now_ms: int) -> None:
    leading.controller.handle_jobs_read(event, now_ms)


@_handles(WorkersListed)
def _handle_workers(
    event: WorkersListed, leading: Leading, now_ms: int
) -> None:
    """Apply the list of workers, then assign them to agents."""
    leading.controller.handle_worker_list(event, now_ms)
    if leading.router is not None:
        leading.router.assign()


@_handles(PermitsAnswered)
def _handle_permits(
    event: PermitsAnswered, leading: Leading, now_ms: int
) -> None:
    leading.controller.handle_permits(event, now_ms)


@_handles(ConfigurationChanged)
def _handle_configuration(
    _event: ConfigurationChanged, leading: Leading, _: int
) -> None:
    leading.controller.handle_configuration_changed()


__all__ = ["EventIntake", "Leading", "dispatch"]
