"""Execution of the worker calls that a channel has planned."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.job.channel import CallKind


if TYPE_CHECKING:
    from magnoliapitch.job.channel import PlannedCall
    from magnoliapitch.membership.instance import InstanceInfo
    from magnoliapitch.worker.pool import WorkerPool
    from magnoliapitch.worker.runner import WorkerOutcome


def perform_call(
    workers: WorkerPool, worker: InstanceInfo, call: PlannedCall
) -> WorkerOutcome:
    """Call a worker as planned and return its reply.

    This may run in any thread.
    """
    match call.kind:
        case CallKind.CLAIM | CallKind.START:
            return workers.start(worker, call.grants)
        case CallKind.RENEW:
            return workers.renew(worker, call.lease_ids, call.expires_at_ms)
        case CallKind.STOP:
            return workers.stop(worker, call.lease_ids)
        case CallKind.CHECKPOINT:
            return workers.checkpoint(worker, call.lease_ids)
        case CallKind.THROTTLE:
            return workers.throttle(worker, call.lease_ids[0], call.cpu_millis)
        case CallKind.VIEW:
            return workers.view(worker)
