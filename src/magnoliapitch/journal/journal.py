"""The shared state and the way to change it."""

from __future__ import annotations

import threading

from contextlib import contextmanager
from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.event import log_event
from magnoliapitch.journal import handler as _handler  # noqa: F401
from magnoliapitch.journal.appender import Appender
from magnoliapitch.journal.token_bucket import TokenBucket
from magnoliapitch.journal.job_change import ChangeFeed
from magnoliapitch.journal.state_machine import apply_record
from magnoliapitch.journal.follower import READ_LIMIT
from magnoliapitch.journal.follower import Follower
from magnoliapitch.journal.snapshot import take_snapshot
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.tail import RecordTail


if TYPE_CHECKING:
    from collections.abc import Iterator

    from result import Result

    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.job_change import ChangedTask
    from magnoliapitch.journal.state_machine import EntryOutcome
    from magnoliapitch.journal.state_machine import RecordOutcome
    from magnoliapitch.journal.log import LogRecord
    from magnoliapitch.journal.log import PlatformLog
    from magnoliapitch.journal.pending_entry import Pending
    from magnoliapitch.journal.record import RecordEntry
    from magnoliapitch.peer.message import StateSnapshot
    from magnoliapitch.verdict import Failure


APPENDS_PER_S = 200
BURST_APPENDS = 10
REASON_MAX_CHARS = 200


class Journal:
    """Facade of appender, follower and fold.

    ``append_step`` and ``follow_step`` are each driven by one thread, or
    by a test.

    :ivar follower: reads the log; its ``source`` is set when peers exist.
    :ivar is_complete: whether the state may be served: it holds the whole
        history up to its offset, which is not behind any known one.
    :ivar last_read_ms: start of the last read that showed nothing newer.
    """

    def __init__(
        self,
        log: PlatformLog,
        incarnation: str,
        clock: Clock,
        appends_per_s: int = APPENDS_PER_S,
    ) -> None:
        self.incarnation = incarnation
        self.is_complete = False
        self.last_read_ms: int | None = None
        self._log = log
        self._appends_per_s = appends_per_s
        self._lock = threading.RLock()
        self._read = threading.Condition()
        self._state = ClusterState()
        self._tail = RecordTail()
        self._job_changes = ChangeFeed()
        self._budget = TokenBucket(appends_per_s, BURST_APPENDS, clock)
        self.appender = Appender(
            log, incarnation, self._budget, lambda: self.next_offset
        )
        self.follower = Follower(log, self, clock)

    @property
    def next_offset(self) -> int:
        """Offset of the next record to apply."""
        with self._lock:
            return self._state.next_offset

    @contextmanager
    def reading(self) -> Iterator[ClusterState]:
        """Hold the state still while it is read; never block inside."""
        with self._lock:
            yield self._state

    def enqueue(self, entry: RecordEntry) -> Pending:
        """Queue an entry for the next group commit."""
        return self.appender.enqueue(entry)

    def commit(
        self, entry: RecordEntry, timeout_ms: int
    ) -> Result[EntryOutcome, Failure]:
        """Append an entry and wait until the fold has applied it."""
        return self.enqueue(entry).wait(timeout_ms)

    def append_step(self, wait_ms: int = 0) -> int:
        """Append one batch within the own share of the budget.

        :return: milliseconds to wait before the next step.
        """
        with self._lock:
            members = self._state.members_by_incarnation.values()
            live = sum(not member.left for member in members)
        self._budget.rate_per_s = self._appends_per_s / max(live, 1)
        return self.appender.step(wait_ms)

    def has_unsent(self) -> bool:
        """Return whether any entry still waits to be appended."""
        return self.appender.has_unsent()

    def follow_step(self, wait_ms: int = 0) -> int:
        """Read and apply new records.

        :return: milliseconds to wait before the next step.
        """
        return self.follower.step(wait_ms)

    def wait_fresh(self, timeout_ms: int) -> bool:
        """Wait until all is applied that was appended before this call."""
        if self.follower.is_log_away:
            return False
        outcome = self._log.read(self.next_offset, READ_LIMIT)
        if isinstance(outcome, Err):
            return False
        self.apply(outcome.ok_value.records)
        head = outcome.ok_value.head
        with self._read:
            return self._read.wait_for(
                lambda: self.next_offset >= head, timeout_ms / 1000
            )

    def apply(self, records: tuple[LogRecord, ...]) -> None:
        """Apply records from the log or a peer; known ones are skipped."""
        with self._lock:
            for record in records:
                if record.offset == self._state.next_offset:
                    outcome = apply_record(self._state, record)
                    self._tail.add(record)
                    self.appender.settle(outcome)
                    self._job_changes.add(outcome)
                    _report(outcome)
        with self._read:
            self._read.notify_all()

    def install(self, state: ClusterState) -> bool:
        """Replace the state by a later one; offsets never go back."""
        with self._lock:
            if state.next_offset <= self._state.next_offset:
                return False
            self._state = state
            self._tail.clear()
            mark = state.marks_by_writer.get(self.incarnation)
            folded_seq = mark.seq if mark else 0
            self.appender.skip_to(state.next_offset, folded_seq)
        with self._read:
            self._read.notify_all()
        return True

    def take_job_changes(self) -> tuple[ChangedTask, ...]:
        """Return jobs and tasks changed since the last call.

        After :meth:`install` the whole state may have changed.
        """
        with self._lock:
            return self._job_changes.take()

    def mark_fresh(self, read_ms: int) -> None:
        """Note that a read which started then showed nothing newer."""
        self.last_read_ms = read_ms

    def mark_complete(self) -> None:
        """Note that the state may be served."""
        self.is_complete = True

    def page(self, from_offset: int, limit: int) -> tuple[LogRecord, ...]:
        """Return recent records for a peer, none if they are not kept."""
        with self._lock:
            return self._tail.page(from_offset, limit)

    def snapshot(self) -> StateSnapshot:
        """Return the encoded state."""
        with self._lock:
            return take_snapshot(self._state)

    def dump(self) -> dict[str, object]:
        """Return the journal's part of the state dump."""
        with self._lock:
            return {
                "next_offset": self._state.next_offset,
                "is_complete": self.is_complete,
                "oldest": self.follower.oldest,
                "head": self.follower.head,
                "snapshot_offset": self._state.snapshot_offset,
                "queued": self.appender.queued(),
                "appends": self.appender.appends,
                "appended_entries": self.appender.entries,
                "skipped_records": self._state.skipped_records,
                "catalogue": sorted(self._state.catalogue_by_name),
                "claims": [
                    claim._asdict()
                    for claim in self._state.claims_by_unit.values()
                ],
                "jobs": len(self._state.jobs_by_id),
            }


def _report(outcome: RecordOutcome) -> None:
    for number, entry in enumerate(outcome.outcomes):
        if entry.applied:
            continue
        reason = entry.reason[:REASON_MAX_CHARS]
        if not outcome.writer:
            log_event(
                "record-rejected",
                offset=outcome.offset,
                entry=number,
                reason=reason,
            )
            continue
        log_event(
            "entry-rejected",
            offset=outcome.offset,
            entry=number,
            writer=outcome.writer,
            reason=reason,
        )
