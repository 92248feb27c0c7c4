"""Tests of a leader that has not noticed yet that another one leads."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING

from result import Ok

from magnoliapitch.ledger.health import StoreHealth
from magnoliapitch.ledger.job_api import JobApi
from magnoliapitch.ledger.leadership import Leadership
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.records import JOB_STREAM
from magnoliapitch.ledger.records import STATE_PREFIX
from magnoliapitch.ledger.records import STATE_STREAM
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.ledger.state_table import PublishedJob
from magnoliapitch.ledger.state_table import StateTable
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.ledger.unpublished_jobs import UnpublishedJobs
from magnoliapitch.metric import Metrics
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.ledger.conftest import become_leader


if TYPE_CHECKING:
    from magnoliapitch.clock import ManualClock
    from tests.ledger.conftest import MakeLeadership
    from tests.ledger.memory_streams import MemoryStreams


JOB = JobSpec("0a", "q", "text", (StepSpec(2),))


# A replaced leader answered 410 for a job that another instance had accepted
# and that had ended under the next leader: it reads no states while it takes
# itself for the leader, and the job's record had been deleted.
def test_a_replaced_leader_knows_jobs_that_ended_under_the_next_one(
    streams: MemoryStreams, clock: ManualClock, make_leadership: MakeLeadership
) -> None:
    states = StateTable()
    replaced = Leadership(
        streams,
        "a",
        states,
        clock,
        StoreHealth(clock),
        random.Random("a"),
        lambda: True,
    )
    become_leader(replaced, clock)
    become_leader(make_leadership("b"), clock)
    unpublished_jobs = UnpublishedJobs(streams, states, clock)
    api = JobApi(
        states,
        None,  # type: ignore[arg-type]
        replaced.refresh,
        unpublished_jobs,
        Metrics(),
    )
    record = KeyedRecord(JOB_PREFIX + JOB.job_id, encode_job(JOB))
    streams.append(JOB_STREAM, [record])
    assert api.state(JOB.job_id, 1_000) == Ok(JobState.PENDING)
    ended = PublishedJob(JobState.COMPLETED, JOB.queue).encode()
    key = STATE_PREFIX + JOB.job_id
    streams.append(STATE_STREAM, [KeyedRecord(key, ended)])
    streams.append(JOB_STREAM, [record._replace(value=b"")])
    assert api.state(JOB.job_id, 1_000) == Ok(JobState.COMPLETED)
