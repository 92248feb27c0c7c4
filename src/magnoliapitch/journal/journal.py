"""Access to the replicated state: reads, appends and catching up."""

from __future__ import annotations

import threading

from contextlib import contextmanager
from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.event import log_event
from magnoliapitch.journal import handler as _handler  # noqa: F401
from magnoliapitch.journal.appender import Appender
from magnoliapitch.journal.follower import READ_MAX_RECORDS
from magnoliapitch.journal.follower import Follower
from magnoliapitch.journal.job_change import JobChangeFeed
from magnoliapitch.journal.snapshot import take_snapshot
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state_machine import apply_record
from magnoliapitch.journal.tail import RecordTail
from magnoliapitch.journal.token_bucket import TokenBucket


if TYPE_CHECKING:
    from collections.abc import Iterator

    from result import Result

    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.job_change import JobChange
    from magnoliapitch.journal.log import LogRecord
    from magnoliapitch.journal.log import PlatformLog
    from magnoliapitch.journal.pending_record_entry import PendingRecordEntry
    from magnoliapitch.journal.record import RecordEntry
    from magnoliapitch.journal.state_machine import RecordEntryOutcome
    from magnoliapitch.journal.state_machine import RecordOutcome
    from magnoliapitch.peer.message import StateSnapshot
    from magnoliapitch.verdict import Failure


APPENDS_PER_S = 200
MAX_BURST_APPENDS = 10
REASON_MAX_CHARS = 200


class Journal:
    """Replicated state of one entry instance with its appender and follower.

    One thread calls ``append_step`` repeatedly and another one
    ``follow_step``; a test may call both.

    :param incarnation: incarnation that is written into the records.
    :param appends_per_s: appends per second of all live members together;
        each of them may use an equal share.
    :ivar appender: appends record entries to the log.
    :ivar follower: reads the log; its ``peer_source`` is set once there
        are peers.
    :ivar is_complete: whether the state may be served. It becomes true
        once the state covers the whole history up to the highest known
        offset.
    :ivar last_caught_up_ms: start of the last read of the log that found
        no newer record.
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
        self.last_caught_up_ms: int | None = None
        self._log = log
        self._appends_per_s = appends_per_s
        self._lock = threading.RLock()
        self._advanced = threading.Condition()
        self._state = ClusterState()
        self._tail = RecordTail()
        self._job_changes = JobChangeFeed()
        self._budget = TokenBucket(appends_per_s, MAX_BURST_APPENDS, clock)
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
    def locked_state(self) -> Iterator[ClusterState]:
        """Yield the state under the lock; the caller only reads it.

        The caller must not block while it holds the lock.
        """
        with self._lock:
            yield self._state

    def enqueue(self, entry: RecordEntry) -> PendingRecordEntry:
        """Queue a record entry to be appended to the log."""
        return self.appender.enqueue(entry)

    def commit(
        self, entry: RecordEntry, timeout_ms: int
    ) -> Result[RecordEntryOutcome, Failure]:
        """Append a record entry and wait until it is applied.

        :param timeout_ms: milliseconds to wait at most.
        """
        return self.enqueue(entry).wait(timeout_ms)

    def append_step(self, wait_ms: int = 0) -> int:
        """Append one batch within this member's share of the append rate.

        :param wait_ms: milliseconds to wait for a first entry.
        :return: milliseconds to wait before the next step.
        """
        with self._lock:
            members = self._state.members_by_incarnation.values()
            live = sum(not member.left for member in members)
        self._budget.rate_per_s = self._appends_per_s / max(live, 1)
        return self.appender.step(wait_ms)

    def has_unsent(self) -> bool:
        """Return whether entries wait to be appended or confirmed."""
        return self.appender.has_unsent()

    def follow_step(self, wait_ms: int = 0) -> int:
        """Read and apply one page of new records.

        :param wait_ms: milliseconds that the log may wait for a first
            record.
        :return: milliseconds to wait before the next step.
        """
        return self.follower.step(wait_ms)

    def wait_until_caught_up(self, timeout_ms: int) -> bool:
        """Wait until all records appended before this call are applied.

        :param timeout_ms: milliseconds to wait at most after the read.
        :return: whether they are; false if the log cannot be read.
        """
        if self.follower.is_log_unavailable:
            return False
        outcome = self._log.read(self.next_offset, READ_MAX_RECORDS)
        if isinstance(outcome, Err):
            return False
        self.apply(outcome.ok_value.records)
        head = outcome.ok_value.head
        with self._advanced:
            return self._advanced.wait_for(
                lambda: self.next_offset >= head, timeout_ms / 1000
            )

    def apply(self, records: tuple[LogRecord, ...]) -> None:
        """Apply records from the log or a peer.

        Records other than the next one are skipped.
        """
        with self._lock:
            for record in records:
                if record.offset == self._state.next_offset:
                    outcome = apply_record(self._state, record)
                    self._tail.add(record)
                    self.appender.resolve_applied(outcome)
                    self._job_changes.add(outcome)
                    _log_rejections(outcome)
        with self._advanced:
            self._advanced.notify_all()

    def install(self, state: ClusterState) -> bool:
        """Replace the state by a later one.

        :return: false if the given state is not later; nothing changes.
        """
        with self._lock:
            if state.next_offset <= self._state.next_offset:
                return False
            self._state = state
            self._tail.clear()
            mark = state.marks_by_writer.get(self.incarnation)
            applied_seq = mark.seq if mark else 0
            self.appender.resolve_skipped(state.next_offset, applied_seq)
        with self._advanced:
            self._advanced.notify_all()
        return True

    def take_job_changes(self) -> tuple[JobChange, ...]:
        """Remove and return the changes of jobs and tasks, oldest first.

        Changes by :meth:`install` are not included; it may change the
        whole state.
        """
        with self._lock:
            return self._job_changes.take()

    def mark_caught_up(self, read_started_ms: int) -> None:
        """Record that a read of the log found no newer record.

        :param read_started_ms: when that read started.
        """
        self.last_caught_up_ms = read_started_ms

    def mark_complete(self) -> None:
        """Record that the state may be served."""
        self.is_complete = True

    def page(self, from_offset: int, limit: int) -> tuple[LogRecord, ...]:
        """Return recently applied records for a peer.

        :param from_offset: offset of the first record to return.
        :param limit: maximum number of records to return.
        :return: no records if the first one is not in memory.
        """
        with self._lock:
            return self._tail.page(from_offset, limit)

    def snapshot(self) -> StateSnapshot:
        """Return a snapshot of the current state."""
        with self._lock:
            return take_snapshot(self._state)

    def dump(self) -> dict[str, object]:
        """Return the journal's values for the state dump."""
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


def _log_rejections(outcome: RecordOutcome) -> None:
    """Log an event for each record entry that was not applied."""
    for number, entry_outcome in enumerate(outcome.outcomes):
        if entry_outcome.applied:
            continue
        reason = entry_outcome.reason[:REASON_MAX_CHARS]
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
