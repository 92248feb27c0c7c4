"""Stored jobs whose state the leader has not published yet."""

from __future__ import annotations

import sys
import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.event import log_event
from magnoliapitch.ledger.mirror import StreamMirror
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.records import JOB_STREAM
from magnoliapitch.ledger.records import decode_job
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.ledger.state_table import PublishedJob


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.ledger.stream import KeyedStreams
    from magnoliapitch.verdict import Failure


class UnpublishedJobs:
    """The end of the job stream, from where the leader has published states.

    It is read only on request, since the leader usually publishes the state
    of a new job within milliseconds. Under a slow or absent leader, it tells
    which jobs were accepted all the same. Thread-safe.

    :param state_table: published states, with the leader's position in the
        job stream.
    """

    def __init__(
        self, streams: KeyedStreams, state_table: StateTable, clock: Clock
    ) -> None:
        self._streams = streams
        self._state_table = state_table
        self._clock = clock
        self._lock = threading.Lock()
        self._mirror = StreamMirror(streams, JOB_STREAM)
        self._job_by_id: dict[str, PublishedJob] = {}
        self._refreshed_ms: int | None = None

    def refresh(self, max_age_ms: int = 0) -> Result[None, Failure]:
        """Read the job stream up to its end.

        :param max_age_ms: do nothing if the last read began less than this
            time ago.
        """
        now_ms = self._clock.now_ms()
        if (
            self._refreshed_ms is not None
            and now_ms - self._refreshed_ms < max_age_ms
        ):
            return Ok(None)
        mirror = self._mirror_from_published_offset()
        changed = mirror.refresh()
        if isinstance(changed, Err):
            return changed
        with self._lock:
            for key in changed.ok_value:
                self._apply(key, mirror.values_by_key.get(key))
            self._refreshed_ms = now_ms
        return Ok(None)

    def get(self, job_id: str) -> PublishedJob | None:
        """Return a stored job as pending, or None if it is not known here."""
        return self._job_by_id.get(job_id)

    def count(self, queue: str) -> int:
        """Return the number of a queue's jobs that are not published."""
        with self._lock:
            job_by_id = dict(self._job_by_id)
        return sum(
            job.queue == queue and self._state_table.get(job_id) is None
            for job_id, job in job_by_id.items()
        )

    def _mirror_from_published_offset(self) -> StreamMirror:
        """Return the mirror, an empty one if all it has is published."""
        leader = self._state_table.leader
        offset = leader.job_offset if leader is not None else -1
        with self._lock:
            if offset >= 0 and self._mirror.end <= offset:
                self._mirror = StreamMirror(self._streams, JOB_STREAM)
                self._mirror.skip_to(offset)
                self._job_by_id.clear()
            return self._mirror

    def _apply(self, key: str, value: bytes | None) -> None:
        if not key.startswith(JOB_PREFIX):
            return
        job_id = key[len(JOB_PREFIX) :]
        if value is None:
            self._job_by_id.pop(job_id, None)
            return
        try:
            job = decode_job(value)
        except ValueError as error:
            log_event("record-unreadable", key=key, reason=str(error))
            return
        self._job_by_id[job_id] = PublishedJob(
            JobState.PENDING, sys.intern(job.queue), sys.intern(job.workspace)
        )
