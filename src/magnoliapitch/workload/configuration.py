"""The operators' configuration: queues, services and limits."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class AdvicePolicy(NamedTuple):
    """Cost and validity of permissions to start steps of a queue.

    :param decision_ms: time that the advisor takes for any call.
    :param per_worker_ms: further time for each worker in the call.
    :param valid_ms: how long a permit may be used.
    """

    decision_ms: float
    per_worker_ms: float
    valid_ms: int


class Queue(NamedTuple):
    """A queue of jobs, as operators define it.

    :param host: value of the ``Host`` header that selects the queue.
    :param path_prefix: start of the paths that select the queue.
    :param service: name of the service whose workers run the tasks.
    :param priority: 0 comes first and may preempt higher numbers.
    :param attempts: runs of a task that may fail before its job fails.
    :param stretch: multiple of the longest chain of work within which a
        job should complete, besides ``target_ms``.
    :param target_ms: time on top of the stretched chain, in milliseconds.
    :param timeout_ms: longest time to answer a caller.
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
    advice: AdvicePolicy | None = None


class Service(NamedTuple):
    """A service: a pool of workers.

    :param checks_capacity: whether its workers refuse what does not fit.
    :param is_standby: whether its machines are off until moved elsewhere.
    :param health_path: path that tells whether a worker believes itself
        healthy.
    :param max_connections: connections that each of its workers accepts.
    """

    name: str
    checks_capacity: bool = False
    is_standby: bool = False
    health_path: str = ""
    max_connections: int = 64


class RequestLimits(NamedTuple):
    """What callers may send at most."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Configuration(NamedTuple):
    """One accepted version of the configuration."""

    version: int
    queues_by_name: Mapping[str, Queue]
    services_by_name: Mapping[str, Service]
    limits: RequestLimits = RequestLimits()

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path."""
        found: Queue | None = None
        for queue in self.queues_by_name.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if found is None or len(queue.path_prefix) > len(
                found.path_prefix
            ):
                found = queue
        return found
