from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Result

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.catalogue.entry import ZoneCutAction
from magnoliapitch.clock import ManualClock
from magnoliapitch.entry.adapters import Adapters
from magnoliapitch.entry.core import EntryCore
from magnoliapitch.history import Event
from magnoliapitch.history import JobAccepted
from magnoliapitch.history import JobCancelled
from magnoliapitch.history import OffsetApplied
from magnoliapitch.history import TaskFinished
from magnoliapitch.history import WorkerSized
from magnoliapitch.job.spec import JobSpec
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.fold import apply_record
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.journal.record import JobCancel
from magnoliapitch.journal.record import JobSubmit
from magnoliapitch.journal.record import TaskEnd
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.resource import Resources
from magnoliapitch.settings.model import PlatformSettings
from magnoliapitch.settings.model import Settings
from magnoliapitch.standin.cluster import ClusterShape
from magnoliapitch.standin.cluster import StandinCluster
from magnoliapitch.standin.peer import StandinNetwork
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run
from magnoliapitch.worker.lease import LeaseKind


if TYPE_CHECKING:
    import numpy as np

    from magnoliapitch.journal.log import LogSlice
    from magnoliapitch.journal.pending import Pending
    from magnoliapitch.membership.instance import InstanceInfo
    from magnoliapitch.verdict import Failure
    from magnoliapitch.worker.lease import LeaseGrant
    from magnoliapitch.worker.lease import WorkerView


ZONES = ("norte", "centro")
CAPACITY = Resources(4_000, 4_000, 0)
TASK = Resources(1_000, 1_000, 0)
ENTRIES_BY_ZONE = {"norte": 2, "centro": 1}
WORKERS_PER_ZONE = 2
AWAY = not_run(FailureCode.UNAVAILABLE, "cut")
LOST = may_have_run(FailureCode.TIMEOUT, "no answer")


class Late(NamedTuple):
    due_ms: int
    deliver: Callable[[], object]


