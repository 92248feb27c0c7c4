"""A controller among simulated workers, store and advisor.

Time is virtual and every delay is fixed, so that a run repeats. The scene
checks what must always hold while it runs.
"""

from __future__ import annotations

import heapq
import random

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok

from magnoliapitch.control.controller import Controller
from magnoliapitch.control.events import Advised
from magnoliapitch.control.events import Committed
from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.events import StopAnswered
from magnoliapitch.control.events import WorkerReported
from magnoliapitch.control.events import WorkersListed
from magnoliapitch.control.timing import ControlTiming
from magnoliapitch.ledger.records import CANCEL_PREFIX
from magnoliapitch.ledger.records import CANCELLED
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.records import LeaderRecord
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.ledger.replica import Replica
from magnoliapitch.ledger.state_table import FINAL_STATES
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.ledger.state_table import StateTable
from magnoliapitch.metric import Metrics
from magnoliapitch.resource import Resources
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.configuration import AdvicePolicy
from magnoliapitch.workload.configuration import Configuration
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.configuration import Service
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.run import Permit
from magnoliapitch.workload.run import StartOrder
from magnoliapitch.workload.run import StopOrder
from magnoliapitch.workload.worker import WorkerInfo
from tests.control.worker import SimulatedWorker


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from magnoliapitch.ledger.leadership import Batch
    from magnoliapitch.planner.plan import PlannedAsk
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.workload.job import JobSpec
    from magnoliapitch.workload.job import TaskKey


LINK_MS = 2
COMMIT_MS = 11
LOOK_WAIT_MS = 1_000
ROUND_MS = 20
ANSWER_TIMEOUT_MS = 700
SERVICE = "app"
LARGE = Resources(32_000, 131_072)
TIMING = ControlTiming(lease_ms=6_000)


class Finished(NamedTuple):
    """A job that was shown as ended."""

    outcome: JobState
    after_ms: int


