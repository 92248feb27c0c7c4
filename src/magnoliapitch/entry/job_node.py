"""Entry instance that schedules jobs kept in a shared store."""

from __future__ import annotations

import os
import random
import time

from typing import TYPE_CHECKING

from magnoliapitch.access import AccessGate
from magnoliapitch.access import ConfigurationFreshness
from magnoliapitch.advice import AdvisorChannelPool
from magnoliapitch.advice import add_permit_route
from magnoliapitch.clock import BootClock
from magnoliapitch.control import ControlDriver
from magnoliapitch.control import ControlTiming
from magnoliapitch.control.clients import Clients
from magnoliapitch.control.delegation import Agent
from magnoliapitch.control.delegation import AgentClient
from magnoliapitch.control.delegation import add_agent_route
from magnoliapitch.control.events import ConfigurationChanged
from magnoliapitch.control.order_queues import MAX_ORDERS_PER_WORKER
from magnoliapitch.control.order_sender import OrderSender
from magnoliapitch.entry.configuration_watch import ConfigurationWatch
from magnoliapitch.event import log_event
from magnoliapitch.http import Application
from magnoliapitch.http import HttpLimits
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import Listener
from magnoliapitch.http.client import HttpClient
from magnoliapitch.ledger.admission_gate import AdmissionGate
from magnoliapitch.ledger.health import StoreHealth
from magnoliapitch.ledger.job_api import JobApi
from magnoliapitch.ledger.job_follower import JobFollower
from magnoliapitch.ledger.leadership import Leadership
from magnoliapitch.ledger.members import Member
from magnoliapitch.ledger.members import Members
from magnoliapitch.ledger.open_work import OpenWork
from magnoliapitch.ledger.records import JOB_STREAM
from magnoliapitch.ledger.state_table import StateTable
from magnoliapitch.ledger.submitter import Submitter
from magnoliapitch.ledger.unpublished_jobs import UnpublishedJobs
from magnoliapitch.metric import Metrics
from magnoliapitch.metric import ProcessUsageMeter
from magnoliapitch.metric import prometheus_text
from magnoliapitch.platform import PlatformAdvisor
from magnoliapitch.platform import PlatformDirectory
from magnoliapitch.platform import PlatformStore
from magnoliapitch.platform import PlatformWorkers
from magnoliapitch.platform import job_application
from magnoliapitch.relay import JobRelay
from magnoliapitch.relay import RelayedJobs
from magnoliapitch.relay import add_relay_routes
from magnoliapitch.supervisor import Loop
from magnoliapitch.supervisor import Supervisor


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.settings.cluster import ClusterSettings
    from magnoliapitch.settings.cluster import MachineSettings
    from magnoliapitch.supervisor import Child
    from magnoliapitch.workload.configuration import Configuration
    from magnoliapitch.workload.job import JobSpec


BODY_MAX_BYTES = 1 << 20
CALLER_THREADS = 24
MONITORING_THREADS = 2
# Only the load balancer and the collector of metrics call these.
MONITORING_LIMITS = HttpLimits(connections=32)
# While the store is slow, each job of other instances occupies one.
PEER_THREADS = 64
# The store carries out the appends of a stream one after the other, so that
# those of many instances would wait for each other once it gets slow.
MANY_INSTANCES = 16
PEER_BODY_MAX_BYTES = 4 << 20
# Many workers answer at the same time.
WORKER_RESPONSE_MAX_BYTES = 4 << 20
# Each other instance may have tens of connections to the leader's.
PEER_LIMITS = HttpLimits(PEER_BODY_MAX_BYTES, connections=2_048)
# The load balancer needs up to two checks to notice that an instance is not
# ready.
LOAD_BALANCER_DELAY_MS = 2_500
STOP_TIMEOUT_S = 2
# One for the renewals of the lease, the others for orders.
WORKER_CONNECTIONS = 1 + MAX_ORDERS_PER_WORKER
# Longer than a renewal and the pause after it.
UNUSED_CONNECTION_CHECK_MS = 2_500
# The leader makes and sends all scheduling decisions, which takes CPU time
# and network bandwidth.
MIN_LEADER_CORES = 1.0
MIN_LEADER_LINK_MBPS = 50.0
WEAK_MACHINE_CLAIM_DELAY_MS = 1_500


