"""Interface through which an entry uses workers."""

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
    """Calls to workers; each reply is the worker's complete view.

    A failure with verdict ``may_have_run`` means that the call may have
    taken effect.
    """

    @property
    def fences_epochs(self) -> bool:
        """Whether workers refuse a grant of an epoch below the highest."""

    def view(self, worker: InstanceInfo) -> Result[WorkerView, Failure]:
        """Return the worker's running leases and usage."""

    def start(
        self, worker: InstanceInfo, grants: tuple[LeaseGrant, ...]
    ) -> Result[WorkerView, Failure]:
        """Start tasks; each id at most once.

        Grants that have expired or name another boot are refused.
        """

    def renew(
        self,
        worker: InstanceInfo,
        lease_ids: tuple[str, ...],
        expires_at_ms: int,
    ) -> Result[WorkerView, Failure]:
        """Raise the expiry of unexpired leases on the worker's clock."""

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
        """Bound the processor time of a task."""
