"""Counters and timers of one instance."""

from __future__ import annotations

import threading
import time

from contextlib import contextmanager
from typing import TYPE_CHECKING

from magnoliapitch.metric.timer import Timer


if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliapitch.metric.timer import TimerSummary


class Metrics:
    """Counters and timers by name and label; thread-safe.

    Timers are named after what is timed, without a unit. A label
    distinguishes the members of a small fixed set, such as work classes.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts_by_key: dict[tuple[str, str], int] = {}
        self._timers_by_key: dict[tuple[str, str], Timer] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increase a counter by an amount."""
        with self._lock:
            key = (name, label)
            self._counts_by_key[key] = self._counts_by_key.get(key, 0) + amount

    def observe(self, name: str, duration_ms: float, label: str = "") -> None:
        """Record a duration, in milliseconds, in a timer."""
        key = (name, label)
        with self._lock:
            timer = self._timers_by_key.get(key)
            if timer is None:
                timer = self._timers_by_key[key] = Timer()
        timer.record(duration_ms)

    @contextmanager
    def timing(self, name: str, label: str = "") -> Iterator[None]:
        """Return a context whose duration is recorded in a timer."""
        started_ns = time.perf_counter_ns()
        try:
            yield
        finally:
            elapsed_ns = time.perf_counter_ns() - started_ns
            self.observe(name, elapsed_ns / 1_000_000, label)

    def counts(self) -> dict[tuple[str, str], int]:
        """Return every counter by name and label."""
        with self._lock:
            return dict(self._counts_by_key)

    def timers(self) -> dict[tuple[str, str], TimerSummary]:
        """Return a summary of every timer by name and label."""
        with self._lock:
            timers = dict(self._timers_by_key)
        return {key: timer.summary() for key, timer in timers.items()}

    def dump(self) -> dict[str, object]:
        """Return all counters and timers for the state dump."""
        return {
            "counts": {
                _dump_key(key): count for key, count in self.counts().items()
            },
            "timers": {
                _dump_key(key): summary._asdict()
                for key, summary in self.timers().items()
            },
        }


def _dump_key(key: tuple[str, str]) -> str:
    name, label = key
    return f"{name}.{label}" if label else name
