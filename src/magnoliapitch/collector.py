"""The interpreter's collector of cyclic garbage, beside large states."""

from __future__ import annotations

import gc
import threading

from contextlib import contextmanager
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator


class _Pauses:
    """Counts who wants the collector to pause; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0

    def begin(self) -> None:
        with self._lock:
            self._count += 1
            gc.disable()

    def end(self) -> None:
        with self._lock:
            self._count -= 1
            if not self._count:
                gc.enable()


_PAUSES = _Pauses()


@contextmanager
def collections_paused() -> Iterator[None]:
    """Let no collection begin in any thread while much is built.

    Each one looks at all that was built so far, and stops every thread
    meanwhile; hardly any of it is garbage.
    """
    _PAUSES.begin()
    try:
        yield
    finally:
        _PAUSES.end()


def collect_dropped_state() -> None:
    """Free a state that was dropped just now.

    Its objects refer to each other, so that it would lie in memory beside the
    next one until enough else was made.
    """
    gc.collect()


__all__ = ["collect_dropped_state", "collections_paused"]
