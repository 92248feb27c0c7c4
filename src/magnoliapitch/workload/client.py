"""Interfaces to workers, to the advisor and to the platform's lists."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from result import Result

    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Configuration
    from magnoliapitch.workload.job import StepKey
    from magnoliapitch.workload.run import Permit
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder
    from magnoliapitch.workload.run import WorkerReport
    from magnoliapitch.workload.worker import WorkerInfo


class WorkerClient(Protocol):
    """Calls to workers; safe to use from several threads.

    Failures: verdict ``not_run`` when the worker has certainly not
    carried out the call, with one of the codes ``FENCED`` (a higher
    token was seen), ``STALE`` (a run as high was stopped or ended),
    ``EXPIRED`` (the deadline has passed), ``NO_ROOM``, ``TICKET``,
    ``REPLACED`` (another life answers at the address; the life that was
    meant has ended for good), ``UNHEALTHY``, ``INVALID`` or
    ``UNAVAILABLE`` (no connection; proves nothing of the worker's life);
    ``may_have_run`` with ``TIMEOUT`` otherwise. ``clock_ms`` of a refusal
    is not needed.
    """

    def start(
        self, worker: WorkerInfo, order: StartOrder, timeout_ms: int
    ) -> Result[int, Failure]:
        """Start a run and return the worker's clock."""

    def stop(
        self, worker: WorkerInfo, order: StopOrder, timeout_ms: int
    ) -> Result[int, Failure]:
        """Stop a run and return the worker's clock."""

    def renew(
        self,
        worker: WorkerInfo,
        token: int,
        deadline_ms: int | None,
        acknowledged_sequence: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> Result[WorkerReport, Failure]:
        """Extend the worker's lease and see what runs and has ended.

        :param deadline_ms: new end on the worker's clock; None to look
            only.
        :param acknowledged_sequence: highest end that the worker may forget.
        :param wait_ms: how long the answer may wait for a new end.
        """

    def throttle(
        self,
        worker: WorkerInfo,
        order: StopOrder,
        percent: int,
        timeout_ms: int,
    ) -> Result[int, Failure]:
        """Let a run work at a share of its speed."""


class Advisor(Protocol):
    """Service that permits steps on workers; one call at a time."""

    def permits(
        self, step: StepKey, worker_ids: Sequence[str], timeout_ms: int
    ) -> Result[tuple[Permit, ...], Failure]:
        """Return the permits among the given workers (at most 100)."""


class Directory(Protocol):
    """The platform's newest configuration and list of workers.

    A failure leaves what was known.
    """

    def workers(self) -> Result[Mapping[str, WorkerInfo], Failure]:
        """Return every listed worker by id."""

    def configuration(
        self, wait_ms: int
    ) -> Result[Configuration | None, Failure]:
        """Return a newer configuration, or None after waiting for one."""
