"""Data types of jobs, queues, workers and runs, and client interfaces."""

from __future__ import annotations

from magnoliapitch.workload.configuration import Configuration
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.configuration import RequestLimits
from magnoliapitch.workload.configuration import Service
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.progress import JobProgress
from magnoliapitch.workload.progress import Placement
from magnoliapitch.workload.progress import TaskProgress
from magnoliapitch.workload.run import ActiveRun
from magnoliapitch.workload.run import EndedRun
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.run import Permit
from magnoliapitch.workload.run import StartOrder
from magnoliapitch.workload.run import StopOrder
from magnoliapitch.workload.run import WorkerReport
from magnoliapitch.workload.worker import WorkerInfo


__all__ = [
    "ActiveRun",
    "Configuration",
    "EndKind",
    "EndedRun",
    "JobOutcome",
    "JobProgress",
    "JobSpec",
    "Permit",
    "PermitTiming",
    "Placement",
    "Queue",
    "RequestLimits",
    "Service",
    "StartOrder",
    "StepKey",
    "StepSpec",
    "StopOrder",
    "TaskKey",
    "TaskProgress",
    "WorkerInfo",
    "WorkerReport",
]
