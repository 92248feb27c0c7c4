"""Runs the controller while this instance leads, with threads for calls."""

from __future__ import annotations

import threading
import time

from typing import TYPE_CHECKING

from result import Err
from result import Result

from magnoliapitch.collector import collect_dropped_state
from magnoliapitch.collector import collections_paused
from magnoliapitch.control.advisor_calls import AdvisorCalls
from magnoliapitch.control.committer import Committer
from magnoliapitch.control.controller import Controller
from magnoliapitch.control.delegation.router import WorkerRouter
from magnoliapitch.control.event_dispatch import EventIntake
from magnoliapitch.control.event_dispatch import Leading
from magnoliapitch.control.events import Event
from magnoliapitch.control.events import JobsRead
from magnoliapitch.control.events import WorkersListed
from magnoliapitch.control.job_deletions import JobDeletions
from magnoliapitch.control.leader_effects import LeaderEffects
from magnoliapitch.control.leader_preparation import REPLACED_CODES
from magnoliapitch.control.leader_preparation import LeaderPreparation
from magnoliapitch.control.loop_summary import LoopSummary
from magnoliapitch.control.periodic_call import PeriodicCall
from magnoliapitch.control.round_pacing import round_pause_ms
from magnoliapitch.event import log_event
from magnoliapitch.planner.planner import DEFAULT_OPTIONS


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from magnoliapitch.clock import Clock
    from magnoliapitch.control.clients import Clients
    from magnoliapitch.control.order_sender import OrderSender
    from magnoliapitch.control.timing import ControlTiming
    from magnoliapitch.ledger.claim import Claim
    from magnoliapitch.ledger.job_follower import JobFollower
    from magnoliapitch.ledger.leadership import Leadership
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.ledger.stream import KeyedRecord
    from magnoliapitch.metric import Metrics
    from magnoliapitch.planner.options import PlanningOptions
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Configuration


WORKER_LIST_INTERVAL_MS = 500
# A slow list is better than none as long as starts may still rest on it, so
# that a read is given this part of that time.
LIST_TIMEOUT_DIVISOR = 2
UPKEEP_INTERVAL_MS = 500
MAX_EVENT_WAIT_MS = 200
# While workers wait for instances to answer their probes.
PROBE_EVENT_WAIT_MS = 20
STANDBY_WAIT_MS = 1_000
STOPPED_WAIT_MS = 50


