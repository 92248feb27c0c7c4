"""Reads new records from the log, or from peers while it is unavailable."""

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
    from magnoliapitch.journal.peer_source import PeerRecordSource
    from magnoliapitch.journal.state import ClusterState
    from magnoliapitch.verdict import Failure


READ_MAX_RECORDS = 256
IDLE_WAIT_MS = 20
RETRY_WAIT_MS = 100


class FollowerTarget(Protocol):
    """Replicated state that the follower brings up to date."""

    @property
    def next_offset(self) -> int:
        """Offset of the next record to apply."""

    def apply(self, records: tuple[LogRecord, ...]) -> None:
        """Apply the records that come next; skip all others."""

    def install(self, state: ClusterState) -> bool:
        """Replace the state by a later one.

        :return: whether the given state was later and was installed.
        """

    def mark_caught_up(self, read_started_ms: int) -> None:
        """Record that a read of the log found no newer record.

        :param read_started_ms: when that read started.
        """

    def mark_complete(self) -> None:
        """Record that the state may be served."""


class Follower:
    """Reads the log in pages and applies them to a target.

    Records that the log dropped before they were read are replaced by a
    snapshot from the log or from a peer.

    :param target: the state to bring up to date.
    :ivar peer_source: the peers; ``None`` until it is set.
    :ivar oldest: lowest offset that the log retained at the last read.
    :ivar head: offset of the next append at the last read.
    :ivar is_log_unavailable: whether the last read failed.
    """

    def __init__(
        self, log: PlatformLog, target: FollowerTarget, clock: Clock
    ) -> None:
        self.peer_source: PeerRecordSource | None = None
        self.oldest = 0
        self.head = 0
        self.is_log_unavailable = True
        self._log = log
        self._target = target
        self._clock = clock
        self._is_gap_reported = False
        self._was_log_unavailable: bool | None = None

    def step(self, wait_ms: int = 0) -> int:
        """Read and apply one page of new records.

        :param wait_ms: milliseconds that the log may wait for a first
            record.
        :return: milliseconds to wait before the next step.
        """
        read_started_ms = self._clock.now_ms()
        outcome = self._log.read(
            self._target.next_offset, READ_MAX_RECORDS, wait_ms
        )
        self._report_log_availability(outcome)
        if isinstance(outcome, Err):
            return self._read_from_peers()
        page = outcome.ok_value
        self.oldest = page.oldest
        self.head = page.head
        if page.oldest > self._target.next_offset:
            return self._load_snapshot(page.oldest)
        self._target.apply(page.records)
        if page.head == self._target.next_offset:
            self._target.mark_caught_up(read_started_ms)
            self._target.mark_complete()
        return 0 if page.records or wait_ms else IDLE_WAIT_MS

    def _report_log_availability(
        self, outcome: Result[LogSlice, Failure]
    ) -> None:
        was_unavailable = self._was_log_unavailable
        self.is_log_unavailable = isinstance(outcome, Err)
        self._was_log_unavailable = self.is_log_unavailable
        if self.is_log_unavailable == was_unavailable:
            return
        if isinstance(outcome, Err):
            log_event("log-unavailable", reason=outcome.err_value.detail)
        else:
            log_event("log-available", head=outcome.ok_value.head)

    def _load_snapshot(self, oldest: int) -> int:
        """Install a snapshot in place of records that the log dropped."""
        previous_offset = self._target.next_offset
        if self._load_snapshot_from_log(
            oldest
        ) or self._load_snapshot_from_peer(oldest):
            log_event(
                "snapshot-loaded",
                from_offset=previous_offset,
                to_offset=self._target.next_offset,
            )
            self._is_gap_reported = False
            return 0
        if not self._is_gap_reported:
            log_event(
                "history-missing", next_offset=previous_offset, oldest=oldest
            )
        self._is_gap_reported = True
        return RETRY_WAIT_MS

    def _load_snapshot_from_log(self, oldest: int) -> bool:
        assembler = self._collect_snapshots(oldest)
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

    def _collect_snapshots(self, oldest: int) -> SnapshotAssembler:
        assembler = SnapshotAssembler()
        offset = oldest
        while True:
            outcome = self._log.read(offset, READ_MAX_RECORDS)
            if isinstance(outcome, Err) or not outcome.ok_value.records:
                return assembler
            _collect_parts(assembler, outcome.ok_value)
            offset = outcome.ok_value.records[-1].offset + 1

    def _load_snapshot_from_peer(self, min_offset: int) -> bool:
        if self.peer_source is None:
            return False
        outcome = self.peer_source.snapshot(
            max(min_offset, self._target.next_offset + 1)
        )
        if isinstance(outcome, Err):
            return False
        state = load_snapshot(outcome.ok_value)
        return state is not None and self._target.install(state)

    def _read_from_peers(self) -> int:
        if self.peer_source is None:
            return RETRY_WAIT_MS
        previous_offset = self._target.next_offset
        outcome = self.peer_source.read_log(previous_offset, READ_MAX_RECORDS)
        if not isinstance(outcome, Err):
            self._target.apply(outcome.ok_value.records)
            is_ahead = outcome.ok_value.next_offset > previous_offset
            if is_ahead and self._target.next_offset == previous_offset:
                self._load_snapshot_from_peer(previous_offset)
        highest_known_offset = self.peer_source.highest_known_offset()
        if (
            highest_known_offset is not None
            and self._target.next_offset >= highest_known_offset
        ):
            self._target.mark_complete()
        has_advanced = self._target.next_offset > previous_offset
        return 0 if has_advanced else RETRY_WAIT_MS


def _collect_parts(assembler: SnapshotAssembler, page: LogSlice) -> None:
    for record in page.records:
        try:
            envelope = decode_record(record.data)
        except DamagedRecordError:
            continue
        for entry in envelope.entries:
            if isinstance(entry, SnapshotPart):
                assembler.add(record.offset, entry)
