"""Client interfaces to workers, the advisor and the platform's lists."""

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

    A failure has the verdict ``not_run`` when the worker has certainly not
    carried out the call. Its code is then one of

    - ``FENCED``: the worker has seen a higher fencing token;
    - ``STALE``: a run of the task with this or a higher number was stopped
      or has ended;
    - ``EXPIRED``: the lease deadline has passed;
    - ``NO_ROOM``: the task does not fit the worker's free capacity;
    - ``TICKET``: the worker does not accept the ticket;
    - ``REPLACED``: another incarnation of the worker answers at the address;
      the incarnation that was meant has ended for good;
    - ``UNHEALTHY`` or ``INVALID``;
    - ``UNAVAILABLE``: no connection, which does not prove that the worker
      has ended.

    Otherwise the verdict is ``may_have_run``, with the code ``TIMEOUT``, or
    ``RESTARTED`` if the next incarnation of the worker, under the same name,
    has carried out the renewal. It cannot refuse a call that was meant for
    the former one. The worker's clock in a refusal is not used.
    """

    def start(
        self, worker: WorkerInfo, order: StartOrder, timeout_ms: int
    ) -> Result[int, Failure]:
        """Start a run; return the worker's clock in ms."""

    def stop(
        self, worker: WorkerInfo, order: StopOrder, timeout_ms: int
    ) -> Result[int, Failure]:
        """Stop a run; return the worker's clock in ms."""

    def renew(
        self,
        worker: WorkerInfo,
        token: int,
        deadline_ms: int | None,
        acknowledged_sequence: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> Result[WorkerReport, Failure]:
        """Extend the worker's lease and return its active and ended runs.

        :param deadline_ms: new end of the lease on the worker's clock; None
            to get the report without extending the lease.
        :param acknowledged_sequence: the worker may drop ended runs up to
            this sequence number.
        :param wait_ms: how long the worker may hold back its answer until
            another run ends (long polling).
        :param timeout_ms: how long to wait for the answer after that.
        """

    def throttle(
        self,
        worker: WorkerInfo,
        order: StopOrder,
        percent: int,
        timeout_ms: int,
    ) -> Result[int, Failure]:
        """Slow a run down to a share of its speed.

        :param percent: share of the full speed, in percent.
        :return: the worker's clock in ms, or the failure.
        """


class Advisor(Protocol):
    """Service that decides which workers may run a step.

    It takes one call at a time from an instance.
    """

    def permits(
        self, step: StepKey, worker_ids: Sequence[str], timeout_ms: int
    ) -> Result[tuple[Permit, ...], Failure]:
        """Return permits for those of the workers that may run the step.

        :param worker_ids: at most 100 workers.
        """


class Directory(Protocol):
    """Reader of the platform's configuration and list of workers.

    After a failure, callers keep what was read before.
    """

    def workers(
        self, timeout_ms: int
    ) -> Result[Mapping[str, WorkerInfo], Failure]:
        """Return every worker that is listed when the call is sent.

        :param timeout_ms: how long each call to the store may take.
        :return: the workers by their id.
        """

    def configuration(
        self, wait_ms: int
    ) -> Result[Configuration | None, Failure]:
        """Return a configuration newer than the last one returned.

        :param wait_ms: how long to wait for one.
        :return: the configuration, or None if none came in this time.
        """
