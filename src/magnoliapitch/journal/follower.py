"""Follows the log, or the peers when the log cannot be read."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from result import Err

from magnoliapitch.event import log_event
from magnoliapitch.journal.codec import decode_record
from magnoliapitch.journal.exceptions import DamagedRecordError
from magnoliapitch.journal.record import SnapshotPart
from magnoliapitch.journal.snapshot import SnapshotAssembler
from magnoliapitch.journal.snapshot import load_snapshot


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.log import LogRecord
    from magnoliapitch.journal.log import LogSlice
    from magnoliapitch.journal.log import PlatformLog
    from magnoliapitch.journal.peer_source import RecordSource
    from magnoliapitch.journal.state import ClusterState
    from magnoliapitch.verdict import Failure


READ_LIMIT = 256
IDLE_WAIT_MS = 20
RETRY_WAIT_MS = 100


class FoldTarget(Protocol):
    """Takes in what the follower reads."""

    @property
    def next_offset(self) -> int:
        """Offset of the next record to apply."""

    def apply(self, records: tuple[LogRecord, ...]) -> None:
        """Apply the records that follow; known ones are skipped."""

    def install(self, state: ClusterState) -> bool:
        """Replace the state by a later one."""

    def mark_fresh(self, read_ms: int) -> None:
        """Note that a read which started then showed nothing newer."""

    def mark_complete(self) -> None:
        """Note that the state may be served."""


class Follower:
    """Reads in pages; bridges expired history with snapshots.

    :ivar source: the peers, once there are any to ask.
    :ivar oldest: lowest offset that the log retained at the last read.
    :ivar head: offset of the next append at the last read.
    :ivar is_log_away: whether the last read failed.
    """

    def __init__(
        self, log: PlatformLog, target: FoldTarget, clock: Clock
    ) -> None:
        self.source: RecordSource | None = None
        self.oldest = 0
        self.head = 0
        self.is_log_away = True
        self._log = log
        self._target = target
        self._clock = clock
        self._is_stuck = False
        self._was_log_away: bool | None = None

    def step(self, wait_ms: int = 0) -> int:
        """Read and apply new records.

        :param wait_ms: how long the log may wait for a first record.
        :return: milliseconds to wait before the next step.
        """
        started_ms = self._clock.now_ms()
        outcome = self._log.read(self._target.next_offset, READ_LIMIT, wait_ms)
        self._note_log(outcome)
        if isinstance(outcome, Err):
            return self._follow_peers()
        part = outcome.ok_value
        self.oldest = part.oldest
        self.head = part.head
        if part.oldest > self._target.next_offset:
            return self._bridge(part.oldest)
        self._target.apply(part.records)
        if part.head == self._target.next_offset:
            self._target.mark_fresh(started_ms)
            self._target.mark_complete()
        return 0 if part.records or wait_ms else IDLE_WAIT_MS

    def _note_log(self, outcome: Result[LogSlice, Failure]) -> None:
        was_away = self._was_log_away
        self.is_log_away = isinstance(outcome, Err)
        self._was_log_away = self.is_log_away
        if self.is_log_away == was_away:
            return
        if isinstance(outcome, Err):
            log_event("log-unavailable", reason=outcome.err_value.detail)
        else:
            log_event("log-available", head=outcome.ok_value.head)

    def _bridge(self, oldest: int) -> int:
        """Pass over records that left the log before they were read."""
        before = self._target.next_offset
        if self._load_from_log(oldest) or self._load_from_peer(oldest):
            log_event(
                "snapshot-loaded",
                from_offset=before,
                to_offset=self._target.next_offset,
            )
            self._is_stuck = False
            return 0
        if not self._is_stuck:
            log_event("history-missing", next_offset=before, oldest=oldest)
        self._is_stuck = True
        return RETRY_WAIT_MS

    def _load_from_log(self, oldest: int) -> bool:
        assembler = self._scan(oldest)
        newest_first = sorted(
            assembler.complete, key=lambda item: item.offset, reverse=True
        )
        for snapshot in newest_first:
            if snapshot.offset < max(oldest, self._target.next_offset):
                continue
            state = load_snapshot(snapshot)
            if state is not None and self._target.install(state):
                return True
        return False

    def _scan(self, oldest: int) -> SnapshotAssembler:
        assembler = SnapshotAssembler()
        offset = oldest
        while True:
            outcome = self._log.read(offset, READ_LIMIT)
            if isinstance(outcome, Err) or not outcome.ok_value.records:
                return assembler
            _collect_parts(assembler, outcome.ok_value)
            offset = outcome.ok_value.records[-1].offset + 1

    def _load_from_peer(self, min_offset: int) -> bool:
        if self.source is None:
            return False
        found = self.source.snapshot(
            max(min_offset, self._target.next_offset + 1)
        )
        if isinstance(found, Err):
            return False
        state = load_snapshot(found.ok_value)
        return state is not None and self._target.install(state)

    def _follow_peers(self) -> int:
        if self.source is None:
            return RETRY_WAIT_MS
        before = self._target.next_offset
        page = self.source.read_log(before, READ_LIMIT)
        if not isinstance(page, Err):
            self._target.apply(page.ok_value.records)
            is_ahead = page.ok_value.next_offset > before
            if is_ahead and self._target.next_offset == before:
                self._load_from_peer(before)
        floor = self.source.floor()
        if floor is not None and self._target.next_offset >= floor:
            self._target.mark_complete()
        moved = self._target.next_offset > before
        return 0 if moved else RETRY_WAIT_MS


def _collect_parts(assembler: SnapshotAssembler, part: LogSlice) -> None:
    for record in part.records:
        try:
            envelope = decode_record(record.data)
        except DamagedRecordError:
            continue
        for entry in envelope.entries:
            if isinstance(entry, SnapshotPart):
                assembler.add(record.offset, entry)
