"""Leases under which workers run tasks.

Expiry is an absolute time of the worker's own monotonic clock, which every
reply of the worker carries. A grant that arrives after its expiry is
refused, so a delayed or repeated message never extends a lease. The clock
is only defined within one boot of the worker, so a grant names the boot that
it is meant for and every other boot refuses it.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


LEASE_TTL_MAX_MS = 15_000


class LeaseKind(StrEnum):
    """What a lease stands for."""

    TASK = "task"
    CLAIM = "claim"


class LeaseState(StrEnum):
    """State of a lease on its worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"


class LeaseGrant(NamedTuple):
    """Permission to run one attempt of a task, or a claim marker.

    :param lease_id: unique; starting the same id twice is idempotent.
    :param epoch: epoch of the owner's claim on the worker's rack.
    :param expires_at_ms: expiry on the worker's clock, in milliseconds.
    :param kind: a task, or the claim marker of an owner.
    :param resources: reserved amount.
    :param entry: catalogue entry of the work.
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

    :param usage: measured use, which lags behind.
    :param progress: checkpointed part of the work, from 0 to 1.
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
    """Everything that a worker reports at one moment.

    :param worker_id: instance id of the worker.
    :param boot_id: changes when the worker restarts and loses its leases.
    :param now_ms: the worker's monotonic clock, in milliseconds.
    :param leases: every lease that has not expired.
    """

    worker_id: str
    boot_id: str
    now_ms: int
    leases: tuple[LeaseView, ...]
