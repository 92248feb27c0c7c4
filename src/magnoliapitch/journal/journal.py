"""Group commit to the platform's log, and following it."""

from __future__ import annotations

import threading

from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from magnoliapitch.journal import handler as _handler  # noqa: F401
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.fold import EntryOutcome
from magnoliapitch.journal.fold import RecordOutcome
from magnoliapitch.journal.fold import apply_record
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.record import RecordEntry
    from magnoliapitch.platform.log import LogRecord
    from magnoliapitch.platform.log import PlatformLog


READ_LIMIT = 1_000
BATCH_ENTRIES_MAX = 500
QUEUE_ENTRIES_MAX = 20_000
IDLE_WAIT_MS = 20
RETRY_WAIT_MS = 100


class Pending:
    """An entry that waits to be appended and folded."""

    def __init__(self, entry: RecordEntry) -> None:
        self.entry = entry
        self.outcome: Result[EntryOutcome, Failure] | None = None
        self._done = threading.Event()

    def resolve(self, outcome: Result[EntryOutcome, Failure]) -> None:
        """Set the outcome once."""
        if self.outcome is None:
            self.outcome = outcome
            self._done.set()

    def wait(self, timeout_ms: int) -> Result[EntryOutcome, Failure]:
        """Wait for the outcome in the fold.

        :return: ``may_have_run`` if it is not known in time.
        """
        self._done.wait(timeout_ms / 1000)
        if self.outcome is not None:
            return self.outcome
        return Err(
            may_have_run(FailureCode.TIMEOUT, "the log has not confirmed")
        )


class _Batch(NamedTuple):
    seq: int
    data: bytes
    pending: tuple[Pending, ...]


class Journal:
    """Shared state and the way to change it.

    ``append_step`` and ``follow_step`` are each driven by one thread, or
    by a test.
    """

    def __init__(
        self, log: PlatformLog, incarnation: str, clock: Clock
    ) -> None:
        self.incarnation = incarnation
        self._log = log
        self._clock = clock
        self._lock = threading.RLock()
        self._read = threading.Condition()
        self._state = ClusterState()
        self._queue: deque[Pending] = deque()
        self._batch: _Batch | None = None
        self._seq = 0
        self._in_flight_by_seq: dict[int, tuple[Pending, ...]] = {}
        self.last_read_ms: int | None = None

    @contextmanager
    def reading(self) -> Iterator[ClusterState]:
        """Hold the state still while it is read; never block inside."""
        with self._lock:
            yield self._state

    def enqueue(self, entry: RecordEntry) -> Pending:
        """Queue an entry for the next group commit."""
        pending = Pending(entry)
        with self._lock:
            if len(self._queue) >= QUEUE_ENTRIES_MAX:
                pending.resolve(
                    Err(
                        not_run(
                            FailureCode.OVERLOADED,
                            "the queue to the log is full",
                            RETRY_WAIT_MS,
                        )
                    )
                )
                return pending
            self._queue.append(pending)
        return pending

    def commit(
        self, entry: RecordEntry, timeout_ms: int
    ) -> Result[EntryOutcome, Failure]:
        """Append an entry and wait until the fold has applied it."""
        return self.enqueue(entry).wait(timeout_ms)

    def append_step(self) -> int:
        """Append one batch; repeat it unchanged until it is confirmed.

        :return: milliseconds to wait before the next step.
        """
        batch = self._next_batch()
        if batch is None:
            return IDLE_WAIT_MS
        outcome = self._log.append(batch.data)
        if isinstance(outcome, Ok):
            self._batch = None
            return 0
        if outcome.err_value.verdict is Verdict.NOT_RUN:
            return outcome.err_value.retry_after_ms or RETRY_WAIT_MS
        return RETRY_WAIT_MS

    def follow_step(self, wait_ms: int = 0) -> int:
        """Read and apply new records.

        :return: milliseconds to wait before the next step.
        """
        started_ms = self._clock.now_ms()
        outcome = self._log.read(self._state.next_offset, READ_LIMIT, wait_ms)
        if isinstance(outcome, Err):
            return RETRY_WAIT_MS
        self.apply(outcome.ok_value.records)
        if outcome.ok_value.head <= self._state.next_offset:
            with self._read:
                self.last_read_ms = started_ms
                self._read.notify_all()
        return 0 if outcome.ok_value.records else IDLE_WAIT_MS

    def wait_fresh(self, timeout_ms: int) -> bool:
        """Wait for a read of the whole log that started after this call.

        :return: whether the state holds all that was appended before.
        """
        now_ms = self._clock.now_ms()

        def is_fresh() -> bool:
            return self.last_read_ms is not None and (
                self.last_read_ms > now_ms
            )

        with self._read:
            return self._read.wait_for(is_fresh, timeout_ms / 1000)

    def apply(self, records: tuple[LogRecord, ...]) -> None:
        """Apply records from the log or a peer; known ones are skipped."""
        with self._lock:
            for record in records:
                if record.offset == self._state.next_offset:
                    self._settle(apply_record(self._state, record))

    def dump(self) -> dict[str, object]:
        """Return the journal's part of the state dump."""
        with self._lock:
            return {
                "next_offset": self._state.next_offset,
                "queued": len(self._queue),
                "skipped_records": self._state.skipped_records,
                "catalogue": sorted(self._state.catalogue_by_name),
                "claims": [
                    claim._asdict()
                    for claim in self._state.claims_by_unit.values()
                ],
                "jobs": len(self._state.jobs_by_id),
            }

    def _next_batch(self) -> _Batch | None:
        with self._lock:
            if self._batch is not None or not self._queue:
                return self._batch
            count = min(len(self._queue), BATCH_ENTRIES_MAX)
            pending = tuple(self._queue.popleft() for _ in range(count))
            self._seq += 1
            entries = tuple(item.entry for item in pending)
            data = encode_record(entries, self.incarnation, self._seq)
            self._batch = _Batch(self._seq, data, pending)
            self._in_flight_by_seq[self._seq] = pending
            return self._batch

    def _settle(self, outcome: RecordOutcome) -> None:
        if outcome.writer != self.incarnation or outcome.repeated:
            return
        pending = self._in_flight_by_seq.pop(outcome.seq, ())
        for item, result in zip(pending, outcome.outcomes, strict=True):
            item.resolve(Ok(result))
