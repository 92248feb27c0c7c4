"""Calls to workers over HTTP with JSON bodies.

Every call is a POST to ``WORKER_URL/view``, ``/start``, ``/renew``,
``/stop``, ``/checkpoint`` or ``/throttle``. The response is the worker's view.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import TypeAdapter

from magnoliapitch.http.client import JsonClient
from magnoliapitch.json_value import to_json_value
from magnoliapitch.worker.lease import LeaseGrant
from magnoliapitch.worker.lease import WorkerView


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.membership.instance import InstanceInfo
    from magnoliapitch.verdict import Failure


_VIEW = TypeAdapter(WorkerView)


class HttpWorkerPool:
    """Worker pool that calls workers over HTTP.

    It keeps one client for each worker URL.
    """

    fences_epochs = False

    def __init__(self) -> None:
        self._clients_by_url: dict[str, JsonClient] = {}

    def view(self, worker: InstanceInfo) -> Result[WorkerView, Failure]:
        """Return the worker's unexpired leases and their usage."""
        return self._call(worker, "view", {})

    def start(
        self, worker: InstanceInfo, grants: tuple[LeaseGrant, ...]
    ) -> Result[WorkerView, Failure]:
        """Start leases; each lease id starts at most once."""
        return self._call(worker, "start", {"grants": to_json_value(grants)})

    def renew(
        self,
        worker: InstanceInfo,
        lease_ids: tuple[str, ...],
        expires_at_ms: int,
    ) -> Result[WorkerView, Failure]:
        """Raise the expiry of unexpired leases.

        :param expires_at_ms: time of the worker's clock, in milliseconds.
        """
        return self._call(
            worker,
            "renew",
            {"lease_ids": lease_ids, "expires_at_ms": expires_at_ms},
        )

    def stop(
        self, worker: InstanceInfo, lease_ids: tuple[str, ...]
    ) -> Result[WorkerView, Failure]:
        """Stop tasks and end their leases."""
        return self._call(worker, "stop", {"lease_ids": lease_ids})

    def checkpoint(
        self, worker: InstanceInfo, lease_ids: tuple[str, ...]
    ) -> Result[WorkerView, Failure]:
        """Save the progress of tasks and end their leases."""
        return self._call(worker, "checkpoint", {"lease_ids": lease_ids})

    def throttle(
        self, worker: InstanceInfo, lease_id: str, cpu_millis: int
    ) -> Result[WorkerView, Failure]:
        """Limit the CPU use of a task.

        :param cpu_millis: limit, in thousandths of a core.
        """
        return self._call(
            worker,
            "throttle",
            {"lease_id": lease_id, "cpu_millis": cpu_millis},
        )

    def _call(
        self, worker: InstanceInfo, action: str, value: object
    ) -> Result[WorkerView, Failure]:
        client = self._clients_by_url.get(worker.url)
        if client is None:
            client = JsonClient(worker.url)
            self._clients_by_url[worker.url] = client
        response = client.call("POST", f"/{action}", value)
        return response.map(_VIEW.validate_python)
