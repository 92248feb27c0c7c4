"""Routing of calls to workers: by the leader itself or through agents."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from magnoliapitch.control.delegation.assignment import LOCAL
from magnoliapitch.control.delegation.assignment import assign_workers
from magnoliapitch.control.delegation.candidates import AgentCandidates
from magnoliapitch.control.delegation.link import FINAL_CODES
from magnoliapitch.control.delegation.link import AgentLink
from magnoliapitch.control.delegation.link import call_interval_ms
from magnoliapitch.control.delegation.messages import SessionKey
from magnoliapitch.control.delegation.session import AgentSession
from magnoliapitch.control.worker_group import WorkerGroup
from magnoliapitch.event import log_event
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliapitch.advice.peer_health import PeerHealthSource
    from magnoliapitch.clock import Clock
    from magnoliapitch.control.clients import Clients
    from magnoliapitch.control.delegation.service import AgentClient
    from magnoliapitch.control.events import Event
    from magnoliapitch.control.order_sender import OrderSender
    from magnoliapitch.ledger.members import Member
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder
    from magnoliapitch.workload.worker import WorkerInfo


class WorkerRouter:
    """Passes renewals and orders of one leadership on; thread-safe.

    Every worker is called by one instance at a time: by the leader itself, or
    by the agent that it is assigned to. If an agent is lost, its workers get
    another one; what it has not answered counts as possibly carried out.

    Only instances that are known to answer are given workers.

    :param epoch: the leader's epoch.
    :param peers: tells which instances answer.
    :param local_group: calls workers from this instance.
    :param own_cores: processor cores of this instance.
    :param post: called with each event.
    """

    def __init__(
        self,
        epoch: int,
        local_group: WorkerGroup,
        client: AgentClient,
        peers: PeerHealthSource,
        clock: Clock,
        own_cores: float,
        post: Callable[[Event], None],
    ) -> None:
        self._epoch = epoch
        self._local_group = local_group
        self._client = client
        self._clock = clock
        self._own_cores = own_cores
        self._post = post
        self._lock = threading.RLock()
        self._worker_by_id: dict[str, WorkerInfo] = {}
        self._token_by_worker: dict[str, int] = {}
        self._address_by_worker: dict[str, str] = {}
        self._candidates = AgentCandidates(peers, clock)
        self._is_waiting = False
        self._link_by_address: dict[str, AgentLink] = {}
        # Links without workers, until their orders are answered.
        self._closing_links: list[AgentLink] = []
        self._session_count = 0

    @classmethod
    def from_clients(
        cls,
        clients: Clients,
        epoch: int,
        next_lease_deadline: Callable[[str, int], int | None],
        order_sender: OrderSender,
        clock: Clock,
        own_cores: float,
        post: Callable[[Event], None],
    ) -> WorkerRouter:
        """Return a router of the leader that calls some workers itself.

        :param next_lease_deadline: returns until when a worker's next lease
            lasts by the worker's clock, None if it gets none.
        """
        local_group = WorkerGroup(
            clients.workers, clock, order_sender, next_lease_deadline, post
        )
        return cls(
            epoch,
            local_group,
            clients.agents,
            clients.advisor_channels,
            clock,
            own_cores,
            post,
        )

    def set_agents(self, members: Iterable[Member]) -> None:
        """Replace the instances that may be agents; move workers off others.

        It is called regularly, and also moves the workers of lost agents.
        """
        with self._lock:
            self._candidates.set_listed(members)
            self.assign()

    def assign(self) -> None:
        """Assign new workers, and those whose agent is gone."""
        with self._lock:
            self._reassign()
            self._close_idle_links()

    @property
    def is_waiting(self) -> bool:
        """Return whether workers wait until it is known who answers."""
        return self._is_waiting

    def start_lease_renewal(self, worker: WorkerInfo, token: int) -> None:
        """Renew a worker's lease repeatedly, from the next ``assign`` on.

        :param token: fencing token of all calls to the worker.
        """
        with self._lock:
            self._token_by_worker[worker.worker_id] = token
            self._worker_by_id[worker.worker_id] = worker

    def stop_lease_renewal(self, worker_id: str) -> None:
        """Stop renewing a worker's lease."""
        with self._lock:
            self._worker_by_id.pop(worker_id, None)
            self._token_by_worker.pop(worker_id, None)
            self._detach(worker_id)

    def grant(self, worker_id: str, deadline_ms: int | None) -> None:
        """Set the end of the next lease of a worker that an agent calls."""
        link = self._link_of(worker_id)
        if link is not None:
            link.session.grant(worker_id, deadline_ms)

    def acknowledge(self, worker_id: str, sequence: int) -> None:
        """Let a worker drop ended runs up to a sequence number."""
        link = self._link_of(worker_id)
        if link is None:
            self._local_group.acknowledge(worker_id, sequence)
        else:
            link.session.acknowledge(worker_id, sequence)

    def start(
        self, worker: WorkerInfo, planned: PlannedStart, order: StartOrder
    ) -> None:
        """Order a worker to start a run."""
        with self._lock:
            link = self._link_of(worker.worker_id)
            if link is not None:
                link.session.start(planned, order)
                return
        self._local_group.start(worker, planned, order)

    def order_stop(self, worker: WorkerInfo, order: StopOrder) -> None:
        """Order a worker to stop a run."""
        with self._lock:
            link = self._link_of(worker.worker_id)
            if link is not None:
                link.session.order_stop(worker.worker_id, order)
                return
        self._local_group.order_stop(worker, order)

    def available_start_orders(self) -> int:
        """Return the number of start orders that may be sent now."""
        sessions = self._ordering_sessions()
        if not sessions:
            return self._local_group.available_start_orders()
        return sum(session.available_start_orders() for session in sessions)

    def max_start_orders(self) -> int:
        """Return how many start orders may be unanswered at a time."""
        sessions = self._ordering_sessions()
        if not sessions:
            return self._local_group.max_start_orders()
        return sum(session.start_limit for session in sessions)

    def _ordering_sessions(self) -> list[AgentSession]:
        """Return the sessions whose start orders may be in flight.

        Orders are not bound to a session until they are planned, so that room
        in one that is not open would be used for the agents of others.
        """
        with self._lock:
            sessions = [
                link.session for link in self._link_by_address.values()
            ]
        opened = [session for session in sessions if session.is_open]
        return opened or sessions

    def close(self) -> None:
        """Stop all calls."""
        with self._lock:
            links = [*self._link_by_address.values(), *self._closing_links]
            self._link_by_address.clear()
            self._address_by_worker.clear()
            self._worker_by_id.clear()
            self._token_by_worker.clear()
            self._closing_links = []
        for link in links:
            link.stop()
        self._local_group.close()

    def _link_of(self, worker_id: str) -> AgentLink | None:
        with self._lock:
            address = self._address_by_worker.get(worker_id, LOCAL)
            return self._link_by_address.get(address)

    def _reassign(self) -> None:
        candidates = self._candidates.now()
        assigned = assign_workers(
            self._worker_by_id.values(),
            candidates.by_address,
            self._address_by_worker,
            self._own_cores,
            self._used_agents(),
            is_complete=candidates.is_complete,
        )
        self._is_waiting = len(assigned) < len(self._worker_by_id)
        for worker_id, address in assigned.items():
            if self._address_by_worker.get(worker_id) != address:
                self._detach(worker_id)
                self._attach(self._worker_by_id[worker_id], address)

    def _used_agents(self) -> dict[str, Member]:
        """Return the listed agents that have workers and are not lost."""
        return {
            address: agent
            for address, agent in self._candidates.listed_by_address.items()
            if address in self._link_by_address
        }

    def _attach(self, worker: WorkerInfo, address: str) -> None:
        self._address_by_worker[worker.worker_id] = address
        token = self._token_by_worker[worker.worker_id]
        if address == LOCAL:
            self._local_group.add(worker, token)
            return
        link = self._link_by_address.get(address)
        if link is None:
            link = self._take_closing_link(address)
        if link is None:
            link = self._open_link(address)
        self._link_by_address[address] = link
        link.session.assign(worker, token)

    def _detach(self, worker_id: str) -> None:
        address = self._address_by_worker.pop(worker_id, None)
        if address == LOCAL:
            self._local_group.remove(worker_id)
        elif address is not None and address in self._link_by_address:
            self._link_by_address[address].session.release(worker_id)

    def _take_closing_link(self, address: str) -> AgentLink | None:
        """Return the link to an agent that still has unanswered orders.

        The agent has one session at a time: another one would end this one,
        and would make the leader take itself for replaced.
        """
        for link in self._closing_links:
            if link.address == address:
                self._closing_links.remove(link)
                return link
        return None

    def _open_link(self, address: str) -> AgentLink:
        self._session_count += 1
        key = SessionKey(self._epoch, self._session_count)
        link = AgentLink(
            address,
            AgentSession(key, self._clock, self._post),
            self._client,
            self._clock,
            self._interval_ms,
            self._handle_lost_agent,
        )
        log_event(
            "agent-used", epoch=self._epoch, number=key.number, agent=address
        )
        link.start()
        return link

    def _close_idle_links(self) -> None:
        used = set(self._address_by_worker.values())
        for address in set(self._link_by_address) - used:
            self._closing_links.append(self._link_by_address.pop(address))
        for link in list(self._closing_links):
            if link.session.is_idle:
                link.stop()
                self._closing_links.remove(link)

    def _interval_ms(self) -> float:
        return call_interval_ms(len(self._link_by_address), self._own_cores)

    def _handle_lost_agent(self, address: str, failure: Failure) -> None:
        is_fenced = failure.code is FailureCode.FENCED
        is_silent = failure.code not in FINAL_CODES
        if not is_fenced:
            failure = may_have_run(FailureCode.TIMEOUT, failure.detail)
        with self._lock:
            link = self._link_by_address.pop(address, None)
            links = [link] if link is not None else []
            links += [
                closing
                for closing in self._closing_links
                if closing.address == address
            ]
            worker_ids = [
                worker_id
                for worker_id, used in self._address_by_worker.items()
                if used == address
            ]
            log_event(
                "agent-lost",
                agent=address,
                workers=len(worker_ids),
                reason=failure.detail,
            )
            for lost in links:
                lost.stop()
                lost.session.fail(failure)
            self._closing_links = [
                closing
                for closing in self._closing_links
                if closing.address != address
            ]
            for worker_id in worker_ids:
                del self._address_by_worker[worker_id]
            self._candidates.record_loss(address, is_silent=is_silent)
            if not is_fenced:
                self._reassign()
