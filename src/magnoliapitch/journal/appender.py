"""Group commit to the platform's log."""

from __future__ import annotations

import threading

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from magnoliapitch.journal.codec import encode_batch
from magnoliapitch.journal.pending_entry import Pending
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliapitch.journal.token_bucket import TokenBucket
    from magnoliapitch.journal.state_machine import RecordOutcome
    from magnoliapitch.journal.log import PlatformLog
    from magnoliapitch.journal.record import RecordEntry


BATCH_ENTRIES_MAX = 500
BATCH_MAX_BYTES = 65_536
ENTRY_MAX_BYTES = 1 << 20
QUEUE_ENTRIES_MAX = 20_000
IDLE_WAIT_MS = 20
RETRY_WAIT_MS = 100


class Batch(NamedTuple):
    """The entries of one record.

    :param base: offset that the writer had applied when it was formed.
    """

    seq: int
    base: int
    data: bytes
    pending: tuple[Pending, ...]


class Appender:
    """Appends queued entries, one batch at a time.

    A batch whose answer was lost is repeated unchanged until the log or
    the fold confirms it; only then is the next one formed, so that
    sequence numbers reach the log in order. A batch that the log refused
    each time dissolves into the queue again.

    :ivar appends: appends that were tried.
    :ivar entries: entries in them.
    """

    def __init__(
        self,
        log: PlatformLog,
        writer: str,
        budget: TokenBucket,
        next_offset: Callable[[], int],
    ) -> None:
        self._log = log
        self._writer = writer
        self._budget = budget
        self._next_offset = next_offset
        self._changed = threading.Condition()
        self._queue: deque[Pending] = deque()
        self._batch: Batch | None = None
        self._is_ambiguous = False
        self._seq = 0
        self._sent_by_seq: dict[int, Batch] = {}
        self._offset_by_seq: dict[int, int] = {}
        self.appends = 0
        self.entries = 0

    def enqueue(self, entry: RecordEntry) -> Pending:
        """Queue an entry for the next group commit."""
        pending = Pending(entry, self._withdraw)
        size_bytes = len(pending.data)
        if size_bytes > ENTRY_MAX_BYTES:
            detail = f"{size_bytes} bytes; {ENTRY_MAX_BYTES} are allowed"
            pending.resolve(Err(not_run(FailureCode.INVALID, detail)))
            return pending
        with self._changed:
            if len(self._queue) >= QUEUE_ENTRIES_MAX:
                detail = "the queue to the log is full"
                pending.resolve(
                    Err(not_run(FailureCode.OVERLOADED, detail, RETRY_WAIT_MS))
                )
                return pending
            self._queue.append(pending)
            self._changed.notify_all()
        return pending

    def step(self, wait_ms: int = 0) -> int:
        """Append one batch if there is one and the budget allows it.

        :param wait_ms: how long to wait for a first entry.
        :return: milliseconds to wait before the next step.
        """
        if not self._has_work(wait_ms):
            return 0 if wait_ms else IDLE_WAIT_MS
        delay_ms = self._budget.take()
        if delay_ms:
            return delay_ms
        batch = self._next_batch()
        if batch is None:
            return 0
        self.appends += 1
        self.entries += len(batch.pending)
        return self._conclude(batch, self._log.append(batch.data))

    def settle(self, outcome: RecordOutcome) -> None:
        """Resolve the entries of an own record that was folded."""
        if outcome.writer != self._writer or outcome.repeated:
            return
        with self._changed:
            batch = self._take_sent(outcome.seq)
        if batch is None:
            return
        for item, result in zip(batch.pending, outcome.outcomes, strict=False):
            item.resolve(Ok(result))

    def skip_to(self, next_offset: int, folded_seq: int) -> None:
        """Settle what a snapshot hides; its outcomes are unknown.

        :param next_offset: offset of the first record after the snapshot.
        :param folded_seq: own sequence number within the snapshot.
        """
        hidden: list[Pending] = []
        with self._changed:
            for seq, batch in tuple(self._sent_by_seq.items()):
                offset = self._offset_by_seq.get(seq)
                if offset is not None and offset >= next_offset:
                    continue
                hidden += batch.pending
                if offset is not None or seq <= folded_seq:
                    self._take_sent(seq)
        _resolve_hidden(hidden)

    def queued(self) -> int:
        """Return the number of entries that were not sent yet."""
        with self._changed:
            return len(self._queue)

    def has_unsent(self) -> bool:
        """Return whether anything waits to be appended or confirmed."""
        with self._changed:
            return bool(self._queue) or self._batch is not None

    def _has_work(self, wait_ms: int) -> bool:
        with self._changed:
            if wait_ms and not self.has_unsent():
                self._changed.wait(wait_ms / 1000)
            return self.has_unsent()

    def _next_batch(self) -> Batch | None:
        base = self._next_offset()
        with self._changed:
            if self._batch is not None or not self._queue:
                return self._batch
            pending = self._pop_queue()
            self._seq += 1
            data = encode_batch(
                [item.data for item in pending], self._writer, self._seq, base
            )
            self._batch = Batch(self._seq, base, data, pending)
            self._is_ambiguous = False
            self._sent_by_seq[self._seq] = self._batch
            return self._batch

    def _pop_queue(self) -> tuple[Pending, ...]:
        pending = [self._queue.popleft()]
        size_bytes = len(pending[0].data)
        while self._queue and len(pending) < BATCH_ENTRIES_MAX:
            size_bytes += len(self._queue[0].data)
            if size_bytes > BATCH_MAX_BYTES:
                break
            pending.append(self._queue.popleft())
        return tuple(pending)

    def _conclude(self, batch: Batch, answer: Result[int, Failure]) -> int:
        next_offset = self._next_offset()
        with self._changed:
            if self._batch is not batch:
                return 0
            if isinstance(answer, Ok):
                self._batch = None
                self._offset_by_seq[batch.seq] = answer.ok_value
                if answer.ok_value >= next_offset:
                    return 0
                self._take_sent(batch.seq)
            else:
                return self._retry_later(batch, answer.err_value)
        _resolve_hidden(batch.pending)
        return 0

    def _retry_later(self, batch: Batch, failure: Failure) -> int:
        if failure.verdict is not Verdict.NOT_RUN:
            self._is_ambiguous = True
        if not self._is_ambiguous:
            self._dissolve(batch, failure)
        return failure.retry_after_ms or RETRY_WAIT_MS

    def _dissolve(self, batch: Batch, failure: Failure) -> None:
        self._batch = None
        self._seq -= 1
        del self._sent_by_seq[batch.seq]
        if failure.code is FailureCode.INVALID:
            for item in batch.pending:
                item.resolve(Err(failure))
            return
        self._queue.extendleft(reversed(batch.pending))

    def _take_sent(self, seq: int) -> Batch | None:
        if self._batch is not None and self._batch.seq == seq:
            self._batch = None
        self._offset_by_seq.pop(seq, None)
        return self._sent_by_seq.pop(seq, None)

    def _withdraw(self, pending: Pending) -> bool:
        with self._changed:
            try:
                self._queue.remove(pending)
            except ValueError:
                return False
            return True


def _resolve_hidden(pending: Iterable[Pending]) -> None:
    detail = "the record left the log before it was read"
    for item in pending:
        item.resolve(Err(may_have_run(FailureCode.TRUNCATED, detail)))
