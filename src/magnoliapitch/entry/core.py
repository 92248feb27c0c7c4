"""The parts of an entry instance without threads and listeners."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.decision.registry import make_scheduler
from magnoliapitch.decision.synchronized import SynchronizedScheduler
from magnoliapitch.entry.job_desk import JobDesk
from magnoliapitch.event import log_event
from magnoliapitch.job.manager import JobManager
from magnoliapitch.journal.journal import Journal
from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.journal.record import MemberLeave
from magnoliapitch.journal.snapshot_writer import SnapshotWriter
from magnoliapitch.membership.fleet import Fleet
from magnoliapitch.membership.identity import Identity
from magnoliapitch.membership.membership import Membership
from magnoliapitch.membership.presence import PresenceKeeper
from magnoliapitch.membership.relay import PeerRelay
from magnoliapitch.metric import Metrics
from magnoliapitch.ownership.claimer import Claimer
from magnoliapitch.ownership.job_mover import JobMover
from magnoliapitch.ownership.presence_lease import PresenceLease
from magnoliapitch.peer.message import Beat
from magnoliapitch.peer.message import ForwardedAnswer
from magnoliapitch.peer.message import ForwardedRequest
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
DRAIN_RETRY_MS = 100
INCOMPLETE_RETRY_MS = 1_000
LEAVE_TRIES = 5


class NamedStep(NamedTuple):
    """A step that one thread, or a test, calls again and again.

    :param step: returns the milliseconds until its next call.
    :param branch: supervisor that the step's loop belongs to.
    """

    name: str
    step: Step
    branch: str = "cluster"


class EntryCore:
    """State and behaviour of one entry instance.

    Nothing here starts a thread; :meth:`steps` are driven from outside.

    :ivar on_superseded: called when the log names this incarnation as
        gone.
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
        self.fleet = Fleet(adapters.instance_list)
        self.journal = Journal(
            adapters.log,
            self.identity.incarnation,
            self.clock,
            settings.platform.log_appends_per_s,
        )
        self.snapshots = SnapshotWriter(self.journal)
        self.membership = Membership(
            self.identity,
            self.journal,
            self.clock,
            self.fleet,
            settings.peer_addresses,
        )
        self.presence = PresenceKeeper(
            self.membership,
            self.journal,
            self.fleet,
            self.clock,
            self._retire,
        )
        self.journal.follower.peer_source = PeerRelay(self.membership, link)
        self.claimer = Claimer(
            self.identity,
            self.journal,
            self.fleet,
            self.membership,
            self.clock,
        )
        self.router = Router(
            self.journal,
            self.fleet,
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
        self.hold = PresenceLease(
            self.identity.incarnation, self.journal, self.clock
        )
        self.desk = JobDesk(self.journal, self.fleet, scheduler)
        self.jobs = JobManager(
            self.journal,
            self.fleet,
            self.claimer,
            adapters.workers,
            scheduler,
            self.clock,
            self.hold,
            runner,
            settings.timing.lease_ttl_ms,
            self.metrics,
        )
        self.mover = JobMover(
            settings.zone, self.journal, self.claimer, self.clock
        )
        self._link = link

    def steps(self, wait_ms: int = 0) -> tuple[NamedStep, ...]:
        """Return the steps in the order in which they are started.

        :param wait_ms: how long a step may wait for something to do; 0
            for steps that are driven with a manual clock.
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
            NamedStep("presence", self.presence.step),
            NamedStep("snapshots", self.snapshots.step, "platform"),
            NamedStep("fleet", self.fleet.refresh_step, "platform"),
            NamedStep("heartbeat", self._heartbeat_step),
            NamedStep("claimer", self.claimer.claim_step),
            NamedStep("hold", self.hold.step),
            NamedStep("mover", self.mover.step),
            NamedStep("jobs", self.jobs.step),
        )

    def join(self) -> None:
        """Announce this incarnation through the log."""
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
        """Announce the departure; call it when no step runs any more."""
        self.journal.enqueue(MemberLeave(self.identity.incarnation))
        for _ in range(LEAVE_TRIES):
            if not self.journal.has_unsent():
                return
            self.journal.append_step()

    def applied_everywhere(self) -> AppliedEverywhere:
        """Return up to which offset the log is in force everywhere."""
        return self.membership.applied_everywhere()

    @property
    def is_draining(self) -> bool:
        """Whether new work is refused."""
        return self.membership.leaving

    def drain(self) -> None:
        """Refuse new work from now on; what was accepted goes on."""
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
                "the log's history is not known yet",
                INCOMPLETE_RETRY_MS,
            )
        if not self.is_draining:
            return None
        return not_run(
            FailureCode.SHUTTING_DOWN,
            f"instance {self.identity.instance_id} is stopping",
            DRAIN_RETRY_MS,
        )

    def patience_ms(self, entry: str) -> int:
        """Return how long callers of an entry wait."""
        with self.journal.locked_state() as state:
            versioned = state.catalogue_by_name.get(entry)
        if versioned is None:
            return DEFAULT_PATIENCE_MS
        return versioned.entry.patience_ms

    def class_of(self, entry: str) -> str:
        """Return the class of an entry's work, or ``unknown``."""
        with self.journal.locked_state() as state:
            versioned = state.catalogue_by_name.get(entry)
        return versioned.entry.work_class.value if versioned else "unknown"

    def job_status(self, job_id: str) -> dict[str, object] | None:
        """Return what the log knows of a job."""
        with self.journal.locked_state() as state:
            job = state.jobs_by_id.get(job_id)
            return None if job is None else _job_row(job)

    def job_list(self) -> list[dict[str, object]]:
        """Return what the log knows of every job."""
        with self.journal.locked_state() as state:
            return [_job_row(job) for job in state.jobs_by_id.values()]

    def dump(self) -> dict[str, object]:
        """Return the state of every part."""
        return {
            "journal": self.journal.dump(),
            "membership": self.membership.dump(),
            "router": self.router.dump(),
            "jobs": self.jobs.dump(),
            "draining": self.is_draining,
            "metrics": self.metrics.dump(),
        }

    def heartbeat(self, beat: Beat) -> Beat:
        """Take in a peer's heartbeat and return the own one."""
        return self.membership.receive(beat)

    def forward(
        self, request: ForwardedRequest
    ) -> Result[ForwardedAnswer, Failure]:
        """Execute a forwarded request."""
        return self.router.execute_forwarded(request)

    def read_log(self, from_offset: int, limit: int) -> LogPage:
        """Relay log records."""
        beat = self.membership.beat()
        records = self.journal.page(from_offset, limit)
        return LogPage(records, beat.next_offset, beat.log_age_ms)

    def snapshot(self) -> StateSnapshot:
        """Return the encoded fold."""
        return self.journal.snapshot()

    def _heartbeat_step(self) -> int:
        self.membership.loads = self.router.loads()
        return self.membership.heartbeat_step(self._link)

    def _caller_url(self) -> str:
        port = self.settings.listeners.caller_port
        return f"http://{self.settings.address}:{port}"

    def _retire(self) -> None:
        """Stop working for good: another incarnation has taken over."""
        if self.is_draining:
            return
        log_event("superseded", incarnation=self.identity.incarnation)
        self.drain()
        if self.on_superseded is not None:
            self.on_superseded()


def _job_row(job: JobRecord) -> dict[str, object]:
    return {
        "job_id": job.spec.job_id,
        "entry": job.spec.entry,
        "unit": job.unit,
        "tasks": job.spec.tasks,
        "finished": job.finished_tasks,
        "cancelled": job.cancelled,
        "done": job.is_done,
    }
