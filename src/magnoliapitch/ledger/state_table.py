"""Published states of all jobs, which every instance keeps."""

from __future__ import annotations

import sys
import threading

from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple

import orjson

from magnoliapitch.admission import decode_figures
from magnoliapitch.event import log_event
from magnoliapitch.ledger.elapsed_clock import ElapsedClock
from magnoliapitch.ledger.load_view import LoadView
from magnoliapitch.ledger.records import CLOCK_KEY
from magnoliapitch.ledger.records import LEADER_KEY
from magnoliapitch.ledger.records import LEASE_BASIS_KEY
from magnoliapitch.ledger.records import LEASE_PREFIX
from magnoliapitch.ledger.records import LOAD_KEY
from magnoliapitch.ledger.records import OLD_RUNS_PREFIX
from magnoliapitch.ledger.records import SPEEDS_KEY
from magnoliapitch.ledger.records import STATE_PREFIX
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.ledger.records import decode_clock
from magnoliapitch.ledger.records import decode_leader
from magnoliapitch.ledger.records import decode_lease_end


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from magnoliapitch.ledger.elapsed_clock import LeaseEnd
    from magnoliapitch.ledger.load_view import ReadTimes


class JobState(StrEnum):
    """State of a job as callers see it."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)
_CODE_BY_STATE = {
    JobState.PENDING: "p",
    JobState.RUNNING: "r",
    JobState.COMPLETED: "c",
    JobState.FAILED: "f",
    JobState.CANCELLED: "x",
}
_STATE_BY_CODE = {code: state for state, code in _CODE_BY_STATE.items()}


class PublishedJob(NamedTuple):
    """State, queue and workspace of a job, as the leader publishes them.

    :param workspace: empty if the job has none.
    """

    state: JobState
    queue: str
    workspace: str = ""

    def encode(self) -> bytes:
        """Return the value of the job's state record.

        It is the code of the state and the queue. For a job of a workspace,
        the code is in upper case and a JSON array of both names follows.
        """
        code = _CODE_BY_STATE[self.state]
        if not self.workspace:
            return (code + self.queue).encode()
        names = orjson.dumps((self.queue, self.workspace))
        return code.upper().encode() + names

    @classmethod
    def decode(cls, value: bytes) -> PublishedJob:
        """Decode the value of a job's state record.

        :raises ValueError: if the value does not begin with a state's code,
            or the names of a job of a workspace cannot be read.
        """
        text = value.decode()
        code = text[:1]
        state = _STATE_BY_CODE.get(code.lower())
        if state is None:
            raise ValueError(f"unknown state code {code!r}")
        if code.islower():
            return cls(state, sys.intern(text[1:]))
        queue, workspace = _decode_names(text[1:])
        return cls(state, sys.intern(queue), sys.intern(workspace))


class StateTable:
    """Jobs whose state the leader has published; thread-safe.

    :ivar leader: newest claim of leadership, or None if none is stored.
    :ivar speeds: what the leader has learned of durations and speeds, encoded
        as only the next leader reads it; None if nothing is stored.
    :ivar load: newest load figures of the leader.
    :ivar clock: clock that successive leaders share.
    :ivar lease_end_by_worker: when the leases of workers that did not answer
        the leader have certainly expired. A claim may rest on both, as the
        caller applies records in the order of the stream.
    :ivar old_runs_by_worker: runs that have been active for long, encoded as
        only the next leader reads them.
    """

    def __init__(self) -> None:
        self.leader: LeaderRecord | None = None
        self.speeds: bytes | None = None
        self.load = LoadView()
        self.clock = ElapsedClock()
        self.lease_end_by_worker: dict[str, LeaseEnd] = {}
        self.old_runs_by_worker: dict[str, bytes] = {}
        self._lock = threading.Lock()
        self._job_by_id: dict[str, PublishedJob] = {}
        self._pending_by_queue: Counter[str] = Counter()

    def get(self, job_id: str) -> PublishedJob | None:
        """Return a job, or None if no state of it is published."""
        return self._job_by_id.get(job_id)

    def pending(self, queue: str) -> int:
        """Return the number of a queue's jobs without a started task."""
        return self._pending_by_queue[queue]

    def ended_job_ids(self) -> list[str]:
        """Return the ids of the jobs that have a final state."""
        with self._lock:
            return [
                job_id
                for job_id, job in self._job_by_id.items()
                if job.state in FINAL_STATES
            ]

    def put(self, job_id: str, job: PublishedJob | None) -> None:
        """Set the published state of a job; None removes the job."""
        with self._lock:
            old = self._job_by_id.pop(job_id, None)
            if old is not None and old.state is JobState.PENDING:
                self._pending_by_queue[old.queue] -= 1
            if job is None:
                return
            self._job_by_id[job_id] = job
            if job.state is JobState.PENDING:
                self._pending_by_queue[job.queue] += 1

    def apply(
        self,
        values_by_key: Mapping[str, bytes],
        keys: Iterable[str],
        read: ReadTimes | None = None,
    ) -> None:
        """Apply changed records of the stream of states.

        Records that cannot be read are logged and skipped.

        :param values_by_key: newest value of each key that has one.
        :param keys: keys that have changed.
        :param read: times of the read; None if they are not known.
        """
        for key in keys:
            try:
                self._apply_record(key, values_by_key.get(key), read)
            except ValueError as error:
                log_event("record-unreadable", key=key, reason=str(error))

    def _apply_record(
        self, key: str, value: bytes | None, read: ReadTimes | None
    ) -> None:
        if key == LEADER_KEY:
            self.leader = None if value is None else decode_leader(value)
        elif key == SPEEDS_KEY:
            self.speeds = value
        elif key.startswith(STATE_PREFIX):
            job = None if value is None else PublishedJob.decode(value)
            self.put(key[len(STATE_PREFIX) :], job)
        elif key == CLOCK_KEY:
            if value is not None and read is not None:
                self.clock.record(decode_clock(value), read.received_ms)
        elif key == LEASE_BASIS_KEY:
            if value is not None:
                self.clock.record_basis(decode_clock(value))
        elif key.startswith(LEASE_PREFIX):
            self._put_lease_end(key[len(LEASE_PREFIX) :], value)
        elif key.startswith(OLD_RUNS_PREFIX):
            self._put_old_runs(key[len(OLD_RUNS_PREFIX) :], value)
        elif key == LOAD_KEY:
            if value is not None:
                self.load.apply(decode_figures(value), read)
        else:
            log_event("record-unreadable", key=key, reason="unknown prefix")

    def _put_lease_end(self, worker_id: str, value: bytes | None) -> None:
        if value is None:
            self.lease_end_by_worker.pop(worker_id, None)
        else:
            self.lease_end_by_worker[worker_id] = decode_lease_end(value)

    def _put_old_runs(self, worker_id: str, value: bytes | None) -> None:
        if value is None:
            self.old_runs_by_worker.pop(worker_id, None)
        else:
            self.old_runs_by_worker[worker_id] = value


def _decode_names(text: str) -> list[str]:
    names = orjson.loads(text)
    if (
        not isinstance(names, list)
        or len(names) != 2
        or not all(isinstance(name, str) for name in names)
    ):
        raise ValueError(f"expected a queue and a workspace, found {text!r}")
    return names


__all__ = ["FINAL_STATES", "JobState", "PublishedJob", "StateTable"]