class Outside:
    """The platform and the workers as one entry instance reaches them."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.log_away = False
        self.unreachable: set[str] = set()
        self.late_start_ms = 0
        self.late_ms = 0
        self.late_share = 0.0

    def append(self, data: bytes) -> Result[int, Failure]:
        if self.log_away:
            return Err(AWAY)
        return self.scene.append(data)

    def read(
        self, from_offset: int, limit: int, wait_ms: int = 0
    ) -> Result[LogSlice, Failure]:
        if self.log_away:
            return Err(AWAY)
        return self.scene.cell.log.read(from_offset, limit)

    def instances(self) -> Result[tuple[InstanceInfo, ...], Failure]:
        if self.log_away:
            return Err(AWAY)
        return self.scene.cell.instance_list.instances()


class FaultyWorkers:
    fences_epochs = False

    def __init__(self, outside: Outside) -> None:
        self._outside = outside
        self._workers = outside.scene.cell.workers

    def view(self, worker: InstanceInfo) -> Result[WorkerView, Failure]:
        return self._call(worker, lambda: self._workers.view(worker))

    def start(
        self, worker: InstanceInfo, grants: tuple[LeaseGrant, ...]
    ) -> Result[WorkerView, Failure]:
        def call() -> Result[WorkerView, Failure]:
            return self._workers.start(worker, grants)

        delay_ms = self._outside.late_start_ms
        if delay_ms and grants[0].kind is LeaseKind.TASK:
            return self._outside.scene.delay(delay_ms, call)
        return self._call(worker, call)

    def renew(
        self,
        worker: InstanceInfo,
        lease_ids: tuple[str, ...],
        expires_at_ms: int,
    ) -> Result[WorkerView, Failure]:
        return self._call(
            worker,
            lambda: self._workers.renew(worker, lease_ids, expires_at_ms),
        )

    def stop(
        self, worker: InstanceInfo, lease_ids: tuple[str, ...]
    ) -> Result[WorkerView, Failure]:
        return self._call(
            worker, lambda: self._workers.stop(worker, lease_ids)
        )

    def checkpoint(
        self, worker: InstanceInfo, lease_ids: tuple[str, ...]
    ) -> Result[WorkerView, Failure]:
        return self.stop(worker, lease_ids)

    def throttle(
        self, worker: InstanceInfo, lease_id: str, cpu_millis: int
    ) -> Result[WorkerView, Failure]:
        return self.view(worker)

    def _call(
        self,
        worker: InstanceInfo,
        call: Callable[[], Result[WorkerView, Failure]],
    ) -> Result[WorkerView, Failure]:
        outside = self._outside
        scene = outside.scene
        if worker.instance_id in outside.unreachable:
            return Err(AWAY)
        if not outside.late_share or scene.rng.random() > outside.late_share:
            return call()
        delay_ms = int(scene.rng.integers(0, outside.late_ms))
        return scene.delay(delay_ms, call)


class Actor(NamedTuple):
    core: EntryCore
    outside: Outside
    address: str


class Scene:
    """Entry instances, stand-ins and a manual clock, stepped by a test."""

    def __init__(self, rng: np.random.Generator) -> None:
        self.rng = rng
        self.clock = ManualClock(1_000)
        shape = ClusterShape(
            ZONES, "app", CAPACITY, WORKERS_PER_ZONE, backends_per_zone=1
        )
        self.cell = StandinCluster(shape, self.clock)
        self.network = StandinNetwork()
        self.actors: dict[str, Actor] = {}
        self.paused: set[str] = set()
        self.late: list[Late] = []
        self.appended_ms: list[int] = []
        self._noted_by_name: dict[str, int] = {}
        self.pending: list[tuple[Pending, JobSpec]] = []
        self.events: list[Event] = [
            WorkerSized(0, info.instance_id, info.capacity)
            for info in self.cell.instance_list.by_id.values()
            if info.role is InstanceRole.WORKER
        ]
        for zone in ZONES:
            for number in range(ENTRIES_BY_ZONE[zone]):
                self.add_entry(f"{zone}-{number}", zone)
        self._publish()

    def append(self, data: bytes) -> Result[int, Failure]:
        outcome = self.cell.log.append(data)
        refused = (
            isinstance(outcome, Err)
            and outcome.err_value.verdict is Verdict.NOT_RUN
        )
        if not refused:
            self.appended_ms.append(self.clock.now_ms())
        return outcome

    def delay(
        self, delay_ms: int, call: Callable[[], object]
    ) -> Result[WorkerView, Failure]:
        self.late.append(Late(self.clock.now_ms() + delay_ms, call))
        return Err(LOST)

    def add_entry(self, instance_id: str, zone: str) -> Actor:
        number = len(self.network.handlers_by_address) + 1
        settings = Settings(
            instance_id, zone, PlatformSettings("memory:", "memory:")
        )._replace(address=f"10.0.0.{number}", policy="fifo")
        address = f"{settings.address}:{settings.listeners.peer_port}"
        outside = Outside(self)
        workers = FaultyWorkers(outside)
        core = EntryCore(
            settings,
            Adapters(outside, outside, workers, self.cell.backends),
            self.network.link(address),
            self.clock,
        )
        self.network.handlers_by_address[address] = core
        core.join()
        actor = Actor(core, outside, address)
        self.actors[instance_id] = actor
        return actor

    def kill(self, instance_id: str) -> None:
        actor = self.actors.pop(instance_id, None)
        if actor is not None:
            self.network.handlers_by_address[actor.address] = None  # type: ignore[assignment]

    def pause(self, instance_id: str) -> None:
        self.paused.add(instance_id)
        actor = self.actors[instance_id]
        self.network.handlers_by_address[actor.address] = None  # type: ignore[assignment]

    def resume(self, instance_id: str) -> None:
        self.paused.discard(instance_id)
        actor = self.actors.get(instance_id)
        if actor is not None:
            self.network.handlers_by_address[actor.address] = actor.core

    def cut_zone(self, zone: str) -> Callable[[], None]:
        inside = [
            actor
            for name, actor in self.actors.items()
            if name.startswith(zone)
        ]
        addresses = {actor.address for actor in inside}
        outside = {a.address for a in self.actors.values()} - addresses
        pairs = {(a, b) for a in addresses for b in outside}
        pairs |= {(b, a) for a, b in pairs}
        self.network.blocked_links |= pairs
        for actor in inside:
            actor.outside.log_away = True

        def heal() -> None:
            self.network.blocked_links -= pairs
            for actor in inside:
                actor.outside.log_away = False

        return heal

    def tick(self, duration_ms: int) -> None:
        self.clock.advance(duration_ms)
        now_ms = self.clock.now_ms()
        due = [item for item in self.late if item.due_ms <= now_ms]
        self.late = [item for item in self.late if item.due_ms > now_ms]
        for late in due:
            late.deliver()
        names = sorted(self.actors)
        self.rng.shuffle(names)
        for name in names:
            if name not in self.paused:
                for item in self.actors[name].core.steps():
                    item.step()
                self._note_offset(name)
        self._settle_pending()

    def run(self, duration_ms: int, tick_ms: int = 2_000) -> None:
        until_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < until_ms:
            self.tick(tick_ms)

    def submit(
        self,
        instance_id: str,
        job_id: str,
        tasks: int,
        unit: str,
        entry: str = "roster",
        run_ms: int = 0,
    ) -> None:
        run_ms = run_ms or int(self.rng.integers(2_000, 12_000))
        payload = f"run_ms={run_ms}"
        spec = JobSpec(job_id, entry, tasks, TASK, run_ms, 0, payload)
        actor = self.actors.get(instance_id)
        if actor is not None:
            pending = actor.core.journal.enqueue(JobSubmit(spec, unit))
            self.pending.append((pending, spec))

    def cancel(self, instance_id: str, job_id: str) -> None:
        self.actors[instance_id].core.journal.enqueue(JobCancel(job_id))

    def is_at_rest(self) -> bool:
        core = next(iter(self.actors.values())).core
        with core.journal.reading() as state:
            return all(job.is_done for job in state.jobs_by_id.values())

    def history(self) -> list[Event]:
        events = [*self.events, *self._recorded()]
        for worker in self.cell.workers.by_id.values():
            worker.reserved()
            events += worker.events
        return events

    def _settle_pending(self) -> None:
        waiting = []
        for pending, job in self.pending:
            if pending.outcome is None:
                waiting.append((pending, job))
            elif pending.outcome.map_or(False, lambda item: item.applied):
                now_ms = self.clock.now_ms()
                self.events.append(JobAccepted(now_ms, job.job_id, job.tasks))
        self.pending = waiting

    def _note_offset(self, name: str) -> None:
        journal = self.actors[name].core.journal
        with journal.reading() as state:
            versions = tuple(
                (key, item.version)
                for key, item in sorted(state.catalogue_by_name.items())
            )
            incarnation = journal.incarnation
            offset = state.next_offset
        if self._noted_by_name.get(name) == offset:
            return
        self._noted_by_name[name] = offset
        self.events.append(
            OffsetApplied(self.clock.now_ms(), incarnation, offset, versions)
        )

    def _recorded(self) -> list[Event]:
        """Fold the whole log once more; return ends and cancellations."""
        state = ClusterState()
        events: list[Event] = []
        records = self.cell.log.read(0, 10**6).unwrap().records
        for record in records:
            outcome = apply_record(state, record)
            at_ms = self.appended_ms[record.offset]
            for entry, result in zip(
                outcome.entries, outcome.outcomes, strict=False
            ):
                if result.applied and isinstance(entry, JobCancel):
                    events.append(JobCancelled(at_ms, entry.job_id))
                if not result.applied or not isinstance(entry, TaskEnd):
                    continue
                if entry.outcome is TaskOutcome.FINISHED:
                    events.append(
                        TaskFinished(at_ms, entry.job_id, entry.task)
                    )
        return events

    def _publish(self) -> None:
        entry = CatalogueEntry("roster", "clubs", WorkClass.BATCH)
        self.append(encode_record((CataloguePut(entry, 0),)))

    def publish_movable(self, move_after_ms: int) -> None:
        entry = CatalogueEntry(
            "movable",
            "clubs",
            WorkClass.BATCH,
            on_zone_cut=ZoneCutAction.MOVE,
            move_after_ms=move_after_ms,
        )
        self.append(encode_record((CataloguePut(entry, 0),)))
