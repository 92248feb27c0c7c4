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
from magnoliapitch.history import WorkerCapacityReported
from magnoliapitch.job.spec import JobSpec
from magnoliapitch.job.spec import TaskOutcome
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.record import CataloguePut
from magnoliapitch.journal.record import JobCancel
from magnoliapitch.journal.record import JobSubmit
from magnoliapitch.journal.record import TaskEnd
from magnoliapitch.journal.state import ClusterState
from magnoliapitch.journal.state_machine import apply_record
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
from tests.history.environment import Environment
from tests.history.environment import FaultyWorkers


if TYPE_CHECKING:
    import numpy as np

    from magnoliapitch.journal.pending_record_entry import PendingRecordEntry
    from magnoliapitch.verdict import Failure
    from magnoliapitch.worker.lease import WorkerView


ZONES = ("norte", "centro")
CAPACITY = Resources(4_000, 4_000, 0)
TASK = Resources(1_000, 1_000, 0)
INSTANCES_BY_ZONE = {"norte": 2, "centro": 1}
WORKERS_PER_ZONE = 2
NO_ANSWER = may_have_run(FailureCode.TIMEOUT, "no answer")


class DelayedCall(NamedTuple):
    """Call to a worker whose response is lost and that runs later."""

    due_ms: int
    run: Callable[[], object]


class SimulatedInstance(NamedTuple):
    """Entry instance of a simulation.

    :param address: ``IP:PORT`` for its peers.
    """

    core: EntryCore
    environment: Environment
    address: str


