"""Reader that keeps the leader's table of stored jobs up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.ledger.job_table import JobTable
from magnoliapitch.ledger.mirror import READ_TIMEOUT_MS
from magnoliapitch.ledger.mirror import StreamMirror
from magnoliapitch.ledger.records import CANCEL_PREFIX
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.records import JOB_STREAM
from magnoliapitch.ledger.records import PROGRESS_STREAM
from magnoliapitch.ledger.stream import KeyedRecord


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.health import StoreHealth
    from magnoliapitch.ledger.stream import KeyedStreams
    from magnoliapitch.verdict import Failure


READ_WAIT_MS = 800
LOAD_TIMEOUT_MS = 2_000
RETRY_DELAY_MS = 200


class JobFollower:
    """Reads submissions, cancellations and progress into a job table.

    Only the leader has a follower.

    :param notify_read: called after each read with the ids of jobs whose
        records have changed, with the offset up to which the job stream was
        read, and with the time at which the call was sent.
    :ivar job_table: the jobs, as far as the streams were read.
    :ivar read_ms: when the newest successful call was sent; 0 before it.
    """

    def __init__(
        self,
        streams: KeyedStreams,
        clock: Clock,
        health: StoreHealth,
        notify_read: Callable[[frozenset[str], int, int], None],
    ) -> None:
        self.job_table = JobTable()
        self._clock = clock
        self._health = health
        self.read_ms = 0
        self._notify_read = notify_read
        self._streams = streams
        self._job_mirror = StreamMirror(streams, JOB_STREAM)

    @property
    def end(self) -> int:
        """Return the offset up to which the job stream was read."""
        return self._job_mirror.end

    def load(self) -> Result[None, Failure]:
        """Read all progress, then all jobs, into the job table.

        Former leaders must be fenced before this call, so that they cannot
        store more progress after it was read.
        """
        progress_mirror = StreamMirror(self._streams, PROGRESS_STREAM)
        progress = progress_mirror.refresh(timeout_ms=LOAD_TIMEOUT_MS)
        if isinstance(progress, Err):
            return progress
        self.job_table.apply(progress_mirror.values_by_key, progress.ok_value)
        return self.follow(timeout_ms=LOAD_TIMEOUT_MS)

    def step(self) -> int:
        """Wait for changes of the job stream and read them.

        :return: pause until the next call, in milliseconds.
        """
        if isinstance(self.follow(READ_WAIT_MS), Err):
            return RETRY_DELAY_MS
        return 0

    def delete_jobs(self, job_ids: Iterable[str]) -> Result[None, Failure]:
        """Delete the stored submissions and cancellations of ended jobs."""
        records = [
            KeyedRecord(prefix + job_id, b"")
            for job_id in job_ids
            for prefix in (JOB_PREFIX, CANCEL_PREFIX)
            if prefix + job_id in self._job_mirror.values_by_key
        ]
        if not records:
            return Ok(None)
        appended = self._streams.append(JOB_STREAM, records)
        return appended.map(lambda _: None)

    def follow(
        self, wait_ms: int = 0, timeout_ms: int = READ_TIMEOUT_MS
    ) -> Result[None, Failure]:
        """Read the job stream up to its end and report changed jobs.

        :param wait_ms: how long to wait for a first new record.
        :param timeout_ms: how long each call may take beyond that.
        """
        sent_ms = self._clock.now_ms()
        refreshed = self._job_mirror.refresh(wait_ms, timeout_ms)
        if isinstance(refreshed, Err):
            self._health.note_failure(refreshed.err_value)
            return refreshed
        self._health.note_success(sent_ms)
        changed_keys = refreshed.ok_value
        changed_job_ids = self.job_table.apply(
            self._job_mirror.values_by_key, changed_keys
        )
        self.read_ms = sent_ms
        self._notify_read(frozenset(changed_job_ids), self.end, sent_ms)
        return Ok(None)