class ControlDriver:
    """Runs a controller while this instance leads.

    Each leadership has an event queue of its own, which the calls that it
    makes post to, so that an answer to an earlier one is never applied.

    :param configuration: returns the newest configuration, or None if none
        was read yet.
    :param open_job_follower: returns a new follower of the stored jobs, which
        calls back after each read as :class:`JobFollower` tells.
    :param order_sender: sends the orders to workers that this instance calls.
    :param own_cores: processor cores of this instance.
    """

    def __init__(
        self,
        leadership: Leadership,
        state_table: StateTable,
        clients: Clients,
        timing: ControlTiming,
        clock: Clock,
        configuration: Callable[[], Configuration | None],
        open_job_follower: Callable[
            [Callable[[frozenset[str], int, int], None]], JobFollower
        ],
        metrics: Metrics,
        order_sender: OrderSender,
        own_cores: float = 1.0,
        options: PlanningOptions = DEFAULT_OPTIONS,
    ) -> None:
        self._leadership = leadership
        self._state_table = state_table
        self._clients = clients
        self._timing = timing
        self._clock = clock
        self._configuration = configuration
        self._open_job_follower = open_job_follower
        self._metrics = metrics
        self._job_follower: JobFollower | None = None
        self._is_following = threading.Event()
        self._job_deletions = JobDeletions()
        self._events = EventIntake()
        self._controller: Controller | None = None
        self._effects: LeaderEffects | None = None
        self._order_sender = order_sender
        self._own_cores = own_cores
        self._options = options
        self._committer = Committer(leadership, clock)
        self._preparation = LeaderPreparation(
            leadership, clock, lambda: not self._is_stopping
        )
        self._advisor_calls = AdvisorCalls(clients.advisor_channels, clock)
        self._worker_reading = PeriodicCall(
            "workers",
            WORKER_LIST_INTERVAL_MS,
            self._read_workers,
            lambda failure: log_event(
                "worker-list-unavailable", reason=failure.detail
            ),
        )
        self._upkeep = PeriodicCall(
            "upkeep",
            UPKEEP_INTERVAL_MS,
            self._maintain,
            lambda failure: log_event(
                "leader-upkeep-failed", reason=failure.detail
            ),
        )
        self._loop_summary = LoopSummary(clock.now_ms())
        self._is_stopping = False

    def post(self, event: Event) -> None:
        """Queue an event for the controller; drop it if there is none."""
        if self._controller is not None:
            self._events.put(event)

    def stop(self) -> None:
        """Stop after the current round and resign from leadership."""
        self._is_stopping = True

    def step(self) -> int:
        """Run one round if this instance leads.

        :return: pause until the next call, in milliseconds.
        """
        controller = self._controller or self._start_leading()
        if controller is None:
            return STOPPED_WAIT_MS
        if controller.is_over or self._is_stopping:
            # Its state is freed.
            del controller
            self._stop_leading()
            return STOPPED_WAIT_MS
        return self._run_round(controller)

    def _start_leading(self) -> Controller | None:
        claim = self._leadership.wait_for_claim(STANDBY_WAIT_MS)
        if claim is None:
            return None
        if self._is_stopping:
            self._stop_leading()
            return None
        job_follower = self._open_job_follower(self._post_jobs_read)
        prepared = self._preparation.run(claim, job_follower)
        if isinstance(prepared, Err):
            self._handle_unprepared(prepared.err_value)
            return None
        controller = self._load_controller(claim, job_follower)
        if controller is None:
            self._handle_unprepared(self._preparation.interruption())
            collect_dropped_state()
            return None
        self._controller = controller
        self._job_follower = job_follower
        self._is_following.set()
        return controller

    def _post_jobs_read(
        self, job_ids: frozenset[str], end: int, read_ms: int
    ) -> None:
        for event in JobsRead(job_ids, end, read_ms).parts():
            self.post(event)

    def _load_controller(
        self, claim: Claim, job_follower: JobFollower
    ) -> Controller | None:
        """Return the controller of a claim with its state, or None.

        There is none if this instance is not to lead any more.
        """
        self._events = EventIntake()
        self._worker_reading.expedite()
        self._upkeep.expedite()
        effects = LeaderEffects(
            claim.record.epoch,
            self._committer,
            self._job_deletions,
            self._advisor_calls,
            self._events.put,
            self._leads_in,
        )
        controller = Controller(
            claim.record,
            claim.sent_ms,
            claim.clock,
            self._timing,
            job_follower.job_table,
            self._state_table,
            effects,
            self._configuration,
            self._metrics,
            self._options,
        )
        self._effects = effects
        effects.router = WorkerRouter.from_clients(
            self._clients,
            controller.epoch,
            controller.next_lease_deadline,
            self._order_sender,
            self._clock,
            self._own_cores,
            self._events.put,
        )
        self._use_known_peers()
        with collections_paused():
            is_loaded = controller.load(
                self._clock.now_ms(),
                job_follower.end,
                job_follower.read_ms,
                self._preparation.goes_on,
            )
        if is_loaded:
            return controller
        self._close_router()
        return None

    def follow_jobs(self) -> int:
        """Read newly submitted jobs if this instance leads.

        :return: pause until the next call, in milliseconds.
        """
        self._is_following.wait(STANDBY_WAIT_MS / 1000)
        job_follower = self._job_follower
        return 0 if job_follower is None else job_follower.step()

    def add_appended_jobs(
        self, records: Sequence[KeyedRecord], first_offset: int
    ) -> None:
        """Take in what this instance has appended to the job stream.

        :param first_offset: offset of the first record.
        """
        job_follower = self._job_follower
        if job_follower is not None:
            job_follower.add_appended(records, first_offset)

    def _handle_unprepared(self, failure: Failure) -> None:
        if failure.code in REPLACED_CODES:
            self._leadership.step_down()
        log_event("leadership-unprepared", reason=failure.detail)

    def _stop_leading(self) -> None:
        self._controller = None
        self._is_following.clear()
        self._job_follower = None
        self._close_router()
        if self._is_stopping:
            self._committer.close()
            self._leadership.resign()
        self._leadership.step_down()
        if not self._is_stopping:
            collect_dropped_state()

    @property
    def _router(self) -> WorkerRouter | None:
        return None if self._effects is None else self._effects.router

    def _close_router(self) -> None:
        if self._effects is not None:
            self._effects.close()
            self._effects = None

    def _run_round(self, controller: Controller) -> int:
        started_ms = self._clock.now_ms()
        self._worker_reading.begin_if_due(started_ms)
        self._upkeep.begin_if_due(started_ms)
        self._advisor_calls.begin_due_probes()
        self._preparation.keep_claim()
        if self._router is not None and self._router.is_waiting:
            self._router.assign()
        self._wait_for_event(controller)
        received_ms = self._clock.now_ms()
        leading = Leading(controller, self._router)
        event_count = self._events.apply(leading, self._clock)
        now_ms = self._clock.now_ms()
        self._loop_summary.record_events(event_count, now_ms - received_ms)
        controller.run_round(now_ms, _wall_ms())
        ended_ms = self._clock.now_ms()
        pause_ms = round_pause_ms(ended_ms - started_ms, ended_ms - now_ms)
        self._loop_summary.record_round(ended_ms - now_ms, pause_ms, ended_ms)
        return pause_ms

    def _wait_for_event(self, controller: Controller) -> None:
        wait_ms = MAX_EVENT_WAIT_MS
        if self._router is not None and self._router.is_waiting:
            wait_ms = PROBE_EVENT_WAIT_MS
        if controller.has_steps_left(_wall_ms()):
            wait_ms = 0
        self._events.wait(wait_ms)

    def _read_workers(self) -> Result[None, Failure]:
        read_ms = self._clock.now_ms()
        found = self._clients.directory.workers(
            self._timing.worker_list_validity_ms // LIST_TIMEOUT_DIVISOR
        )
        return found.map(
            lambda info_by_id: self.post(WorkersListed(info_by_id, read_ms))
        )

    def _maintain(self) -> Result[None, Failure]:
        """Read which instances may be agents, then delete ended jobs."""
        peers = self._clients.members.peers()
        self._use_known_peers()
        deleted = self._job_deletions.carry_out(self._job_follower)
        return peers.and_then(lambda _: deleted)

    def _use_known_peers(self) -> None:
        """Use the other instances, as read last, for calls."""
        peers = self._clients.members.known_peers
        if peers is None:
            return
        self._clients.advisor_channels.set_peers(
            member.address for member in peers
        )
        router = self._router
        if router is not None:
            router.set_agents(peers)

    def _leads_in(self, epoch: int) -> bool:
        """Return whether this instance leads, and goes on, in an epoch."""
        controller = self._controller
        return (
            not self._is_stopping
            and controller is not None
            and controller.epoch == epoch
        )


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