class Simulation:
    """Simulated deployment that a test advances step by step.

    Entry instances run against stand-ins of the platform, the workers and
    the network, on a manual clock.

    :param rng: source of all random choices.
    """

    def __init__(self, rng: np.random.Generator) -> None:
        self.rng = rng
        self.clock = ManualClock(1_000)
        shape = ClusterShape(
            ZONES, "app", CAPACITY, WORKERS_PER_ZONE, backends_per_zone=1
        )
        self.cluster = StandinCluster(shape, self.clock)
        self.network = StandinNetwork()
        self.instances_by_id: dict[str, SimulatedInstance] = {}
        self.paused: set[str] = set()
        self.delayed_calls: list[DelayedCall] = []
        self.appended_ms: list[int] = []
        self._offset_by_instance_id: dict[str, int] = {}
        self.pending: list[tuple[PendingRecordEntry, JobSpec]] = []
        self.events: list[Event] = [
            WorkerCapacityReported(0, info.instance_id, info.capacity)
            for info in self.cluster.instance_list.by_id.values()
            if info.role is InstanceRole.WORKER
        ]
        for zone in ZONES:
            for number in range(INSTANCES_BY_ZONE[zone]):
                self.add_instance(f"{zone}-{number}", zone)
        self._publish_default_entry()

    def append(self, data: bytes) -> Result[int, Failure]:
        outcome = self.cluster.log.append(data)
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
        self.delayed_calls.append(
            DelayedCall(self.clock.now_ms() + delay_ms, call)
        )
        return Err(NO_ANSWER)

    def add_instance(self, instance_id: str, zone: str) -> SimulatedInstance:
        number = len(self.network.handlers_by_address) + 1
        settings = Settings(
            instance_id, zone, PlatformSettings("memory:", "memory:")
        )._replace(address=f"10.0.0.{number}", policy="fifo")
        address = f"{settings.address}:{settings.listeners.peer_port}"
        environment = Environment(self)
        workers = FaultyWorkers(environment)
        core = EntryCore(
            settings,
            Adapters(environment, environment, workers, self.cluster.backends),
            self.network.link(address),
            self.clock,
        )
        self.network.handlers_by_address[address] = core
        core.join()
        instance = SimulatedInstance(core, environment, address)
        self.instances_by_id[instance_id] = instance
        return instance

    def kill(self, instance_id: str) -> None:
        instance = self.instances_by_id.pop(instance_id, None)
        if instance is not None:
            self.network.handlers_by_address[instance.address] = None  # type: ignore[assignment]

    def pause(self, instance_id: str) -> None:
        self.paused.add(instance_id)
        instance = self.instances_by_id[instance_id]
        self.network.handlers_by_address[instance.address] = None  # type: ignore[assignment]

    def resume(self, instance_id: str) -> None:
        self.paused.discard(instance_id)
        instance = self.instances_by_id.get(instance_id)
        if instance is not None:
            self.network.handlers_by_address[instance.address] = instance.core

    def cut_zone(self, zone: str) -> Callable[[], None]:
        inside = [
            instance
            for name, instance in self.instances_by_id.items()
            if name.startswith(zone)
        ]
        addresses = {instance.address for instance in inside}
        other_addresses = {
            a.address for a in self.instances_by_id.values()
        } - addresses
        pairs = {(a, b) for a in addresses for b in other_addresses}
        pairs |= {(b, a) for a, b in pairs}
        self.network.blocked_links |= pairs
        for instance in inside:
            instance.environment.is_log_unreachable = True

        def heal() -> None:
            self.network.blocked_links -= pairs
            for instance in inside:
                instance.environment.is_log_unreachable = False

        return heal

    def tick(self, duration_ms: int) -> None:
        self.clock.advance(duration_ms)
        now_ms = self.clock.now_ms()
        due = [item for item in self.delayed_calls if item.due_ms <= now_ms]
        self.delayed_calls = [
            item for item in self.delayed_calls if item.due_ms > now_ms
        ]
        for delayed_call in due:
            delayed_call.run()
        names = sorted(self.instances_by_id)
        self.rng.shuffle(names)
        for name in names:
            if name not in self.paused:
                for item in self.instances_by_id[name].core.steps():
                    item.step()
                self._record_offset(name)
        self._record_accepted_jobs()

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
        instance = self.instances_by_id.get(instance_id)
        if instance is not None:
            pending = instance.core.journal.enqueue(JobSubmit(spec, unit))
            self.pending.append((pending, spec))

    def cancel(self, instance_id: str, job_id: str) -> None:
        self.instances_by_id[instance_id].core.journal.enqueue(
            JobCancel(job_id)
        )

    def all_jobs_done(self) -> bool:
        core = next(iter(self.instances_by_id.values())).core
        with core.journal.locked_state() as state:
            return all(job.is_done for job in state.jobs_by_id.values())

    def history(self) -> list[Event]:
        events = [*self.events, *self._events_from_log()]
        for worker in self.cluster.workers.by_id.values():
            worker.reserved()
            events += worker.events
        return events

    def _record_accepted_jobs(self) -> None:
        waiting = []
        for pending, job in self.pending:
            if pending.outcome is None:
                waiting.append((pending, job))
            elif pending.outcome.map_or(False, lambda item: item.applied):
                now_ms = self.clock.now_ms()
                self.events.append(JobAccepted(now_ms, job.job_id, job.tasks))
        self.pending = waiting

    def _record_offset(self, name: str) -> None:
        journal = self.instances_by_id[name].core.journal
        with journal.locked_state() as state:
            versions = tuple(
                (key, item.version)
                for key, item in sorted(state.catalogue_by_name.items())
            )
            incarnation = journal.incarnation
            offset = state.next_offset
        if self._offset_by_instance_id.get(name) == offset:
            return
        self._offset_by_instance_id[name] = offset
        self.events.append(
            OffsetApplied(self.clock.now_ms(), incarnation, offset, versions)
        )

    def _events_from_log(self) -> list[Event]:
        """Replay the log and return task ends and cancellations in it."""
        state = ClusterState()
        events: list[Event] = []
        records = self.cluster.log.read(0, 10**6).unwrap().records
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

    def _publish_default_entry(self) -> None:
        entry = CatalogueEntry("roster", "clubs", WorkClass.BATCH)
        self.append(encode_record((CataloguePut(entry, 0),)))

    def publish_movable_entry(self, move_after_ms: int) -> None:
        entry = CatalogueEntry(
            "movable",
            "clubs",
            WorkClass.BATCH,
            on_zone_cut=ZoneCutAction.MOVE,
            move_after_ms=move_after_ms,
        )
        self.append(encode_record((CataloguePut(entry, 0),)))
