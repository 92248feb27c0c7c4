"""Reader that keeps the leader's table of stored jobs up to date."""

from __future__ import annotations

import threading

from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import wait
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.collector import collections_paused
from magnoliapitch.ledger.job_table import JobTable
from magnoliapitch.ledger.mirror import READ_TIMEOUT_MS
from magnoliapitch.ledger.mirror import StreamMirror
from magnoliapitch.ledger.records import CANCEL_PREFIX
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.records import JOB_STREAM
from magnoliapitch.ledger.records import PROGRESS_STREAM
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.health import StoreHealth
    from magnoliapitch.ledger.stream import KeyedStreams
    from magnoliapitch.verdict import Failure


READ_WAIT_MS = 800
LOAD_TIMEOUT_MS = 2_000
LOAD_POLL_MS = 100
RECORDS_PER_CHECK = 100
RETRY_DELAY_MS = 200


class JobFollower:
    """Reads submissions, cancellations and progress into a job table.

    Only the leader has a follower.

    :param notify_read: called with the ids of jobs whose records have changed,
        with the offset up to which the job stream was read, and with the time
        at which the call was sent that read it.
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
        self._report_lock = threading.Lock()
        self._streams = streams
        self._job_mirror = StreamMirror(streams, JOB_STREAM)
        self._progress_mirror = StreamMirror(streams, PROGRESS_STREAM)

    @property
    def end(self) -> int:
        """Return the offset up to which the job stream was read."""
        return self._job_mirror.end

    def load(
        self,
        timeout_ms: int = LOAD_TIMEOUT_MS,
        goes_on: Callable[[], bool] = lambda: True,
    ) -> Result[None, Failure]:
        """Read all progress and all jobs into the job table.

        Former leaders must be fenced before this call, so that they cannot
        store more progress: whatever job has some is then among the jobs,
        which are read at the same time. A call after a failure goes on from
        what was read.

        :param timeout_ms: how long each call may take.
        :param goes_on: called repeatedly meanwhile; returns whether to wait
            any longer.
        """
        mirrors = (self._progress_mirror, self._job_mirror)
        sent_ms = self._clock.now_ms()
        executor = ThreadPoolExecutor(len(mirrors), "loading")
        reads = [
            executor.submit(mirror.read, timeout_ms=timeout_ms)
            for mirror in mirrors
        ]
        executor.shutdown(wait=False)
        while wait(reads, LOAD_POLL_MS / 1000).not_done:
            if not goes_on():
                return Err(not_run(FailureCode.SHUTTING_DOWN, "not wanted"))
        for read in reads:
            outcome = read.result()
            if isinstance(outcome, Err):
                self._health.note_failure(outcome.err_value)
                return outcome
        self._health.note_success(sent_ms)
        self.read_ms = sent_ms
        with collections_paused():
            return self._apply_loaded(mirrors, goes_on)

    def _apply_loaded(
        self, mirrors: Sequence[StreamMirror], goes_on: Callable[[], bool]
    ) -> Result[None, Failure]:
        keys = [
            (mirror, key)
            for mirror in mirrors
            for key in mirror.take_changes().value_by_key
        ]
        for number, (mirror, key) in enumerate(keys):
            # Many records take longer to decode than a claim lasts.
            if not number % RECORDS_PER_CHECK and not goes_on():
                return Err(not_run(FailureCode.SHUTTING_DOWN, "not wanted"))
            self.job_table.apply(mirror.values_by_key, (key,))
        # It is not read again, and only the table is needed.
        self._progress_mirror.forget_values()
        return Ok(None)

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
        read = self._job_mirror.read(wait_ms, timeout_ms)
        if isinstance(read, Err):
            self._health.note_failure(read.err_value)
            return read
        self._health.note_success(sent_ms)
        self.read_ms = sent_ms
        self._report_changes()
        return Ok(None)

    def add_appended(
        self, records: Sequence[KeyedRecord], first_offset: int
    ) -> None:
        """Report what this instance has appended to the job stream.

        The store can be late to tell of it by a second or more.

        :param first_offset: offset of the first record.
        """
        if self._job_mirror.add_appended(records, first_offset):
            self._report_changes()

    def _report_changes(self) -> None:
        """Apply what has changed to the job table and report it.

        Changes are taken and applied by one thread at a time, so that an
        older value never replaces a newer one.
        """
        with self._report_lock:
            values, end = self._job_mirror.take_changes()
            job_ids = self.job_table.apply(values, values)
            self._notify_read(frozenset(job_ids), end, self.read_ms)
