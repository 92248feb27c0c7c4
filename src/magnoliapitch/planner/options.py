"""Optional behaviour of the planner."""

from __future__ import annotations

from typing import NamedTuple


class PlanningOptions(NamedTuple):
    """Optional behaviour that a deployment's settings switch on.

    :param worker_speeds: whether the speeds of workers are learned from
        finished runs and used to place tasks.
    :param preemption: whether runs make room for more urgent ones, and leave
        workers that are about to stop.
    :param admission: whether jobs that can no longer be of use to their
        callers are rejected at submission.
    """

    worker_speeds: bool = False
    preemption: bool = False
    admission: bool = False


__all__ = ["PlanningOptions"]
