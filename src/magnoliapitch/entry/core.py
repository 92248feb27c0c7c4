"""Components of an entry instance, without threads and listeners."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.decision.registry import make_scheduler
from magnoliapitch.decision.synchronized import SynchronizedScheduler
from magnoliapitch.entry.job_service import JobService
from magnoliapitch.event import log_event
from magnoliapitch.job.manager import JobManager
from magnoliapitch.journal.journal import Journal
from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.journal.record import MemberLeave
from magnoliapitch.journal.snapshot_writer import SnapshotWriter
from magnoliapitch.membership.identity import Identity
from magnoliapitch.membership.instance_cache import InstanceCache
from magnoliapitch.membership.membership import Membership
from magnoliapitch.membership.presence import MembershipRecorder
from magnoliapitch.membership.relay import PeerLogSource
from magnoliapitch.metric import Metrics
from magnoliapitch.ownership.claimer import Claimer
from magnoliapitch.ownership.job_mover import JobMover
from magnoliapitch.ownership.presence_lease import PresenceLease
from magnoliapitch.peer.message import ForwardedAnswer
from magnoliapitch.peer.message import ForwardedRequest
from magnoliapitch.peer.message import Heartbeat
from magnoliapitch.peer.message import LogPage
from magnoliapitch.policy.options import options_of
from magnoliapitch.request.router import Router
from magnoliapitch.supervisor.loop import Step
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from magnoliapitch.clock import Clock
    from magnoliapitch.entry.adapters import Adapters
    from magnoliapitch.journal.state import JobRecord
    from magnoliapitch.membership.progress import AppliedEverywhere
    from magnoliapitch.peer.link import PeerLink
    from magnoliapitch.peer.message import StateSnapshot
    from magnoliapitch.settings.model import Settings
    from magnoliapitch.verdict import Failure
    from magnoliapitch.worker.runner import CallRunner


DEFAULT_PATIENCE_MS = 10_000
DRAINING_RETRY_MS = 100
INCOMPLETE_HISTORY_RETRY_MS = 1_000
MAX_LEAVE_ATTEMPTS = 5


class NamedStep(NamedTuple):
    """Function that a single thread, or a test, calls periodically.

    :param name: name of the thread that calls it.
    :param step: does the work; returns the milliseconds until its next call.
    :param branch: name of the supervisor that the thread belongs to.
    """

    name: str
    step: Step
    branch: str = "cluster"


class EntryCore:
    """State and behaviour of an entry instance that follows the log.

    It starts no threads itself: its user calls the functions that
    :meth:`steps` returns.

    :param link: client for calls to peers.
    :param runner: runs calls to workers.
    :ivar on_superseded: called when the log says that this incarnation has
        left, because another one replaced it or it was considered gone.
    """

    def __init__(
        self,
        settings: Settings,
        adapters: Adapters,
        link: PeerLink,
        clock: Clock,
        runner: CallRunner | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.on_superseded: Callable[[], None] | None = None
        self.identity = Identity.create(
            settings.instance_id,
            settings.zone,
            f"{settings.address}:{settings.listeners.peer_port}",
        )
        self.metrics = Metrics()
        self.instance_cache = InstanceCache(adapters.instance_list)
        self.journal = Journal(
            adapters.log,
            self.identity.incarnation,
            self.clock,
            settings.platform.log_appends_per_s,
        )
        self.snapshot_writer = SnapshotWriter(self.journal)
        self.membership = Membership(
            self.identity,
            self.journal,
            self.clock,
            self.instance_cache,
            settings.peer_addresses,
        )
        self.membership_recorder = MembershipRecorder(
            self.membership,
            self.journal,
            self.instance_cache,
            self.clock,
            self._handle_superseded,
        )
        self.journal.follower.peer_source = PeerLogSource(
            self.membership, link
        )
        self.claimer = Claimer(
            self.identity,
            self.journal,
            self.instance_cache,
            self.membership,
            self.clock,
        )
        self.router = Router(
            self.journal,
            self.instance_cache,
            self.claimer,
            self.membership,
            adapters.backends,
            link,
            clock,
        )
        scheduler = SynchronizedScheduler(
            make_scheduler(
                settings.policy,
                options_of(settings.profile, settings.weights),
            )
        )
        self.presence_lease = PresenceLease(
            self.identity.incarnation, self.journal, self.clock
        )
        self.job_service = JobService(
            self.journal, self.instance_cache, scheduler
        )
        self.job_manager = JobManager(
            self.journal,
            self.instance_cache,
            self.claimer,
            adapters.workers,
            scheduler,
            self.clock,
            self.presence_lease,
            runner,
            settings.timing.lease_ttl_ms,
            self.metrics,
        )
        self.job_mover = JobMover(
            settings.zone, self.journal, self.claimer, self.clock
        )
        self._peer_link = link

    def steps(self, wait_ms: int = 0) -> tuple[NamedStep, ...]:
        """Return the steps, in the order in which to start their threads.

        :param wait_ms: how long a step may block while it has no work; 0
            if the steps are called with a manual clock.
        """
        return (
            NamedStep(
                "follower",
                lambda: self.journal.follow_step(wait_ms),
                "platform",
            ),
            NamedStep(
                "appender",
                lambda: self.journal.append_step(wait_ms),
                "platform",
            ),
            NamedStep("presence", self.membership_recorder.step),
            NamedStep("snapshots", self.snapshot_writer.step, "platform"),
            NamedStep("fleet", self.instance_cache.refresh_step, "platform"),
            NamedStep("heartbeat", self._heartbeat_step),
            NamedStep("claimer", self.claimer.claim_step),
            NamedStep("hold", self.presence_lease.step),
            NamedStep("mover", self.job_mover.step),
            NamedStep("jobs", self.job_manager.step),
        )

    def join(self) -> None:
        """Announce this incarnation to all instances through the log."""
        self.journal.enqueue(
            MemberJoin(
                self.identity.instance_id,
                self.identity.incarnation,
                self.identity.zone,
                self.identity.peer_address,
                self._caller_url(),
            )
        )

    def leave(self) -> None:
        """Announce through the log that this incarnation has stopped.

        To be called after all steps have stopped.
        """
        self.journal.enqueue(MemberLeave(self.identity.incarnation))
        for _ in range(MAX_LEAVE_ATTEMPTS):
            if not self.journal.has_unsent():
                return
            self.journal.append_step()

    def applied_everywhere(self) -> AppliedEverywhere:
        """Return up to which offset all instances have applied the log."""
        return self.membership.applied_everywhere()

    @property
    def is_draining(self) -> bool:
        """Whether new work is refused."""
        return self.membership.leaving

    def drain(self) -> None:
        """Refuse new work from now on; accepted work continues."""
        if not self.is_draining:
            self.router.begin_drain()
            log_event("drain-started")

    def is_ready(self) -> bool:
        """Return whether requests can be accepted."""
        return not self.is_draining and self.journal.is_complete

    def refusal(self) -> Failure | None:
        """Return why new work is refused, if it is."""
        if not self.journal.is_complete:
            return not_run(
                FailureCode.UNAVAILABLE,
                "the history in the log has not been loaded completely yet",
                INCOMPLETE_HISTORY_RETRY_MS,
            )
        if not self.is_draining:
            return None
        return not_run(
            FailureCode.SHUTTING_DOWN,
            f"instance {self.identity.instance_id} is stopping",
            DRAINING_RETRY_MS,
        )

    def patience_ms(self, entry: str) -> int:
        """Return how long callers of a catalogue entry wait, in ms."""
        with self.journal.locked_state() as state:
            versioned = state.catalogue_by_name.get(entry)
        if versioned is None:
            return DEFAULT_PATIENCE_MS
        return versioned.entry.patience_ms

    def work_class_of(self, entry: str) -> str:
        """Return the work class of a catalogue entry, or ``unknown``."""
        with self.journal.locked_state() as state:
            versioned = state.catalogue_by_name.get(entry)
        return versioned.entry.work_class.value if versioned else "unknown"

    def job_status(self, job_id: str) -> dict[str, object] | None:
        """Return a summary of a job from the log, or None."""
        with self.journal.locked_state() as state:
            job = state.jobs_by_id.get(job_id)
            return None if job is None else _job_summary(job)

    def job_list(self) -> list[dict[str, object]]:
        """Return a summary of each job in the log."""
        with self.journal.locked_state() as state:
            return [_job_summary(job) for job in state.jobs_by_id.values()]

    def dump(self) -> dict[str, object]:
        """Return the state of all components."""
        return {
            "journal": self.journal.dump(),
            "membership": self.membership.dump(),
            "router": self.router.dump(),
            "jobs": self.job_manager.dump(),
            "draining": self.is_draining,
            "metrics": self.metrics.dump(),
        }

    def heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Record a peer's heartbeat and answer with one of this instance."""
        return self.membership.handle_heartbeat(heartbeat)

    def forward(
        self, request: ForwardedRequest
    ) -> Result[ForwardedAnswer, Failure]:
        """Execute a request that a peer has forwarded."""
        return self.router.execute_forwarded(request)

    def read_log(self, from_offset: int, limit: int) -> LogPage:
        """Return log records from the local copy."""
        heartbeat = self.membership.own_heartbeat()
        records = self.journal.page(from_offset, limit)
        return LogPage(records, heartbeat.next_offset, heartbeat.log_age_ms)

    def snapshot(self) -> StateSnapshot:
        """Return the encoded replicated state."""
        return self.journal.snapshot()

    def _heartbeat_step(self) -> int:
        self.membership.loads = self.router.loads()
        return self.membership.heartbeat_step(self._peer_link)

    def _caller_url(self) -> str:
        port = self.settings.listeners.caller_port
        return f"http://{self.settings.address}:{port}"

    def _handle_superseded(self) -> None:
        """Stop for good, since the log says that this incarnation has left."""
        if self.is_draining:
            return
        log_event("superseded", incarnation=self.identity.incarnation)
        self.drain()
        if self.on_superseded is not None:
            self.on_superseded()


def _job_summary(job: JobRecord) -> dict[str, object]:
    return {
        "job_id": job.spec.job_id,
        "entry": job.spec.entry,
        "unit": job.unit,
        "tasks": job.spec.tasks,
        "finished": job.finished_tasks,
        "cancelled": job.cancelled,
        "done": job.is_done,
    }
