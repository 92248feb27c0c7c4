"""Storing of the leader's batches, one after the other."""

from __future__ import annotations

import time

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.control.events import Committed
from magnoliapitch.control.events import ProgressStored
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.control.events import Event
    from magnoliapitch.ledger.leader_appender import Batch
    from magnoliapitch.ledger.leadership import Leadership


RETRY_DELAY_MS = 80
_PERMANENT_CODES = (
    FailureCode.FENCED,
    FailureCode.SEQUENCE,
    FailureCode.INVALID,
)


class Committer:
    """Stores batches in a thread and posts the outcome of each."""

    def __init__(self, leadership: Leadership, clock: Clock) -> None:
        self._leadership = leadership
        self._clock = clock
        self._executor = ThreadPoolExecutor(1, "commits")

    def commit(
        self,
        batch: Batch,
        is_wanted: Callable[[], bool],
        post: Callable[[Event], None],
    ) -> None:
        """Store a batch; try again until it is stored or refused for good.

        :param is_wanted: returns whether the batch may still be stored.
        :param post: called when the progress is stored, and with the outcome.
        """
        self._executor.submit(self._commit_now, batch, is_wanted, post)

    def close(self) -> None:
        """Wait for the batch that is being stored."""
        self._executor.shutdown()

    def _commit_now(
        self,
        batch: Batch,
        is_wanted: Callable[[], bool],
        post: Callable[[Event], None],
    ) -> None:
        outcome: Result[int, Failure] = Err(
            not_run(FailureCode.SHUTTING_DOWN, "this instance is stopping")
        )
        sent_ms = self._clock.now_ms()
        while is_wanted():
            sent_ms = self._clock.now_ms()
            outcome = self._leadership.commit(
                batch,
                lambda: post(ProgressStored(self._leadership.refused_keys())),
            )
            if isinstance(outcome, Ok):
                break
            if outcome.err_value.code in _PERMANENT_CODES:
                break
            time.sleep(RETRY_DELAY_MS / 1000)
        post(Committed(outcome, sent_ms))
