"""Interface through which an entry instance calls workers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.membership.instance import InstanceInfo
    from magnoliapitch.verdict import Failure
    from magnoliapitch.worker.lease import LeaseGrant
    from magnoliapitch.worker.lease import WorkerView


class WorkerPool(Protocol):
    """Calls to workers.

    Each successful call returns the worker's complete view after the call.
    A failure with verdict ``may_have_run`` means that the call may have
    taken effect, one with ``not_run`` that it has not.
    """

    @property
    def fences_epochs(self) -> bool:
        """Whether workers refuse a grant below the highest epoch seen."""

    def view(self, worker: InstanceInfo) -> Result[WorkerView, Failure]:
        """Return the worker's unexpired leases and their usage."""

    def start(
        self, worker: InstanceInfo, grants: tuple[LeaseGrant, ...]
    ) -> Result[WorkerView, Failure]:
        """Start leases; each lease id starts at most once.

        A worker refuses grants that have expired or name another boot.
        """

    def renew(
        self,
        worker: InstanceInfo,
        lease_ids: tuple[str, ...],
        expires_at_ms: int,
    ) -> Result[WorkerView, Failure]:
        """Raise the expiry of unexpired leases.

        :param expires_at_ms: time of the worker's clock, in milliseconds.
        """

    def stop(
        self, worker: InstanceInfo, lease_ids: tuple[str, ...]
    ) -> Result[WorkerView, Failure]:
        """Stop tasks and end their leases."""

    def checkpoint(
        self, worker: InstanceInfo, lease_ids: tuple[str, ...]
    ) -> Result[WorkerView, Failure]:
        """Save the progress of tasks and end their leases."""

    def throttle(
        self, worker: InstanceInfo, lease_id: str, cpu_millis: int
    ) -> Result[WorkerView, Failure]:
        """Limit the CPU use of a task.

        :param cpu_millis: limit, in thousandths of a core.
        """
