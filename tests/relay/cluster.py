"""An instance, the leader's instance and others that they can call."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err
from result import Ok
from result import Result

from magnoliapitch.clock import ManualClock
from magnoliapitch.http import Application
from magnoliapitch.http import HttpRequest
from magnoliapitch.http.client import HttpReply
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.ledger.state_table import StateTable
from magnoliapitch.relay import JobRelay
from magnoliapitch.relay import RelayedJobs
from magnoliapitch.relay import add_relay_routes
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.access import Caller


ValueT = TypeVar("ValueT")

JOB = JobSpec("0a", "q", "text", (StepSpec(2),))
TIMEOUT_MS = 3_000
STORE_DOWN = not_run(FailureCode.UNAVAILABLE, "the store is down", 1_000)
UNANSWERED = may_have_run(FailureCode.TIMEOUT, "no answer")
LEADER = "10.0.0.1:7200"
PEERS = ("10.0.0.3:7200", "10.0.0.4:7200", "10.0.0.5:7200")


class FakeJobApi:
    """Operations of one instance.

    :ivar failure: failure of every operation, or None.
    :ivar operations: name and job of every operation that was carried out.
    :ivar callers: caller of every operation.
    """

    def __init__(self, failure: Failure | None = None) -> None:
        self.failure = failure
        self.operations: list[tuple[str, str]] = []
        self.callers: list[Caller] = []
        self.accepted_ids: list[str] = []

    def record_accepted(self, job: JobSpec) -> None:
        self.accepted_ids.append(job.job_id)

    def submit(
        self, job: JobSpec, timeout_ms: int, caller: Caller
    ) -> Result[None, Failure]:
        self.callers.append(caller)
        return self._operate("submit", job.job_id, Ok(None))

    def cancel(
        self, job_id: str, timeout_ms: int, caller: Caller
    ) -> Result[bool, Failure]:
        self.callers.append(caller)
        return self._operate("cancel", job_id, Ok(True))

    def state(
        self, job_id: str, timeout_ms: int, caller: Caller
    ) -> Result[JobState | None, Failure]:
        self.callers.append(caller)
        found = JobState.RUNNING if job_id == JOB.job_id else None
        return self._operate("state", job_id, Ok(found))

    def _operate(
        self, call: str, job_id: str, outcome: Ok[ValueT]
    ) -> Result[ValueT, Failure]:
        if self.failure is not None:
            return Err(self.failure)
        self.operations.append((call, job_id))
        return outcome


class Cluster:
    """An instance ``here`` and the leader's instance ``there``."""

    def __init__(self, here: Failure | None, there: Failure | None = None):
        self.clock = ManualClock(1_000)
        self.here = FakeJobApi(here)
        self.there = FakeJobApi(there)
        self.peers: dict[str, FakeJobApi] = {}
        self.calls = 0
        self.called: list[str] = []
        self.prefers_leader = False
        self.network_failure: Failure | None = None
        self.reply: HttpReply | None = None
        self.states = StateTable()
        self.states.leader = LeaderRecord(1, "leader", address=LEADER)
        self.jobs = self.jobs_at("10.0.0.2:7200")

    def jobs_at(self, own_address: str) -> RelayedJobs:
        relay = JobRelay(
            self.states,
            own_address,
            self,  # type: ignore[arg-type]
            self.clock,
            random.Random(1),
            self.peers.keys,
        )
        return RelayedJobs(
            self.here,  # type: ignore[arg-type]
            relay,
            self.clock,
            lambda _: self.prefers_leader,
        )

    def exchange(
        self,
        method: str,
        url: str,
        timeout_ms: int,
        body: bytes,
        headers: Mapping[str, str],
    ) -> Result[HttpReply, Failure]:
        self.calls += 1
        address, _, path = url.removeprefix("http://").partition("/")
        self.called.append(address)
        instances = {LEADER: self.there, **self.peers}
        assert address in instances
        if self.network_failure is not None:
            return Err(self.network_failure)
        if self.reply is not None:
            return Ok(self.reply)
        application = Application()
        add_relay_routes(application, instances[address])  # type: ignore[arg-type]
        request = HttpRequest(method, f"/{path}", {}, {}, headers, body)
        response = application.handle(request)
        return Ok(HttpReply(response.status, response.body))


class TurnedAway(Cluster):
    """The store turns this instance and the leader's away, not the peers."""

    def __init__(self, there: Failure | None = STORE_DOWN) -> None:
        super().__init__(STORE_DOWN, there)
        self.peers.update((address, FakeJobApi()) for address in PEERS)


def leader_first(
    here: Failure | None, there: Failure | None = None
) -> Cluster:
    """Return a cluster in which jobs are submitted through the leader."""
    cluster = Cluster(here, there)
    cluster.prefers_leader = True
    return cluster