class Scene:
    """Runs a controller in virtual time.

    :ivar violations: what must never happen and did.
    :ivar durations: true duration of each task; by default 1 s.
    """

    def __init__(
        self,
        queues: Sequence[Queue],
        workers: Sequence[WorkerInfo],
        lanes: int = 6,
    ) -> None:
        self.now_ms = 0
        self.lanes = lanes
        self.violations: list[str] = []
        self.finished: dict[str, Finished] = {}
        self.true_ms: Callable[[TaskKey], float] = lambda _: 1_000.0
        self.fails: Callable[[TaskKey, str], bool] = lambda *_: False
        self.good_share = 0.5
        self.lose_start: Callable[[StartOrder], bool] = lambda _: False
        self.cut: set[str] = set()
        self.store_is_away = False
        self.commits = 0
        self.asked = 0
        self.starts: Counter[TaskKey] = Counter()
        self.configuration = Configuration(
            1,
            {queue.name: queue for queue in queues},
            {SERVICE: Service(SERVICE)},
        )
        self.workers = {
            info.worker_id: SimulatedWorker(info, self) for info in workers
        }
        self.replica = Replica()
        self.states = StateTable()
        self.specs: dict[str, JobSpec] = {}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._submitted_ms: dict[str, int] = {}
        self._busy_lanes = 0
        self._epoch = 0
        self.controller = self.take_over()
        self._list_workers()
        self._next_round()

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Do something after a delay."""
        self._sequence += 1
        due_ms = self.now_ms + max(0, int(delay_ms))
        heapq.heappush(self._events, (due_ms, self._sequence, action))

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = end_ms

    def take_over(self) -> Controller:
        """Replace the controller by one that knows only what is stored."""
        self._epoch += 1
        controller = Controller(
            LeaderRecord(self._epoch, f"entry-{self._epoch}"),
            self.now_ms,
            TIMING,
            self.replica,
            self.states,
            _Effects(self, self._epoch),
            lambda: self.configuration,
            Metrics(),
        )
        controller.load(self.now_ms)
        self.controller = controller
        return controller

    def submit(self, job: JobSpec) -> None:
        """Store a job and tell the controller."""
        self._submitted_ms[job.job_id] = self.now_ms
        self.specs[job.job_id] = job
        self._store(JOB_PREFIX + job.job_id, encode_job(job))

    def cancel(self, job_id: str) -> None:
        """Store a cancellation and tell the controller."""
        self._store(CANCEL_PREFIX + job_id, CANCELLED)

    def is_current(self, epoch: int) -> bool:
        """Return whether a controller of an epoch may still store."""
        return epoch == self._epoch

    def note_stored(self) -> None:
        """Look which jobs have ended since the last commit."""
        self.commits += 1
        for job_id, submitted_ms in self._submitted_ms.items():
            shown = self.states.get(job_id)
            if job_id in self.finished or shown is None:
                continue
            if shown.state in FINAL_STATES:
                after_ms = self.now_ms - submitted_ms
                self.finished[job_id] = Finished(shown.state, after_ms)

    def reserve_lane(self) -> bool:
        """Take a way to the advisor, if one is free."""
        if not self.idle_lanes():
            return False
        self._busy_lanes += 1
        return True

    def idle_lanes(self) -> int:
        """Return how many ways to the advisor are free."""
        return self.lanes - self._busy_lanes

    def free_lane(self) -> None:
        """Give a way to the advisor back."""
        self._busy_lanes -= 1

    def check(self) -> None:
        """Check what must hold at any moment."""
        running = Counter(
            key for worker in self.workers.values() for key in worker.running
        )
        for key, count in running.items():
            if count > 1:
                self.violations.append(f"{key} runs {count} times")
        for worker in self.workers.values():
            if not worker.used().fits(worker.info.capacity):
                self.violations.append(f"{worker.info.worker_id} is overfull")

    def _store(self, key: str, value: bytes) -> None:
        changed = self.replica.apply({key: value}, [key])
        ids = frozenset(changed)
        self.at(
            COMMIT_MS,
            lambda: self.controller.note_jobs(ids, self.now_ms),
        )

    def _list_workers(self) -> None:
        info_by_id = {
            worker_id: worker.info
            for worker_id, worker in self.workers.items()
            if worker_id not in self.cut and not worker.is_gone
        }
        self.controller.note_workers(WorkersListed(info_by_id))
        self.at(500, self._list_workers)

    def _next_round(self) -> None:
        if not self.controller.is_over:
            self.controller.step(self.now_ms, self.now_ms)
        self.check()
        self.at(ROUND_MS, self._next_round)


class _Effects:
    def __init__(self, scene: Scene, epoch: int) -> None:
        self._scene = scene
        self._epoch = epoch
        self._open: set[str] = set()
        self._acknowledged: dict[str, int] = {}

    def open_link(self, worker: WorkerInfo) -> None:
        self._open.add(worker.worker_id)
        self._look(worker.worker_id)

    def close_link(self, worker_id: str) -> None:
        self._open.discard(worker_id)

    def acknowledge(self, worker_id: str, number: int) -> None:
        self._acknowledged[worker_id] = number

    def start(
        self, worker: WorkerInfo, planned: PlannedStart, order: StartOrder
    ) -> None:
        scene, sent_ms = self._scene, self._scene.now_ms

        def answer(outcome: object) -> None:
            if self._is_current():
                scene.controller.note_start(
                    StartAnswered(planned, outcome, sent_ms, scene.now_ms)  # type: ignore[arg-type]
                )

        def arrive() -> None:
            target = scene.workers[worker.worker_id]
            if worker.worker_id in scene.cut:
                lost = Err(may_have_run(FailureCode.TIMEOUT, "cut"))
                scene.at(ANSWER_TIMEOUT_MS, lambda: answer(lost))
                return
            outcome = target.start(order)
            if scene.lose_start(order):
                lost = Err(may_have_run(FailureCode.TIMEOUT, "lost"))
                scene.at(ANSWER_TIMEOUT_MS, lambda: answer(lost))
                return
            scene.at(LINK_MS, lambda: answer(outcome))

        scene.at(LINK_MS, arrive)

    def stop_run(self, worker: WorkerInfo, order: StopOrder) -> None:
        scene = self._scene

        def arrive() -> None:
            if worker.worker_id in scene.cut or not self._is_current():
                return
            outcome = scene.workers[worker.worker_id].stop(order)
            scene.controller.note_stop(
                StopAnswered(
                    order.task,
                    order.run,
                    worker.worker_id,
                    outcome,
                    scene.now_ms,
                )
            )

        scene.at(LINK_MS, arrive)

    def commit(self, batch: Batch) -> None:
        scene, sent_ms = self._scene, self._scene.now_ms

        def done() -> None:
            if scene.store_is_away:
                scene.at(COMMIT_MS, done)
                return
            if not self._is_current():
                return
            values = {
                record.key: record.value or None for record in batch.progress
            }
            scene.replica.apply(values, list(values))  # type: ignore[arg-type]
            scene.controller.note_commit(
                Committed(Ok(0), sent_ms), scene.now_ms
            )
            scene.note_stored()

        scene.at(COMMIT_MS, done)

    def forget(self, job_ids: Sequence[str]) -> None:
        keys = [
            prefix + job_id
            for job_id in job_ids
            for prefix in (JOB_PREFIX, CANCEL_PREFIX)
        ]
        self._scene.replica.apply({}, keys)

    def ask(self, ask: PlannedAsk, timeout_ms: int) -> bool:
        del timeout_ms
        scene, sent_ms = self._scene, self._scene.now_ms
        if not scene.reserve_lane():
            return False
        scene.asked += 1

        def done() -> None:
            scene.free_lane()
            chooser = random.Random(f"{ask.step}")
            good = {
                worker_id
                for worker_id in sorted(scene.workers)
                if chooser.random() < scene.good_share
            }
            permits = tuple(
                Permit(worker_id, "ticket")
                for worker_id in ask.worker_ids
                if worker_id in good
            )
            if self._is_current():
                scene.controller.note_advice(
                    Advised(ask, Ok(permits), sent_ms)
                )

        scene.at(ask.cost_ms + LINK_MS, done)
        return True

    def idle_lanes(self) -> int:
        return self._scene.idle_lanes()

    def _is_current(self) -> bool:
        return self._scene.is_current(self._epoch)

    def _look(self, worker_id: str) -> None:
        scene = self._scene
        if worker_id not in self._open or not self._is_current():
            return
        sent_ms = scene.now_ms
        deadline_ms = scene.controller.deadline(worker_id, sent_ms)
        if worker_id in scene.cut:
            failure = not_run(FailureCode.UNAVAILABLE, "cut")
            self._report(worker_id, Err(failure), sent_ms)
            scene.at(300, lambda: self._look(worker_id))
            return
        worker = scene.workers[worker_id]
        acknowledged = self._acknowledged.get(worker_id, 0)
        worker.hold(self._epoch, deadline_ms, acknowledged)

        def answer() -> None:
            worker.waiters.discard(answer_now)
            if worker_id in scene.cut:
                self._look(worker_id)
                return
            self._report(worker_id, Ok(worker.report()), sent_ms)
            scene.at(COMMIT_MS + 2, lambda: self._look(worker_id))

        is_answered: list[bool] = []

        def answer_now() -> None:
            if not is_answered:
                is_answered.append(True)
                scene.at(LINK_MS, answer)

        if worker.ended or deadline_ms is None:
            answer_now()
            return
        worker.waiters.add(answer_now)
        scene.at(LOOK_WAIT_MS, answer_now)

    def _report(self, worker_id: str, outcome: object, sent_ms: int) -> None:
        scene = self._scene
        if self._is_current():
            scene.controller.note_report(
                WorkerReported(worker_id, outcome, sent_ms, scene.now_ms)  # type: ignore[arg-type]
            )


def workers(count: int, capacity: Resources = LARGE) -> list[WorkerInfo]:
    """Return workers of three racks."""
    return [
        WorkerInfo(
            f"w{number:03d}",
            SERVICE,
            f"10.0.0.{number}:80",
            f"zone-{number % 3}",
            f"r{number % 3}",
            frozenset(("a", f"r{number % 3}")),
            capacity,
        )
        for number in range(count)
    ]


def queue(
    name: str, priority: int = 0, advice: AdvicePolicy | None = None
) -> Queue:
    """Return a queue of the scene's service."""
    return Queue(
        name,
        "host",
        f"/{name}/",
        SERVICE,
        priority,
        3,
        2.0,
        500.0,
        3_000,
        advice,
    )


__all__ = ["EndKind", "Finished", "Scene", "queue", "workers"]
