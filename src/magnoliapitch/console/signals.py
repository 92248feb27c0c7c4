"""Waits for signals to a process that serves."""

from __future__ import annotations

import signal
import threading

from collections.abc import Callable
from queue import SimpleQueue

from magnoliapitch.console.exit_code import ExitCode


def ending_on_signals() -> SimpleQueue[ExitCode]:
    """Return a queue that SIGTERM and SIGINT put an exit code on.

    A simple queue, unlike an event, may be filled by a signal handler
    that interrupts the thread waiting on it.
    """
    ends: SimpleQueue[ExitCode] = SimpleQueue()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ends.put(ExitCode.DONE))
    return ends


def reload_on_hangup(reload: Callable[[], None]) -> None:
    """Call a function in a thread of its own whenever SIGHUP comes."""

    def start(*_: object) -> None:
        threading.Thread(target=reload, name="reload", daemon=True).start()

    signal.signal(signal.SIGHUP, start)
