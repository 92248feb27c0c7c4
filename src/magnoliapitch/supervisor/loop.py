"""Supervised thread that calls a function repeatedly."""

from __future__ import annotations

import threading

from collections.abc import Callable
from typing import TYPE_CHECKING

from magnoliapitch.event import log_event


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock


Step = Callable[[], int]

DEFAULT_STOP_TIMEOUT_MS = 10_000


class Loop:
    """Calls ``step`` repeatedly in a thread.

    A step that raises an error ends the thread. The loop keeps no state
    between steps, so that a restart continues with the state that the
    failed step left.

    :param name: name of the thread, and of the child in logs.
    :param step: called repeatedly; returns the milliseconds to wait before
        the next call.
    :param stop_timeout_ms: longest wait for the current step on stop.
    """

    def __init__(
        self,
        name: str,
        step: Step,
        clock: Clock,
        stop_timeout_ms: int = DEFAULT_STOP_TIMEOUT_MS,
    ) -> None:
        self.name = name
        self._step = step
        self._clock = clock
        self._stop_timeout_ms = stop_timeout_ms
        self._stop_event = threading.Event()
        self._thread: threading.Thread | None = None
        self._step_started_ms = clock.now_ms()

    def start(self) -> None:
        """Start the thread."""
        self._stop_event = threading.Event()
        self._step_started_ms = self._clock.now_ms()
        self._thread = threading.Thread(
            target=self._run,
            args=(self._stop_event,),
            name=self.name,
            daemon=True,
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current step; may be called by the step itself.

        If the step does not end within the timeout, this is logged and the
        thread is abandoned.
        """
        self._stop_event.set()
        thread = self._thread
        if thread is None or thread is threading.current_thread():
            return
        thread.join(self._stop_timeout_ms / 1000)
        if thread.is_alive():
            log_event("stop-timed-out", child=self.name)

    def is_alive(self) -> bool:
        """Return whether the thread is running."""
        return self._thread is not None and self._thread.is_alive()

    def heartbeat_age_ms(self) -> int:
        """Return the time since the last step began, in milliseconds."""
        return self._clock.now_ms() - self._step_started_ms

    def _run(self, stop_event: threading.Event) -> None:
        try:
            while not stop_event.is_set():
                self._step_started_ms = self._clock.now_ms()
                wait_ms = self._step()
                self._clock.wait(stop_event, wait_ms)
        except Exception as error:
            log_event("step-failed", loop=self.name, error=error)
