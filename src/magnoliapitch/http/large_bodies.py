"""Limit of the large bodies that are handled at the same time."""

from __future__ import annotations

import threading

from contextlib import contextmanager
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator


# What a body is decoded into takes up to fifty times its length.
LARGE_BODY_BYTES = 16 << 10
MAX_AT_A_TIME = 2
# Ordinary requests wait for the thread meanwhile.
MAX_WAIT_S = 0.25


class LargeBodies:
    """Lets few requests with a large body be handled at a time; thread-safe.

    The others wait for a short time, and are refused then.
    """

    def __init__(
        self, count: int = MAX_AT_A_TIME, max_wait_s: float = MAX_WAIT_S
    ) -> None:
        self._turns = threading.Semaphore(count)
        self._max_wait_s = max_wait_s

    @contextmanager
    def turn(self, length: int) -> Iterator[bool]:
        """Wait for the turn of a body.

        :param length: its length in bytes.
        :return: whether it may be handled.
        """
        if length <= LARGE_BODY_BYTES:
            yield True
            return
        has_turn = self._turns.acquire(timeout=self._max_wait_s)
        try:
            yield has_turn
        finally:
            if has_turn:
                self._turns.release()


__all__ = ["LARGE_BODY_BYTES", "LargeBodies"]
