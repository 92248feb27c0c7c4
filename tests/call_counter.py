"""Counts calls of functions: a measure of work that load does not change."""

from __future__ import annotations

import sys

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from types import FrameType
    from types import TracebackType


# Of a processor some times slower than those that tests run on.
CALLS_PER_MS = 1_000


class CallCounter:
    """Counts the calls of the thread that enters it, until it leaves it.

    :ivar count: calls of Python functions and of built-in ones.
    """

    def __init__(self) -> None:
        self.count = 0

    @property
    def duration_ms(self) -> float:
        """Return about how long the calls take on a slow processor."""
        return self.count / CALLS_PER_MS

    def __enter__(self) -> CallCounter:
        sys.setprofile(self._record)
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        sys.setprofile(None)

    def _record(self, frame: FrameType, event: str, argument: object) -> None:
        if event in ("call", "c_call"):
            self.count += 1


__all__ = ["CALLS_PER_MS", "CallCounter"]
