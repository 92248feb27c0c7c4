"""Wires the parts of an entry instance into a supervisor tree."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.api.admin import admin_application
from magnoliapitch.api.caller import caller_application
from magnoliapitch.clock import Clock
from magnoliapitch.clock import MonotonicClock
from magnoliapitch.decision import first_fit as _first_fit  # noqa: F401
from magnoliapitch.decision.registry import make_scheduler
from magnoliapitch.entry.adapters import Adapters
from magnoliapitch.http import Listener
from magnoliapitch.job.manager import JobManager
from magnoliapitch.journal.journal import Journal
from magnoliapitch.journal.record import EntryJoin
from magnoliapitch.journal.record import JobSubmit
from magnoliapitch.membership.identity import Identity
from magnoliapitch.membership.membership import Membership
from magnoliapitch.ownership.claimer import Claimer
from magnoliapitch.peer.message import Beat
from magnoliapitch.peer.message import ForwardedAnswer
from magnoliapitch.peer.message import ForwardedRequest
from magnoliapitch.peer.message import LogPage
from magnoliapitch.peer.message import StateSnapshot
from magnoliapitch.peer.node import PeerNode
from magnoliapitch.platform.fleet import Fleet
from magnoliapitch.platform.instance import InstanceRole
from magnoliapitch.request.router import Router
from magnoliapitch.supervisor import Child
from magnoliapitch.supervisor import Loop
from magnoliapitch.supervisor import Supervisor
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.job.spec import JobSpec
    from magnoliapitch.settings.model import Settings


FOLLOW_WAIT_MS = 200
DEFAULT_PATIENCE_MS = 10_000


class EntryNode:
    """One entry instance."""

    def __init__(
        self,
        settings: Settings,
        adapters: Adapters,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or MonotonicClock()
        self.identity = Identity.create(
            settings.instance_id,
            settings.zone,
            f"{settings.address}:{settings.peer_port}",
        )
        self.fleet = Fleet(adapters.instance_list)
        self.journal = Journal(
            adapters.log, self.identity.incarnation, self.clock
        )
        self.membership = Membership(self.identity, self.journal, self.clock)
        self.claimer = Claimer(self.identity, self.journal, self.fleet)
        self.router = Router(
            self.journal,
            self.fleet,
            self.claimer,
            self.membership,
            adapters.backends,
        )
        self.jobs = JobManager(
            self.journal,
            self.fleet,
            self.claimer,
            adapters.workers,
            make_scheduler(settings.policy),
            self.clock,
        )
        address = settings.address
        self.peer_node = PeerNode((address, settings.peer_port), self)
        self.router.node = self.peer_node
        self.caller_listener = Listener(
            "callers",
            (address, settings.caller_port),
            caller_application(self),
            settings.caller_threads,
        )
        self.admin_listener = Listener(
            "operators",
            (address, settings.admin_port),
            admin_application(self),
            settings.admin_threads,
        )
        self.supervisor = Supervisor("entry", self._children(), self.clock)

    @classmethod
    def from_settings(cls, settings: Settings) -> EntryNode:
        """Build an entry instance with the adapters of its settings."""
        return cls(settings, Adapters.from_settings(settings))

    def start(self) -> None:
        """Join and start serving."""
        self.journal.enqueue(
            EntryJoin(
                self.identity.instance_id,
                self.identity.incarnation,
                self.identity.zone,
                self.identity.peer_address,
            )
        )
        self.supervisor.start()

    def stop(self) -> None:
        """Stop serving."""
        self.supervisor.stop()

    def is_ready(self) -> bool:
        """Return whether requests can be accepted."""
        return self.journal.last_read_ms is not None

    def patience_ms(self, entry: str) -> int:
        """Return how long callers of an entry wait."""
        with self.journal.reading() as state:
            versioned = state.catalogue_by_name.get(entry)
        return (
            versioned.entry.patience_ms if versioned else DEFAULT_PATIENCE_MS
        )

    def submit_job(
        self, job: JobSpec, timeout_ms: int
    ) -> Result[None, Failure]:
        """Accept a job and assign it to a unit of workers."""
        unit = self._unit_for()
        if unit is None:
            return Err(
                not_run(FailureCode.UNAVAILABLE, "no rack is owned", 1_000)
            )
        outcome = self.journal.commit(JobSubmit(job, unit), timeout_ms)
        if isinstance(outcome, Err):
            return outcome
        if not outcome.ok_value.applied:
            return Err(not_run(FailureCode.DUPLICATE, outcome.ok_value.reason))
        return Ok(None)

    def job_status(self, job_id: str) -> dict[str, object] | None:
        """Return what the log knows of a job."""
        with self.journal.reading() as state:
            job = state.jobs_by_id.get(job_id)
            if job is None:
                return None
            return {
                "job_id": job_id,
                "unit": job.unit,
                "tasks": job.spec.tasks,
                "finished": job.finished_tasks,
                "cancelled": job.cancelled,
                "done": job.is_done,
            }

    def dump(self) -> dict[str, object]:
        """Return the state of every part."""
        return {
            "journal": self.journal.dump(),
            "membership": self.membership.dump(),
            "router": self.router.dump(),
            "jobs": self.jobs.dump(),
            "restarts": self.supervisor.restarts_by_child,
        }

    def heartbeat(self, beat: Beat) -> Beat:
        """Take in a peer's heartbeat and return the own one."""
        return self.membership.receive(beat)

    def forward(
        self, request: ForwardedRequest
    ) -> Result[ForwardedAnswer, Failure]:
        """Execute a forwarded request."""
        return self.router.execute_here(request)

    def read_log(self, from_offset: int, limit: int) -> LogPage:  # noqa: ARG002
        """Relay log records."""
        beat = self.membership.beat()
        return LogPage((), beat.next_offset, beat.log_age_ms)

    def snapshot(self) -> StateSnapshot:
        """Return the encoded fold."""
        return StateSnapshot(0, "", b"")

    def _unit_for(self) -> str | None:
        workers = {
            worker.unit for worker in self.fleet.of_role(InstanceRole.WORKER)
        }
        with self.journal.reading() as state:
            owned = [
                claim.unit
                for claim in state.claims_by_unit.values()
                if claim.incarnation and claim.unit in workers
            ]
            load_by_unit = dict.fromkeys(owned, 0)
            for job in state.jobs_by_id.values():
                if job.unit in load_by_unit and not job.is_done:
                    load_by_unit[job.unit] += job.spec.tasks
        if not load_by_unit:
            return None
        return min(load_by_unit, key=lambda unit: (load_by_unit[unit], unit))

    def _children(self) -> list[Child]:
        journal = self.journal
        return [
            Loop(
                "follower",
                lambda: journal.follow_step(FOLLOW_WAIT_MS),
                self.clock,
            ),
            Loop("appender", journal.append_step, self.clock),
            Loop("fleet", self.fleet.refresh_step, self.clock),
            self.peer_node,
            Loop(
                "heartbeat",
                lambda: self.membership.heartbeat_step(self.peer_node),
                self.clock,
            ),
            Loop("claimer", self.claimer.claim_step, self.clock),
            Loop("jobs", self.jobs.step, self.clock),
            self.admin_listener,
            self.caller_listener,
        ]
