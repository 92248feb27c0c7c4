"""Handles the signals that stop an instance or reload its settings."""

from __future__ import annotations

import signal
import threading

from collections.abc import Callable
from queue import SimpleQueue

from magnoliapitch.console.exit_code import ExitCode


def install_stop_signals() -> SimpleQueue[ExitCode]:
    """Return a queue that receives an exit code on SIGTERM or SIGINT.

    The queue is a ``SimpleQueue`` because a signal handler may interrupt
    the very thread that waits on it. ``SimpleQueue.put`` is safe then,
    ``threading.Event.set`` is not.
    """
    exit_codes: SimpleQueue[ExitCode] = SimpleQueue()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: exit_codes.put(ExitCode.DONE))
    return exit_codes


def install_reload_signal(reload: Callable[[], None]) -> None:
    """Call a function on every SIGHUP, each time in a new thread."""

    def start_reload(*_: object) -> None:
        threading.Thread(target=reload, name="reload", daemon=True).start()

    signal.signal(signal.SIGHUP, start_reload)
