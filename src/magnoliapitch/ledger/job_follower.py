"""What the instance that leads reads of the jobs that are not over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.ledger.job_table import Replica
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


WAIT_MS = 800
LOAD_TIMEOUT_MS = 2_000
RETRY_PAUSE_MS = 200


class Archive:
    """Submitted and cancelled jobs, and their progress.

    :ivar replica: the jobs as far as they were read.
    :param post: takes the ids of changed jobs.
    """

    def __init__(
        self,
        streams: KeyedStreams,
        clock: Clock,
        health: StoreHealth,
        post: Callable[[frozenset[str]], None],
    ) -> None:
        self.replica = Replica()
        self._clock = clock
        self._health = health
        self._post = post
        self._streams = streams
        self._mirror = StreamMirror(streams, JOB_STREAM)

    def load(self) -> Result[None, Failure]:
        """Read every job and its progress; former leaders are fenced."""
        mirror = StreamMirror(self._streams, PROGRESS_STREAM)
        progress = mirror.refresh(timeout_ms=LOAD_TIMEOUT_MS)
        if isinstance(progress, Err):
            return progress
        self.replica.apply(mirror.values_by_key, progress.ok_value)
        return self.follow()

    def step(self) -> int:
        """Follow the stream; return milliseconds until the next call."""
        if isinstance(self.follow(WAIT_MS), Err):
            return RETRY_PAUSE_MS
        return 0

    def forget(self, job_ids: Iterable[str]) -> Result[None, Failure]:
        """Drop jobs that are over."""
        records = [
            KeyedRecord(prefix + job_id, b"")
            for job_id in job_ids
            for prefix in (JOB_PREFIX, CANCEL_PREFIX)
            if prefix + job_id in self._mirror.values_by_key
        ]
        if not records:
            return Ok(None)
        appended = self._streams.append(JOB_STREAM, records)
        return appended.map(lambda _: None)

    def follow(self, wait_ms: int = 0) -> Result[None, Failure]:
        """Read the stream to its end once."""
        sent_ms = self._clock.now_ms()
        changed = self._mirror.refresh(wait_ms)
        if isinstance(changed, Err):
            self._health.note_failure(changed.err_value)
            return changed
        self._health.note_success(sent_ms)
        keys = changed.ok_value
        ids = self.replica.apply(self._mirror.values_by_key, keys)
        if ids:
            self._post(frozenset(ids))
        return Ok(None)
