"""Limit of the memory that all open jobs together take of the leader."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Result

from magnoliapitch.admission.retry import retry_after_ms
from magnoliapitch.event import log_event
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.footprint import footprint_bytes


if TYPE_CHECKING:
    import random

    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.workload.job import JobSpec


# A daemon has 256 MB, of which the program without jobs takes about 80. What
# is left of it is for runs, connections and calls.
MAX_OPEN_BYTES = 120_000_000
# Larger jobs leave a part of the room to smaller ones, so that few callers
# with many tasks do not keep everybody else out.
SMALL_JOB_BYTES = 100_000
LARGE_JOBS_SHARE = 0.75
# An instance that does not know the others divides the room by this many.
ASSUMED_INSTANCES = 8
# A job that may have been stored is not counted for longer than this without
# a published state.
MAX_UNPUBLISHED_MS = 60_000
RETRY_MS = 4_000.0


class _Reservation(NamedTuple):
    """A job that this instance has admitted, or is about to.

    :param published_with: newest record of the leader when the job's state
        was found published; None before.
    """

    size_bytes: int
    admitted_ms: int
    published_with: LeaderRecord | None = None


class OpenWork:
    """Admits jobs while all open ones fit the leader's memory; thread-safe.

    The leader publishes how much its jobs take. Its instance may admit jobs
    for half of what is left, and all instances share the other half. Each
    counts the jobs that it has admitted until the leader's figure has
    them, so that all together do not exceed it.

    :param instance_count: returns the number of instances, None if it is not
        known.
    :param is_leading: returns whether this instance is the leader.
    """

    def __init__(
        self,
        state_table: StateTable,
        instance_count: Callable[[], int | None],
        is_leading: Callable[[], bool],
        clock: Clock,
        randomness: random.Random,
        max_bytes: int = MAX_OPEN_BYTES,
    ) -> None:
        self._state_table = state_table
        self._instance_count = instance_count
        self._is_leading = is_leading
        self._clock = clock
        self._random = randomness
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._reservation_by_id: dict[str, _Reservation] = {}

    def admit(self, job: JobSpec) -> Failure | None:
        """Reserve room for a job that is about to be stored.

        :return: why it must not be stored; None if it may be.
        """
        size_bytes = footprint_bytes(job)
        now_ms = self._clock.now_ms()
        with self._lock:
            left_bytes = self._left_bytes(job.job_id, size_bytes, now_ms)
            if size_bytes <= left_bytes:
                self._reservation_by_id[job.job_id] = _Reservation(
                    size_bytes, now_ms
                )
                return None
        log_event(
            "open-work-full",
            job=job.job_id,
            queue=job.queue,
            bytes=size_bytes,
            left_bytes=left_bytes,
            used_bytes=self._used_bytes,
            limit_bytes=self._max_bytes,
        )
        return self._full(size_bytes, left_bytes)

    def has_room(self, job: JobSpec) -> bool:
        """Return whether this instance would admit a job now."""
        size_bytes = footprint_bytes(job)
        now_ms = self._clock.now_ms()
        with self._lock:
            return size_bytes <= self._left_bytes(
                job.job_id, size_bytes, now_ms
            )

    def settle(self, job_id: str, outcome: Result[None, Failure]) -> None:
        """Release the room of a job that was certainly not stored."""
        if not isinstance(outcome, Err):
            return
        if outcome.err_value.verdict is Verdict.NOT_RUN:
            with self._lock:
                self._reservation_by_id.pop(job_id, None)

    @property
    def _used_bytes(self) -> int:
        leader = self._state_table.leader
        return 0 if leader is None else leader.open_bytes

    def _left_bytes(self, job_id: str, size_bytes: int, now_ms: int) -> int:
        """Return the room for a job of a size at this instance.

        :param job_id: the job, which may have been admitted before.
        """
        self._forget_published(self._state_table.leader, now_ms)
        limit_bytes = self._max_bytes
        if size_bytes > SMALL_JOB_BYTES:
            limit_bytes = int(LARGE_JOBS_SHARE * limit_bytes)
        half_bytes = max(0, limit_bytes - self._used_bytes) // 2
        left_bytes = half_bytes // (
            self._instance_count() or ASSUMED_INSTANCES
        )
        if self._is_leading():
            left_bytes += half_bytes
        left_bytes -= sum(
            reservation.size_bytes
            for other_id, reservation in self._reservation_by_id.items()
            if other_id != job_id
        )
        return max(0, left_bytes)

    def _forget_published(
        self, leader: LeaderRecord | None, now_ms: int
    ) -> None:
        """Drop the jobs that the leader's figure has.

        It has those whose state was published before the figure was.
        """
        for job_id, reservation in list(self._reservation_by_id.items()):
            if self._state_table.get(job_id) is None:
                if now_ms - reservation.admitted_ms >= MAX_UNPUBLISHED_MS:
                    del self._reservation_by_id[job_id]
            elif reservation.published_with is None:
                self._reservation_by_id[job_id] = reservation._replace(
                    published_with=leader
                )
            elif reservation.published_with is not leader:
                del self._reservation_by_id[job_id]

    def _full(self, size_bytes: int, left_bytes: int) -> Failure:
        return not_run(
            FailureCode.OVERLOADED,
            f"the open jobs of all callers leave {left_bytes} bytes of the "
            f"scheduler's memory at this instance, and the job needs "
            f"{size_bytes} until it has ended; the job was not stored",
            retry_after_ms(RETRY_MS, self._random),
        )


__all__ = ["LARGE_JOBS_SHARE", "MAX_OPEN_BYTES", "OpenWork"]
