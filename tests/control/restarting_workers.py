"""Workers that restart under the id that they had.

Lists and reports go through the platform's own encoding, so that a test
covers what the adapter makes of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import orjson

from result import Err
from result import Ok
from result import Result

from magnoliapitch.control.worker_tokens import next_token
from magnoliapitch.http.client import HttpReply
from magnoliapitch.ledger.stream import KeyedRecord
from magnoliapitch.platform.directory import PlatformDirectory
from magnoliapitch.platform.names import encode_task
from magnoliapitch.platform.workers import PlatformWorkers
from magnoliapitch.verdict import FailureCode
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.run import WorkerReport
from tests.control.delegation.simulated_agents import DelegatedEffects
from tests.control.simulated_effects import SimulatedEffects
from tests.control.simulated_worker import UNLISTED_AFTER_MS
from tests.control.simulation import Simulation
from tests.ledger.memory_streams import MemoryStreams


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.worker import WorkerInfo
    from tests.control.simulated_worker import SimulatedWorker


# The Unix time at which the simulation begins.
BEGIN_UNIX_MS = 1_790_000_000_000
_NAME_BY_END_KIND = {
    EndKind.DONE: "done",
    EndKind.FAILED: "failed",
    EndKind.STOPPED: "stopped",
    EndKind.LEASE_EXPIRED: "lapsed",
    EndKind.MEMBER_ENDED: "broken",
    EndKind.MEMBERS_MISSING: "alone",
}


class RestartingSimulation(Simulation):
    """A simulation whose workers keep their ids when they restart.

    :ivar listing_delay_ms: time from a restart until the platform lists it.
    """

    def __init__(
        self,
        queues: Sequence[Queue],
        workers: Sequence[WorkerInfo],
        advisor_call_limit: int = 6,
        effects_type: type[SimulatedEffects] | None = None,
    ) -> None:
        self.listing_delay_ms = 0
        self._streams = MemoryStreams()
        self._directory = PlatformDirectory(self._streams)
        self._listed_born_ms: dict[str, int] = {}
        self._entries_by_name: dict[str, bytes] = {}
        super().__init__(
            queues, workers, advisor_call_limit, effects_type or WireEffects
        )

    def worker_of(self, worker_id: str) -> SimulatedWorker:
        """Return the worker whatever its incarnation."""
        return self.workers[worker_id.partition("@")[0]]

    def restart_worker(self, worker: SimulatedWorker) -> None:
        """Begin the next incarnation of a worker under its id."""
        worker.restart()
        born_ms = worker.born_ms

        def list_it() -> None:
            self._listed_born_ms[worker.info.worker_id] = born_ms

        self.schedule(self.listing_delay_ms, list_it)

    def listed(self) -> Mapping[str, WorkerInfo]:
        """Return the list as the adapter decodes it."""
        entries = {
            name: orjson.dumps(self._entry(worker))
            for name, worker in self.workers.items()
            if name
            not in self.unreachable_worker_ids | self.unlisted_worker_ids
            and self._has_entry(worker)
        }
        names = sorted(entries.keys() | self._entries_by_name.keys())
        records = [
            KeyedRecord(name, entries.get(name, b""))
            for name in names
            if entries.get(name) != self._entries_by_name.get(name)
        ]
        self._entries_by_name = entries
        if records:
            self._streams.append("servers", records)
        return self._directory.workers().unwrap()

    def _has_entry(self, worker: SimulatedWorker) -> bool:
        """Return whether an entry of any incarnation is left."""
        listed_born_ms = self._listed_born_ms.get(worker.info.worker_id, 0)
        silent_ms = self.now_ms - worker.crashed_ms
        is_current = listed_born_ms == worker.born_ms
        return (
            is_current and not worker.is_down
        ) or silent_ms < UNLISTED_AFTER_MS

    def _entry(self, worker: SimulatedWorker) -> dict[str, Any]:
        info = worker.info
        born_ms = self._listed_born_ms.get(info.worker_id, 0)
        return {
            "service": info.service,
            "address": info.address,
            "zone": info.zone,
            "state": "ready",
            "labels": sorted(info.labels),
            "capacity": {
                "cpu": info.capacity.cpu_millis,
                "mem-mb": info.capacity.memory_mb,
            },
            "born": BEGIN_UNIX_MS + born_ms,
        }


class _WireReports(SimulatedEffects):
    """Encodes reports as workers do and decodes them as the adapter does."""

    def __init__(self, simulation: Simulation, epoch: int) -> None:
        super().__init__(simulation, epoch)
        self._fenced_ids: set[str] = set()

    def _report(self, worker_id: str, outcome: object, sent_ms: int) -> None:
        if isinstance(outcome, Ok):
            worker = self._simulation.worker_of(worker_id)
            outcome = _decode(worker_id, worker, outcome.ok_value)
        if isinstance(outcome, Err):
            self._answering_worker_ids.discard(worker_id)
            if outcome.err_value.code is FailureCode.RESTARTED:
                self._fence_former(worker_id)
        super()._report(worker_id, outcome, sent_ms)

    def _fence_former(self, worker_id: str) -> None:
        """Renew with the raised token from now on, as a lease renewer does."""
        if worker_id not in self._fenced_ids:
            self._fenced_ids.add(worker_id)
            token = self._token_by_worker[worker_id]
            self._token_by_worker[worker_id] = next_token(token)


class WireEffects(_WireReports, SimulatedEffects):
    """Effects of a leader that calls the workers itself."""


class DelegatedWireEffects(_WireReports, DelegatedEffects):
    """Effects of a leader with agents."""


def _decode(
    worker_id: str, worker: SimulatedWorker, report: WorkerReport
) -> Result[WorkerReport, Failure]:
    body = {
        "clock-ms": report.clock_ms,
        "born": BEGIN_UNIX_MS + worker.born_ms,
        "running": [
            [encode_task(run.task), run.run, run.checkpoint, run.percent]
            for run in report.running
        ],
        "ended-runs": [
            [
                end.sequence,
                encode_task(end.task),
                end.run,
                _NAME_BY_END_KIND[end.kind],
                end.checkpoint,
            ]
            for end in report.ended
        ],
    }
    client = PlatformWorkers(cast("HttpClient", _Answer(orjson.dumps(body))))
    info = worker.info._replace(worker_id=worker_id)
    return client.renew(info, 1, None, 0, 0, 100)


class _Answer:
    """An HTTP client that gets the same answer to every call."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def exchange(self, *_: object) -> Result[HttpReply, Failure]:
        return Ok(HttpReply(200, self._data))


__all__ = [
    "DelegatedWireEffects",
    "RestartingSimulation",
    "WireEffects",
]
