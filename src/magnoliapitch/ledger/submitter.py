"""Group commit of records that callers wait for."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.ledger.stream import Writer
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.health import StoreHealth
    from magnoliapitch.ledger.stream import KeyedStreams


APPEND_TIMEOUT_MS = 800
RETRY_PAUSE_MS = 60
BATCH_MAX_RECORDS = 128
WAITING_MAX_RECORDS = 2_000
RETRY_AFTER_MS = 1_000


class _Entry:
    def __init__(self, record: KeyedRecord, deadline_ms: int) -> None:
        self.record = record
        self.deadline_ms = deadline_ms
        self.is_sent = False
        self.outcome: Result[None, Failure] | None = None


class Submitter:
    """Appends records of many callers together, each batch once.

    :param producer: unique for each start of an instance.
    """

    def __init__(
        self,
        streams: KeyedStreams,
        stream: str,
        producer: str,
        clock: Clock,
        health: StoreHealth,
    ) -> None:
        self._streams = streams
        self._stream = stream
        self._writer = Writer(producer, 1, 1)
        self._clock = clock
        self._health = health
        self._condition = threading.Condition()
        self._waiting: list[_Entry] = []
        self._batch: list[_Entry] = []
        # Whether an append of the batch may have reached the store.
        self._is_unsure = False

    def append(
        self, record: KeyedRecord, timeout_ms: int
    ) -> Result[None, Failure]:
        """Store a record; return when its fate is known or time is up."""
        entry = _Entry(record, self._clock.now_ms() + timeout_ms)
        with self._condition:
            if self._health.is_down():
                return Err(_store_down())
            if len(self._waiting) >= WAITING_MAX_RECORDS:
                return Err(_overloaded())
            self._waiting.append(entry)
            self._condition.notify_all()
            while entry.outcome is None:
                left_ms = entry.deadline_ms - self._clock.now_ms()
                if left_ms <= 0:
                    return Err(self._give_up(entry))
                self._condition.wait(left_ms / 1000)
        return entry.outcome

    def step(self) -> int:
        """Append what waits; return milliseconds until the next call."""
        with self._condition:
            if not self._batch:
                if not self._waiting:
                    self._condition.wait(0.5)
                self._batch = self._waiting[:BATCH_MAX_RECORDS]
                del self._waiting[:BATCH_MAX_RECORDS]
                for entry in self._batch:
                    entry.is_sent = True
        if not self._batch:
            return 0
        return self._append_batch()

    def _append_batch(self) -> int:
        sent_ms = self._clock.now_ms()
        outcome = self._streams.append(
            self._stream,
            [entry.record for entry in self._batch],
            self._writer,
            timeout_ms=APPEND_TIMEOUT_MS,
        )
        if isinstance(outcome, Ok):
            self._health.note_success(sent_ms)
            self._writer = self._writer._replace(
                sequence=self._writer.sequence + 1
            )
            self._is_unsure = False
            self._resolve(self._batch, Ok(None))
            self._batch = []
            return 0
        failure = outcome.err_value
        if failure.code in (FailureCode.SEQUENCE, FailureCode.FENCED):
            # Records are keyed, so that a second append does no harm.
            self._writer = Writer(
                self._writer.producer, self._writer.epoch + 1, 1
            )
            return 0
        self._health.note_failure(failure)
        if failure.verdict is not Verdict.NOT_RUN:
            self._is_unsure = True
        self._drop_unsent()
        return RETRY_PAUSE_MS

    def _drop_unsent(self) -> None:
        """Refuse at once what has certainly not reached the store."""
        if not self._health.is_down():
            return
        with self._condition:
            unsent, self._waiting = self._waiting, []
        refusal: Result[None, Failure] = Err(_store_down())
        self._resolve(unsent, refusal)
        if not self._is_unsure:
            batch, self._batch = self._batch, []
            self._resolve(batch, refusal)

    def _resolve(
        self, entries: list[_Entry], outcome: Result[None, Failure]
    ) -> None:
        with self._condition:
            for entry in entries:
                entry.outcome = outcome
            self._condition.notify_all()

    def _give_up(self, entry: _Entry) -> Failure:
        if not entry.is_sent:
            self._waiting.remove(entry)
            return _store_down()
        return may_have_run(
            FailureCode.TIMEOUT, "the store has not answered in time"
        )


def _store_down() -> Failure:
    return not_run(
        FailureCode.UNAVAILABLE, "the store does not answer", RETRY_AFTER_MS
    )


def _overloaded() -> Failure:
    return not_run(
        FailureCode.OVERLOADED, "too many records wait", RETRY_AFTER_MS
    )
