"""Leases under which workers run tasks.

The expiry is an absolute time of the worker's own monotonic clock, which
every reply of the worker reports. A worker refuses a grant that arrives after
its expiry, so a delayed or repeated message never extends a lease. The clock
is only defined within one boot of the worker. So a grant names the boot that
it is meant for, and the worker refuses it in any other boot.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


LEASE_TTL_MAX_MS = 15_000


class LeaseKind(StrEnum):
    """What a lease permits.

    - ``TASK``: to run one attempt of a task.
    - ``CLAIM``: nothing to run; it marks the worker as claimed by an owner.
    """

    TASK = "task"
    CLAIM = "claim"


class LeaseState(StrEnum):
    """State of a lease on its worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"


class LeaseGrant(NamedTuple):
    """Order to start a lease on a worker.

    :param lease_id: unique id; starting the same id twice is idempotent.
    :param epoch: epoch of the owner's claim on the worker's rack.
    :param expires_at_ms: expiry on the worker's clock, in milliseconds.
    :param kind: what the lease permits.
    :param resources: resources that the worker reserves for the lease.
    :param entry: catalogue entry of the task.
    :param payload: opaque input of the task.
    :param boot_id: boot of the worker whose clock the expiry refers to.
    """

    lease_id: str
    epoch: int
    expires_at_ms: int
    kind: LeaseKind = LeaseKind.TASK
    resources: Resources = NO_RESOURCES
    entry: str = ""
    payload: str = ""
    boot_id: str = ""


class LeaseView(NamedTuple):
    """A lease as its worker reports it.

    Finished and failed leases stay listed until they expire.

    :param expires_at_ms: expiry on the worker's clock, in milliseconds.
    :param usage: measured resource usage, which lags behind.
    :param progress: share of the work that a checkpoint has saved, from 0
        to 1.
    """

    lease_id: str
    epoch: int
    expires_at_ms: int
    kind: LeaseKind
    resources: Resources
    state: LeaseState
    entry: str = ""
    usage: Resources = NO_RESOURCES
    progress: float = 0.0


class WorkerView(NamedTuple):
    """Complete state of a worker at the time of a reply.

    :param worker_id: instance id of the worker.
    :param boot_id: id of the boot; a restarted worker has a new one and has
        lost its leases.
    :param now_ms: time of the worker's monotonic clock, in milliseconds.
    :param leases: every lease that has not expired.
    """

    worker_id: str
    boot_id: str
    now_ms: int
    leases: tuple[LeaseView, ...]
