"""Checks of a recorded event history against the system's invariants.

A history is what was observed while a deployment ran. Importing the
package registers a checker for each invariant.
"""

from __future__ import annotations

from magnoliapitch.history import capacity as _capacity  # noqa: F401
from magnoliapitch.history import configuration as _config  # noqa: F401
from magnoliapitch.history import job_end as _job_end  # noqa: F401
from magnoliapitch.history import one_place as _one_place  # noqa: F401
from magnoliapitch.history.event import Event
from magnoliapitch.history.event import JobAccepted
from magnoliapitch.history.event import JobCancelled
from magnoliapitch.history.event import LeaseEnded
from magnoliapitch.history.event import LeaseStarted
from magnoliapitch.history.event import OffsetApplied
from magnoliapitch.history.event import TaskFinished
from magnoliapitch.history.event import Violation
from magnoliapitch.history.event import WorkerCapacityReported
from magnoliapitch.history.registry import check_history


__all__ = [
    "Event",
    "JobAccepted",
    "JobCancelled",
    "LeaseEnded",
    "LeaseStarted",
    "OffsetApplied",
    "TaskFinished",
    "Violation",
    "WorkerCapacityReported",
    "check_history",
]
