"""What the parts of one replay share."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.bench.decisions.audit import DecisionAudit
from magnoliapitch.bench.decisions.recorder import CpuMeter
from magnoliapitch.bench.decisions.recorder import Recorder
from magnoliapitch.bench.decisions.timeline import Timeline
from magnoliapitch.bench.decisions.trace import Trace
from magnoliapitch.decision.interface import Scheduler


class ReplayContext(NamedTuple):
    """Trace, scheduler and measurements of one replay.

    :param recorder: figures of the replay.
    :param audit: checks of the scheduler's decisions.
    :param timeline: simulated time and the actions that are due.
    :param cpu_meter: measures the calls of the scheduler.
    """

    trace: Trace
    scheduler: Scheduler
    recorder: Recorder
    audit: DecisionAudit
    timeline: Timeline
    cpu_meter: CpuMeter
