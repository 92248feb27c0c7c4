"""Group commit: one append to the store for the records of many callers."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.event import log_event
from magnoliapitch.ledger.record_calls import leading_count
from magnoliapitch.ledger.stream import MAX_KEY_BYTES
from magnoliapitch.ledger.stream import MAX_RECORD_BYTES
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.ledger.stream import Writer
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.health import StoreHealth
    from magnoliapitch.ledger.stream import KeyedStreams


APPEND_TIMEOUT_MS = 800
RETRY_DELAY_MS = 60
# The delay doubles with each failure, so that many instances together do not
# reach the store's limit of calls. After an outage it bounds the wait.
MAX_RETRY_DELAY_MS = 400
# The store carries out the appends of a stream one after the other. When one
# takes this long, a single instance should make them for all.
SLOW_APPEND_MS = 150
# How long the store counts as slow after such an append.
SLOW_PERIOD_MS = 1_500
MAX_BATCH_RECORDS = 128
MAX_QUEUED_RECORDS = 2_000
RETRY_AFTER_MS = 1_000


class _PendingAppend:
    def __init__(self, record: KeyedRecord, deadline_ms: int) -> None:
        self.record = record
        self.deadline_ms = deadline_ms
        self.is_sent = False
        self.outcome: Result[None, Failure] | None = None


class Submitter:
    """Appends the records of many callers in batches, each batch once.

    :param stream: stream to append to.
    :param producer: name for deduplication, unique for each process.
    :param on_stored: called with the records of each append that was stored,
        and with the offset of the first, before their callers are answered.
    :param has_other_way: returns whether callers can store their records in
        another way while the store does not answer this instance. They then
        do not wait for a batch whose answer was lost, which is still sent
        again until it is answered.
    """

    def __init__(
        self,
        streams: KeyedStreams,
        stream: str,
        producer: str,
        clock: Clock,
        health: StoreHealth,
        has_other_way: Callable[[], bool] = lambda: False,
        on_stored: Callable[[Sequence[KeyedRecord], int], None] = (
            lambda *_: None
        ),
    ) -> None:
        self._streams = streams
        self._stream = stream
        self._writer = Writer(producer, 1, 1)
        self._clock = clock
        self._health = health
        self._has_other_way = has_other_way
        self._on_stored = on_stored
        self._condition = threading.Condition()
        self._queued: list[_PendingAppend] = []
        self._batch: list[_PendingAppend] = []
        # Parts of a batch that the store has refused as a whole.
        self._parts: list[list[_PendingAppend]] = []
        # Whether the current batch may have been stored by a failed append.
        self._may_be_stored = False
        self._consecutive_failures = 0
        self._sent_ms: int | None = None
        self._slow_until_ms = 0

    def append(
        self, record: KeyedRecord, timeout_ms: int
    ) -> Result[None, Failure]:
        """Store a record and wait for the outcome.

        :param timeout_ms: how long to wait; after that, the failure tells
            whether the record may still be stored.
        """
        if not 0 < len(record.key.encode()) <= MAX_KEY_BYTES:
            # It would fail every append of its batch.
            return Err(_invalid_key(record.key))
        if record.size_bytes > MAX_RECORD_BYTES:
            return Err(_too_large(record))
        pending = _PendingAppend(record, self._clock.now_ms() + timeout_ms)
        with self._condition:
            if self._health.is_down():
                return Err(_store_unavailable())
            if len(self._queued) >= MAX_QUEUED_RECORDS:
                return Err(_overloaded())
            self._queued.append(pending)
            self._condition.notify_all()
            while pending.outcome is None:
                remaining_ms = pending.deadline_ms - self._clock.now_ms()
                if remaining_ms <= 0:
                    return Err(self._time_out(pending))
                self._condition.wait(remaining_ms / 1000)
        return pending.outcome

    def is_slow(self) -> bool:
        """Return whether the store takes long for this instance's appends."""
        now_ms = self._clock.now_ms()
        sent_ms = self._sent_ms
        if sent_ms is not None and now_ms - sent_ms >= SLOW_APPEND_MS:
            return True
        return now_ms < self._slow_until_ms

    def step(self) -> int:
        """Append the current batch, or a new one of the queued records.

        :return: pause until the next call, in milliseconds.
        """
        if not self._batch:
            self._batch = self._next_batch()
        if not self._batch:
            return 0
        return self._append_batch()

    def _next_batch(self) -> list[_PendingAppend]:
        """Return the records of the next append; none if there are none."""
        if self._parts:
            return self._parts.pop(0)
        with self._condition:
            if not self._queued:
                self._condition.wait(0.5)
            if not self._queued:
                return []
            batch = self._queued[:MAX_BATCH_RECORDS]
            batch = batch[: leading_count(item.record for item in batch)]
            del self._queued[: len(batch)]
            for pending in batch:
                pending.is_sent = True
        return batch

    def _append_batch(self) -> int:
        sent_ms = self._sent_ms = self._clock.now_ms()
        records = [pending.record for pending in self._batch]
        outcome = self._streams.append(
            self._stream, records, self._writer, timeout_ms=APPEND_TIMEOUT_MS
        )
        self._record_duration(sent_ms)
        if isinstance(outcome, Ok):
            self._consecutive_failures = 0
            self._health.note_success(sent_ms)
            self._writer = self._writer._replace(
                sequence=self._writer.sequence + 1
            )
            self._may_be_stored = False
            self._on_stored(records, outcome.ok_value.offset)
            self._resolve(self._batch, Ok(None))
            self._batch = []
            return 0
        failure = outcome.err_value
        if failure.code in (FailureCode.SEQUENCE, FailureCode.FENCED):
            # Begin a new epoch and append the batch again: the records are
            # keyed, so that a duplicate does no harm.
            self._writer = Writer(
                self._writer.producer, self._writer.epoch + 1, 1
            )
            return 0
        if failure.code is FailureCode.INVALID:
            self._health.note_success(sent_ms)
            self._handle_invalid_batch(failure)
            return 0
        self._health.note_failure(failure)
        if failure.verdict is not Verdict.NOT_RUN:
            self._may_be_stored = True
        self._refuse_unsent()
        delay_ms = RETRY_DELAY_MS << min(self._consecutive_failures, 8)
        self._consecutive_failures += 1
        return min(delay_ms, MAX_RETRY_DELAY_MS)

    def _handle_invalid_batch(self, failure: Failure) -> None:
        """Refuse a record that the store refuses, and no other.

        A batch of several is divided until that one is found.
        """
        batch, self._batch = self._batch, []
        middle = len(batch) // 2
        if middle:
            self._parts[:0] = [batch[:middle], batch[middle:]]
            return
        record = batch[0].record
        log_event(
            "record-refused",
            key=record.key,
            bytes=record.size_bytes,
            reason=failure.detail,
        )
        outcome = _unanswered() if self._may_be_stored else _refused(failure)
        self._may_be_stored = False
        self._resolve(batch, Err(outcome))

    def _record_duration(self, sent_ms: int) -> None:
        now_ms = self._clock.now_ms()
        self._sent_ms = None
        if now_ms - sent_ms >= SLOW_APPEND_MS:
            self._slow_until_ms = now_ms + SLOW_PERIOD_MS

    def _refuse_unsent(self) -> None:
        """Refuse records that are certainly not stored if the store is down.

        Otherwise their callers would wait until their timeouts.
        """
        if not self._health.is_down():
            return
        refusal: Result[None, Failure] = Err(_store_unavailable())
        with self._condition:
            unsent, self._queued = self._queued, []
            self._resolve(unsent, refusal)
        if not self._may_be_stored:
            batch, self._batch = self._batch, []
            parts, self._parts = self._parts, []
            for unsent in (batch, *parts):
                self._resolve(unsent, refusal)
        elif self._has_other_way():
            self._resolve(self._batch, Err(_unanswered()))

    def _resolve(
        self,
        pending_appends: list[_PendingAppend],
        outcome: Result[None, Failure],
    ) -> None:
        with self._condition:
            for pending in pending_appends:
                pending.outcome = outcome
            self._condition.notify_all()

    def _time_out(self, pending: _PendingAppend) -> Failure:
        if not pending.is_sent:
            self._queued.remove(pending)
            return _store_unavailable()
        return _unanswered()


def _unanswered() -> Failure:
    return may_have_run(
        FailureCode.TIMEOUT,
        "the store has not answered in time; the record may still be stored",
    )


def _store_unavailable() -> Failure:
    return not_run(
        FailureCode.UNAVAILABLE,
        "the store does not answer; the record was not stored",
        RETRY_AFTER_MS,
    )


def _invalid_key(key: str) -> Failure:
    return not_run(
        FailureCode.INVALID,
        f"the key {key[:80]!r} of the record does not have 1 to "
        f"{MAX_KEY_BYTES} bytes; the record was not stored",
    )


def _too_large(record: KeyedRecord) -> Failure:
    return not_run(
        FailureCode.INVALID,
        f"the record has {record.size_bytes} bytes with its key; at most "
        f"{MAX_RECORD_BYTES} are allowed; the record was not stored",
    )


def _refused(failure: Failure) -> Failure:
    return not_run(
        FailureCode.INVALID,
        f"the store has refused the record, which was not stored: "
        f"{failure.detail}",
    )


def _overloaded() -> Failure:
    return not_run(
        FailureCode.OVERLOADED,
        f"{MAX_QUEUED_RECORDS} records already wait for the store; the record "
        "was not stored",
        RETRY_AFTER_MS,
    )
