"""Record entry that waits until it is appended and applied."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Result

from magnoliapitch.journal.codec import encode_entry
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.journal.record import RecordEntry
    from magnoliapitch.journal.state_machine import RecordEntryOutcome
    from magnoliapitch.verdict import Failure


class PendingRecordEntry:
    """Queued record entry and its future outcome.

    :param withdraw: removes the entry from the queue; returns false if it
        is not in the queue any more.
    :ivar entry: the record entry.
    :ivar data: the encoded record entry.
    :ivar outcome: result of applying the entry or the failure to append
        it; ``None`` while neither is known.
    """

    def __init__(
        self,
        entry: RecordEntry,
        withdraw: Callable[[PendingRecordEntry], bool] | None = None,
    ) -> None:
        self.entry = entry
        self.data = encode_entry(entry)
        self.outcome: Result[RecordEntryOutcome, Failure] | None = None
        self._withdraw = withdraw
        self._done = threading.Event()

    def resolve(self, outcome: Result[RecordEntryOutcome, Failure]) -> None:
        """Set the outcome and wake the waiter; later calls do nothing."""
        if self.outcome is None:
            self.outcome = outcome
            self._done.set()

    def wait(self, timeout_ms: int) -> Result[RecordEntryOutcome, Failure]:
        """Wait until the entry is applied or its append has failed.

        :param timeout_ms: milliseconds to wait at most.
        :return: the outcome; after the timeout a failure with the verdict
            ``not_run`` if the entry was withdrawn before it was sent, else
            ``may_have_run``.
        """
        self._done.wait(timeout_ms / 1000)
        if self.outcome is not None:
            return self.outcome
        if self._withdraw is not None and self._withdraw(self):
            failure = not_run(
                FailureCode.TIMEOUT,
                "the record entry was not sent to the log in time and was "
                "withdrawn",
            )
            self.resolve(Err(failure))
            return Err(failure)
        if self.outcome is not None:
            return self.outcome
        return Err(
            may_have_run(
                FailureCode.TIMEOUT,
                "the record entry was sent to the log, but its outcome was "
                "not known in time",
            )
        )
