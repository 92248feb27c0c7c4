"""Group commit: appends queued record entries to the log in batches."""

from __future__ import annotations

import threading

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from magnoliapitch.journal.codec import encode_batch
from magnoliapitch.journal.pending_record_entry import PendingRecordEntry
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliapitch.journal.log import PlatformLog
    from magnoliapitch.journal.record import RecordEntry
    from magnoliapitch.journal.state_machine import RecordOutcome
    from magnoliapitch.journal.token_bucket import TokenBucket


BATCH_MAX_ENTRIES = 500
BATCH_MAX_BYTES = 65_536
ENTRY_MAX_BYTES = 1 << 20
QUEUE_MAX_ENTRIES = 20_000
IDLE_WAIT_MS = 20
RETRY_WAIT_MS = 100


class Batch(NamedTuple):
    """Record entries that are appended as one log record.

    :param seq: sequence number among the writer's records, from 1.
    :param base: the writer's next offset to apply when the batch was
        formed.
    :param data: the encoded record.
    :param pending: the record entries, in order.
    """

    seq: int
    base: int
    data: bytes
    pending: tuple[PendingRecordEntry, ...]


class Appender:
    """Appends queued record entries, one batch at a time.

    A batch that may have been appended is retried unchanged until the log
    confirms it or it is read back from the log. Only then the next batch
    is formed, so that sequence numbers reach the log in order. A batch
    that was certainly not appended returns to the queue, unless the log
    calls it invalid; then its entries fail.

    :param writer: incarnation that is written into the records.
    :param budget: limits the rate of appends.
    :param next_offset: returns the next offset to apply.
    :ivar appends: number of attempted appends, including retries.
    :ivar entries: number of record entries in them.
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
        self._condition = threading.Condition()
        self._queue: deque[PendingRecordEntry] = deque()
        self._batch: Batch | None = None
        self._may_be_appended = False
        self._seq = 0
        self._sent_by_seq: dict[int, Batch] = {}
        self._offset_by_seq: dict[int, int] = {}
        self.appends = 0
        self.entries = 0

    def enqueue(self, entry: RecordEntry) -> PendingRecordEntry:
        """Queue a record entry for one of the next batches.

        :return: the queued entry; it has failed already if the entry is
            too large or the queue is full.
        """
        pending = PendingRecordEntry(entry, self._withdraw)
        size_bytes = len(pending.data)
        if size_bytes > ENTRY_MAX_BYTES:
            detail = (
                f"the record entry has {size_bytes} bytes; at most "
                f"{ENTRY_MAX_BYTES} are allowed"
            )
            pending.resolve(Err(not_run(FailureCode.INVALID, detail)))
            return pending
        with self._condition:
            if len(self._queue) >= QUEUE_MAX_ENTRIES:
                detail = "the queue of record entries for the log is full"
                pending.resolve(
                    Err(not_run(FailureCode.OVERLOADED, detail, RETRY_WAIT_MS))
                )
                return pending
            self._queue.append(pending)
            self._condition.notify_all()
        return pending

    def step(self, wait_ms: int = 0) -> int:
        """Append one batch if there is one and the rate limit allows it.

        :param wait_ms: milliseconds to wait for a first entry.
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
        return self._handle_append_outcome(batch, self._log.append(batch.data))

    def resolve_applied(self, outcome: RecordOutcome) -> None:
        """Resolve the entries of an applied record of this writer.

        Records of other writers and duplicates are ignored.
        """
        if outcome.writer != self._writer or outcome.is_duplicate:
            return
        with self._condition:
            batch = self._remove_sent(outcome.seq)
        if batch is None:
            return
        for item, entry_outcome in zip(
            batch.pending, outcome.outcomes, strict=False
        ):
            item.resolve(Ok(entry_outcome))

    def resolve_skipped(self, next_offset: int, applied_seq: int) -> None:
        """Resolve sent entries that an installed snapshot may cover.

        Their outcomes are unknown, since their records will not be read.

        :param next_offset: offset of the first record that the snapshot
            does not cover.
        :param applied_seq: sequence number of this writer's newest record
            in the snapshot, 0 if there is none.
        """
        unresolved: list[PendingRecordEntry] = []
        with self._condition:
            for seq, batch in tuple(self._sent_by_seq.items()):
                offset = self._offset_by_seq.get(seq)
                if offset is not None and offset >= next_offset:
                    continue
                unresolved += batch.pending
                if offset is not None or seq <= applied_seq:
                    self._remove_sent(seq)
        _resolve_unknown(unresolved)

    def queued(self) -> int:
        """Return the number of entries that are in no batch yet."""
        with self._condition:
            return len(self._queue)

    def has_unsent(self) -> bool:
        """Return whether entries wait to be appended or confirmed."""
        with self._condition:
            return bool(self._queue) or self._batch is not None

    def _has_work(self, wait_ms: int) -> bool:
        with self._condition:
            if wait_ms and not self.has_unsent():
                self._condition.wait(wait_ms / 1000)
            return self.has_unsent()

    def _next_batch(self) -> Batch | None:
        base = self._next_offset()
        with self._condition:
            if self._batch is not None or not self._queue:
                return self._batch
            pending = self._pop_queue()
            self._seq += 1
            data = encode_batch(
                [item.data for item in pending], self._writer, self._seq, base
            )
            self._batch = Batch(self._seq, base, data, pending)
            self._may_be_appended = False
            self._sent_by_seq[self._seq] = self._batch
            return self._batch

    def _pop_queue(self) -> tuple[PendingRecordEntry, ...]:
        pending = [self._queue.popleft()]
        size_bytes = len(pending[0].data)
        while self._queue and len(pending) < BATCH_MAX_ENTRIES:
            size_bytes += len(self._queue[0].data)
            if size_bytes > BATCH_MAX_BYTES:
                break
            pending.append(self._queue.popleft())
        return tuple(pending)

    def _handle_append_outcome(
        self, batch: Batch, outcome: Result[int, Failure]
    ) -> int:
        next_offset = self._next_offset()
        with self._condition:
            if self._batch is not batch:
                return 0
            if isinstance(outcome, Ok):
                self._batch = None
                self._offset_by_seq[batch.seq] = outcome.ok_value
                if outcome.ok_value >= next_offset:
                    return 0
                self._remove_sent(batch.seq)
            else:
                return self._handle_failure(batch, outcome.err_value)
        _resolve_unknown(batch.pending)
        return 0

    def _handle_failure(self, batch: Batch, failure: Failure) -> int:
        if failure.verdict is not Verdict.NOT_RUN:
            self._may_be_appended = True
        if not self._may_be_appended:
            self._discard_batch(batch, failure)
        return failure.retry_after_ms or RETRY_WAIT_MS

    def _discard_batch(self, batch: Batch, failure: Failure) -> None:
        """Drop a batch that is not in the log; reuse its sequence number.

        Its entries fail if the log calls the batch invalid, else they
        return to the head of the queue.
        """
        self._batch = None
        self._seq -= 1
        del self._sent_by_seq[batch.seq]
        if failure.code is FailureCode.INVALID:
            for item in batch.pending:
                item.resolve(Err(failure))
            return
        self._queue.extendleft(reversed(batch.pending))

    def _remove_sent(self, seq: int) -> Batch | None:
        if self._batch is not None and self._batch.seq == seq:
            self._batch = None
        self._offset_by_seq.pop(seq, None)
        return self._sent_by_seq.pop(seq, None)

    def _withdraw(self, pending: PendingRecordEntry) -> bool:
        with self._condition:
            try:
                self._queue.remove(pending)
            except ValueError:
                return False
            return True


def _resolve_unknown(pending: Iterable[PendingRecordEntry]) -> None:
    """Fail entries whose outcome is unknown because of a snapshot."""
    detail = (
        "a snapshot was loaded in place of the record, so its outcome is "
        "unknown"
    )
    for item in pending:
        item.resolve(Err(may_have_run(FailureCode.TRUNCATED, detail)))
