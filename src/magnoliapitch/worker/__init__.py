"""Calls to workers, which run tasks under leases."""

from __future__ import annotations

from magnoliapitch.worker.lease import LeaseGrant
from magnoliapitch.worker.lease import LeaseKind
from magnoliapitch.worker.lease import LeaseState
from magnoliapitch.worker.lease import LeaseView
from magnoliapitch.worker.lease import WorkerView
from magnoliapitch.worker.pool import WorkerPool


__all__ = [
    "LeaseGrant",
    "LeaseKind",
    "LeaseState",
    "LeaseView",
    "WorkerPool",
    "WorkerView",
]
