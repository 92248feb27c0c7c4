"""An entry that waits to be appended and folded."""

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

    from magnoliapitch.journal.state_machine import EntryOutcome
    from magnoliapitch.journal.record import RecordEntry
    from magnoliapitch.verdict import Failure


class Pending:
    """Handle of a queued entry.

    :ivar data: the entry as it will stand in its record.
    :ivar outcome: what became of it, once that is known.
    """

    def __init__(
        self,
        entry: RecordEntry,
        withdraw: Callable[[Pending], bool] | None = None,
    ) -> None:
        self.entry = entry
        self.data = encode_entry(entry)
        self.outcome: Result[EntryOutcome, Failure] | None = None
        self._withdraw = withdraw
        self._done = threading.Event()

    def resolve(self, outcome: Result[EntryOutcome, Failure]) -> None:
        """Set the outcome once."""
        if self.outcome is None:
            self.outcome = outcome
            self._done.set()

    def wait(self, timeout_ms: int) -> Result[EntryOutcome, Failure]:
        """Wait for the outcome in the fold.

        :return: when it is not known in time: ``not_run`` if the entry
            was withdrawn before it was sent, else ``may_have_run``.
        """
        self._done.wait(timeout_ms / 1000)
        if self.outcome is not None:
            return self.outcome
        if self._withdraw is not None and self._withdraw(self):
            failure = not_run(
                FailureCode.TIMEOUT, "the entry was not sent to the log"
            )
            self.resolve(Err(failure))
            return Err(failure)
        if self.outcome is not None:
            return self.outcome
        return Err(
            may_have_run(FailureCode.TIMEOUT, "the log has not confirmed")
        )
