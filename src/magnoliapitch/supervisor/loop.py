"""A thread that calls a step again and again."""

from __future__ import annotations

import threading

from collections.abc import Callable
from typing import TYPE_CHECKING

from magnoliapitch.event import log_event


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock


Step = Callable[[], int]


class Loop:
    """Calls ``step``, which returns the milliseconds until the next call."""

    def __init__(self, name: str, step: Step, clock: Clock) -> None:
        self.name = name
        self._step = step
        self._clock = clock
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread."""
        self._stopping.clear()
        self._thread = threading.Thread(
            target=self._run, name=self.name, daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current step."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join()

    def is_alive(self) -> bool:
        """Return whether the thread runs."""
        return self._thread is not None and self._thread.is_alive()

    def _run(self) -> None:
        try:
            while not self._stopping.is_set():
                self._clock.wait(self._stopping, self._step())
        except Exception as error:
            log_event("step-failed", loop=self.name, error=error)
