"""A thread that calls a step again and again."""

from __future__ import annotations

import threading

from collections.abc import Callable
from typing import TYPE_CHECKING

from magnoliapitch.event import log_event


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock


Step = Callable[[], int]

STOP_TIMEOUT_MS = 10_000


class Loop:
    """Calls ``step``, which returns the milliseconds until the next call.

    A step that raises ends the thread; what the step works on is kept, so
    that a restart goes on from there.
    """

    def __init__(
        self,
        name: str,
        step: Step,
        clock: Clock,
        stop_timeout_ms: int = STOP_TIMEOUT_MS,
    ) -> None:
        self.name = name
        self._step = step
        self._clock = clock
        self._stop_timeout_ms = stop_timeout_ms
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None
        self._beat_ms = clock.now_ms()

    def start(self) -> None:
        """Start the thread."""
        self._stopping = threading.Event()
        self._beat_ms = self._clock.now_ms()
        self._thread = threading.Thread(
            target=self._run,
            args=(self._stopping,),
            name=self.name,
            daemon=True,
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current step, which may be the caller's own.

        A step that does not end in time is left behind and logged.
        """
        self._stopping.set()
        thread = self._thread
        if thread is None or thread is threading.current_thread():
            return
        thread.join(self._stop_timeout_ms / 1000)
        if thread.is_alive():
            log_event("stop-timed-out", child=self.name)

    def is_alive(self) -> bool:
        """Return whether the thread runs."""
        return self._thread is not None and self._thread.is_alive()

    def heartbeat_age_ms(self) -> int:
        """Return the time since the last step began, in milliseconds."""
        return self._clock.now_ms() - self._beat_ms

    def _run(self, stopping: threading.Event) -> None:
        try:
            while not stopping.is_set():
                self._beat_ms = self._clock.now_ms()
                wait_ms = self._step()
                self._clock.wait(stopping, wait_ms)
        except Exception as error:
            log_event("step-failed", loop=self.name, error=error)
