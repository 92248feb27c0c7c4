"""Configuration that operators define: queues, services and limits."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


class PermitTiming(NamedTuple):
    """Expected duration of a queue's advisor calls and validity of permits.

    :param decision_ms: fixed part of the duration of an advisor call.
    :param per_worker_ms: additional duration for each worker in the call.
    :param valid_ms: how long a permit is valid after its request was sent.
    """

    decision_ms: float
    per_worker_ms: float
    valid_ms: int


class Queue(NamedTuple):
    """A queue of jobs.

    :param host: value of the ``Host`` header that selects the queue.
    :param path_prefix: start of the paths that select the queue.
    :param service: name of the service whose workers run the tasks.
    :param priority: 0 is the most urgent and may preempt higher numbers.
    :param attempts: number of failed runs of a task after which its job fails.
    :param stretch: factor in a job's objective, which is the time within
        which the job should complete: the duration of its critical path
        times ``stretch``, plus ``target_ms``.
    :param target_ms: fixed part of that objective, in milliseconds.
    :param timeout_ms: longest time to answer a caller.
    :param permit_timing: times of the permits that the steps of the queue
        need; None if they need none.
    :param is_public: whether callers need no API key.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_ms: float = 0.0
    timeout_ms: int = 3_000
    permit_timing: PermitTiming | None = None
    is_public: bool = False

    def for_job(self, accepting_queue: QueueSnapshot | None) -> Queue:
        """Return the queue as it applies to an accepted job.

        The job keeps at least the attempts that it was accepted with.

        :param accepting_queue: the queue when it accepted the job; None if
            that is not known.
        """
        if (
            accepting_queue is None
            or accepting_queue.attempts <= self.attempts
        ):
            return self
        return self._replace(attempts=accepting_queue.attempts)


class QueueSnapshot(NamedTuple):
    """What a queue was when it accepted a job, as far as the job's runs need.

    The parameters are those of :class:`Queue`.
    """

    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_ms: float = 0.0
    permit_timing: PermitTiming | None = None

    @classmethod
    def from_queue(cls, queue: Queue) -> QueueSnapshot:
        """Take the snapshot of a queue."""
        return cls(
            queue.service,
            queue.priority,
            queue.attempts,
            queue.stretch,
            queue.target_ms,
            queue.permit_timing,
        )

    def to_queue(self, name: str) -> Queue:
        """Return the queue, which serves no path any more."""
        return Queue(
            name,
            "",
            "",
            self.service,
            self.priority,
            self.attempts,
            self.stretch,
            self.target_ms,
            permit_timing=self.permit_timing,
        )


class Workspace(NamedTuple):
    """A workspace, on whose account jobs run.

    :param api_keys: keys that its callers may use.
    :param weight: share of the capacity, relative to the weights of the other
        workspaces, while there is not enough for all.
    :param quota: most resources that its runs may use at a time over all
        workers; a resource of 0 is not limited.
    """

    name: str
    api_keys: frozenset[str] = frozenset()
    weight: float = 1.0
    quota: Resources = NO_RESOURCES


class Service(NamedTuple):
    """A service, which is a pool of workers.

    :param checks_capacity: whether its workers refuse tasks that do not fit.
    :param is_standby: whether its machines stay off until they are moved to
        another service.
    :param health_path: HTTP path of a worker's own health check.
    :param max_connections: connections that each of its workers accepts.
    """

    name: str
    checks_capacity: bool = False
    is_standby: bool = False
    health_path: str = ""
    max_connections: int = 64


class RequestLimits(NamedTuple):
    """Size and time limits for callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Configuration(NamedTuple):
    """A version of the configuration that passed validation.

    :param workspaces_by_name: empty if callers need no API keys.
    """

    version: int
    queues_by_name: Mapping[str, Queue]
    services_by_name: Mapping[str, Service]
    limits: RequestLimits = RequestLimits()
    workspaces_by_name: Mapping[str, Workspace] = MappingProxyType({})

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host whose prefix of a path is the longest."""
        found: Queue | None = None
        for queue in self.queues_by_name.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if found is None or len(queue.path_prefix) > len(
                found.path_prefix
            ):
                found = queue
        return found