class JobNode:
    """Entry instance that schedules jobs kept in a shared store.

    It runs its components under a supervisor, and is chosen if the settings
    file holds :class:`ClusterSettings`.
    :class:`~magnoliapitch.entry.node.EntryNode` is the kind that shares its
    state through the platform's log.

    :param give_up: called when a component fails too often.
    """

    def __init__(
        self, settings: ClusterSettings, give_up: Callable[[], None]
    ) -> None:
        self.settings = settings
        self._clock = BootClock()
        self._is_draining = False
        self._health = StoreHealth(self._clock)
        self._metrics = Metrics()
        self._usage_meter = ProcessUsageMeter()
        client = HttpClient(32, self._observe_call)
        ip = settings.listen.callers.partition(":")[0]
        peer_address = f"{ip}:{settings.listen.peer_port}"
        store = PlatformStore(settings.endpoints.store, client)
        self._states = StateTable()
        self._leadership = Leadership(
            store,
            settings.instance_id,
            self._states,
            self._clock,
            self._health,
            random.Random(),
            lambda: (
                self._job_api.configuration() is not None
                and not self._is_draining
            ),
            _claim_delay_ms(settings.machine),
            peer_address,
        )
        self._members = Members(
            store,
            settings.instance_id,
            Member(
                peer_address,
                settings.zone,
                _cores(settings.machine),
                settings.machine.link_mbps,
            ),
        )
        relay = JobRelay(
            self._states,
            peer_address,
            client,
            self._clock,
            random.Random(),
            lambda: self._members.known_addresses,
        )
        producer = f"{settings.instance_id}.{os.urandom(6).hex()}"
        self._submitter = Submitter(
            store,
            JOB_STREAM,
            producer,
            self._clock,
            self._health,
            relay.is_available,
            lambda *appended: self._driver.add_appended_jobs(*appended),
        )
        self._open_work = OpenWork(
            self._states,
            self._instance_count,
            self.is_leading,
            self._clock,
            random.Random(),
        )
        self._job_api = JobApi(
            self._states,
            self._submitter,
            self._leadership.refresh,
            UnpublishedJobs(store, self._states, self._clock),
            self._metrics,
            self._admission_gate(),
            self._open_work,
        )
        self._jobs = RelayedJobs(
            self._job_api, relay, self._clock, self._prefers_leader
        )
        freshness = ConfigurationFreshness(self._clock)
        self._gate = AccessGate(freshness, self._metrics)
        self._caller_application = job_application(
            self._jobs, self._gate, settings.http.body_max_bytes
        )
        self._configuration_watch = ConfigurationWatch(
            PlatformDirectory(store), freshness, self._configure
        )
        self._advisor = PlatformAdvisor(settings.endpoints.advisor, client)
        self._worker_client = HttpClient(
            WORKER_CONNECTIONS, self._observe_call, WORKER_RESPONSE_MAX_BYTES
        )
        workers = PlatformWorkers(self._worker_client)
        order_sender = OrderSender(workers, self._clock, self._metrics)
        self._agent = Agent(workers, self._clock, order_sender)
        self._driver = ControlDriver(
            self._leadership,
            self._states,
            Clients(
                workers,
                AdvisorChannelPool(self._advisor, client, self._clock),
                self._members,
                PlatformDirectory(store),
                AgentClient(client),
            ),
            ControlTiming(
                settings.leases.longest_ms,
                keep_states_ms=settings.leases.keep_states_ms,
                drain_notice_ms=settings.leases.drain_notice_ms,
                cancel_notice_ms=settings.leases.cancel_notice_ms,
            ),
            self._clock,
            self._job_api.configuration,
            lambda post: JobFollower(store, self._clock, self._health, post),
            self._metrics,
            order_sender,
            _cores(settings.machine),
            settings.planning,
        )
        self._supervisor = Supervisor(
            "entry", self._children(), self._clock, give_up=give_up
        )

    def start(self) -> None:
        """Start all components.

        :raises StartError: if a listener cannot be bound.
        """
        self._supervisor.start()
        log_event("entry-started", pid=os.getpid())

    def stop(self) -> None:
        """Stop without losing requests.

        Leave the cluster, wait until the load balancer sends no more
        requests, finish those in flight and stop all components.
        """
        log_event("entry-stopping")
        self._is_draining = True
        self._job_api.close()
        self._driver.stop()
        self._members.leave()
        time.sleep(LOAD_BALANCER_DELAY_MS / 1000)
        self._supervisor.stop()
        log_event("entry-stopped")

    def is_ready(self) -> bool:
        """Return whether the instance can serve callers."""
        return (
            not self._is_draining
            and self._job_api.configuration() is not None
            and self._leadership.has_loaded
            and not self._health.is_down()
        )

    def is_leading(self) -> bool:
        """Return whether this instance is the leader."""
        return self._leadership.claim is not None

    def _instance_count(self) -> int | None:
        """Return the number of instances, or None if it is not known."""
        peers = self._members.known_peers
        return None if peers is None else len(peers) + 1

    def _prefers_leader(self, job: JobSpec) -> bool:
        """Return whether the leader's instance should store a job."""
        return (
            (self._instance_count() or 0) >= MANY_INSTANCES
            or self._submitter.is_slow()
            or not self._open_work.has_room(job)
        )

    def _admission_gate(self) -> AdmissionGate | None:
        if not self.settings.planning.admission:
            return None
        return AdmissionGate(
            self._states, self._clock, random.Random(), self._metrics
        )

    def _children(self) -> list[Child]:
        listen = self.settings.listen
        http = self.settings.http
        readiness = Application(BODY_MAX_BYTES)
        readiness.route("GET", "/readyz")(self._serve_readiness)
        metrics = Application(BODY_MAX_BYTES)
        metrics.route("GET", "/metrics")(self._serve_metrics)
        ip = listen.callers.partition(":")[0]
        steps = {
            "configuration": self._configuration_watch.poll,
            "configuration-check": self._configuration_watch.check,
            "jobs": self._driver.follow_jobs,
            "leadership": self._leadership.step,
            "members": self._members.step,
            "submitter": self._submitter.step,
            "control": self._driver.step,
            "agent": self._agent.step,
            "worker-connections": self._close_unused_connections,
        }
        return [
            Listener(
                "readiness",
                _address(listen.readiness),
                readiness,
                MONITORING_THREADS,
                STOP_TIMEOUT_S,
                MONITORING_LIMITS,
            ),
            Listener(
                "metrics",
                (ip, listen.metrics_port),
                metrics,
                MONITORING_THREADS,
                STOP_TIMEOUT_S,
                MONITORING_LIMITS,
            ),
            Listener(
                "peers",
                (ip, listen.peer_port),
                self._peer_application(),
                PEER_THREADS,
                STOP_TIMEOUT_S,
                PEER_LIMITS,
            ),
            *(Loop(name, step, self._clock) for name, step in steps.items()),
            Listener(
                "callers",
                _address(listen.callers),
                self._caller_application,
                CALLER_THREADS,
                STOP_TIMEOUT_S,
                http,
            ),
        ]

    def _peer_application(self) -> Application:
        application = Application(PEER_BODY_MAX_BYTES)
        add_permit_route(application, self._advisor)
        add_agent_route(application, self._agent)
        add_relay_routes(application, self._job_api)
        return application

    def _close_unused_connections(self) -> int:
        self._worker_client.close_unused()
        return UNUSED_CONNECTION_CHECK_MS

    def _observe_call(
        self, path: str, duration_ms: float, is_ok: bool
    ) -> None:
        self._metrics.observe("outgoing_call", duration_ms, path)
        if not is_ok:
            self._metrics.count("outgoing_calls_failed", path)

    def _configure(self, configuration: Configuration) -> None:
        self._gate.configure(configuration)
        self._caller_application.limit_body(configuration.limits.body_bytes)
        self._job_api.configure(configuration)
        self._driver.post(ConfigurationChanged())
        log_event(
            "configuration-applied",
            version=configuration.version,
            queues=len(configuration.queues_by_name),
            workspaces=len(configuration.workspaces_by_name),
        )

    def _serve_readiness(self, request: HttpRequest) -> HttpResponse:
        del request
        return HttpResponse(200 if self.is_ready() else 503, b"{}")

    def _serve_metrics(self, request: HttpRequest) -> HttpResponse:
        del request
        text = prometheus_text(self._metrics, self._usage_meter.read())
        return HttpResponse(200, text.encode(), "text/plain")


def _claim_delay_ms(machine: MachineSettings) -> int:
    """Return by how much this instance delays its claims to lead.

    Machines too weak to lead well wait, so that a stronger one wins.
    """
    is_strong = (
        _cores(machine) >= MIN_LEADER_CORES
        and machine.link_mbps >= MIN_LEADER_LINK_MBPS
    )
    return 0 if is_strong else WEAK_MACHINE_CLAIM_DELAY_MS


def _cores(machine: MachineSettings) -> float:
    return machine.cpu_share * machine.cores


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.partition(":")
    return host, int(port)
