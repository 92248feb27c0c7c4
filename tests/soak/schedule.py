"""What a seed plays: the cluster, its jobs, its faults and when."""

from __future__ import annotations

import json
import random

from typing import Any
from typing import NamedTuple


START_S = 2.0
CALM_S = 10.0
JOBS_PER_S = 2.5
QUEUES = ("plans", "checks")
# Kinds of faults, how often each is drawn and for how long it lasts, seconds.
FAULTS: dict[str, tuple[int, float, float]] = {
    "worker-stop": (8, 0.2, 12.0),
    "worker-kill": (4, 0.3, 3.0),
    "worker-reset": (4, 0.0, 0.0),
    "worker-mute": (3, 0.0, 0.0),
    "worker-hold-requests": (4, 0.2, 6.0),
    "worker-hold-answers": (5, 0.2, 6.0),
    "worker-slow": (2, 0.5, 6.0),
    "instance-stop": (4, 0.5, 6.0),
    "leader-stop": (5, 0.5, 6.0),
    "instance-kill": (2, 0.2, 2.0),
    "leader-kill": (4, 0.2, 2.0),
    "instance-term": (2, 7.0, 9.0),
    "leader-term": (2, 7.0, 9.0),
    "link-hold-requests": (3, 0.3, 5.0),
    "link-hold-answers": (4, 0.3, 5.0),
    "link-reset": (2, 0.0, 0.0),
    "link-mute": (2, 0.0, 0.0),
    "store-down": (2, 1.0, 12.0),
    "store-slow": (2, 1.0, 6.0),
    "store-expire": (1, 0.0, 0.0),
    "config-attempts": (2, 0.0, 0.0),
    "config-route": (1, 1.0, 5.0),
}


class JobPlan(NamedTuple):
    """A job that is handed in at a time.

    :param body: what is sent.
    """

    at_s: float
    job_id: str
    queue: str
    body: dict[str, Any]

    def tasks(self) -> list[tuple[str, bool]]:
        """Return the name of each task and whether it is of a gang."""
        return [
            (f"{self.job_id}.0.{number}.{index}", "gang" in step)
            for number, step in enumerate(self.body["steps"])
            for index in range(step["count"])
        ]


class FaultPlan(NamedTuple):
    """A fault.

    :param draw: from which its target and the like are drawn, 0 to 1.
    """

    at_s: float
    kind: str
    duration_s: float
    draw: float


class Schedule(NamedTuple):
    """All that a seed determines.

    :param attempts: of each queue at the start.
    :param clock_rates: of each worker's steady clock.
    :param cpu_share: of each instance; a leader with little of it leaves the
        calls to workers to other instances.
    """

    seed: int
    seconds: float
    entry_count: int
    worker_count: int
    max_hold_ms: int
    checks_admission: bool
    attempts: dict[str, int]
    clock_rates: list[float]
    cpu_share: float
    jobs: list[JobPlan]
    faults: list[FaultPlan]

    @classmethod
    def from_seed(
        cls, seed: int, seconds: float, kinds: tuple[str, ...] = ()
    ) -> Schedule:
        """Draw a schedule.

        :param seconds: from the first job to the end of the calm.
        :param kinds: of faults to draw from; empty for all.
        """
        draw = random.Random(f"soak-{seed}")
        worker_count = draw.randint(6, 12)
        busy_s = seconds - CALM_S
        return cls(
            seed,
            seconds,
            draw.randint(3, 6),
            worker_count,
            draw.choice((6_000, 10_000)),
            draw.random() < 0.5,
            {name: draw.randint(1, 3) for name in QUEUES},
            [draw.uniform(0.98, 1.0) for _ in range(worker_count)],
            draw.choice((1.0, 0.1)),
            _jobs(draw, seed, busy_s),
            _faults(draw, busy_s, kinds or tuple(FAULTS)),
        )


def _jobs(draw: random.Random, seed: int, busy_s: float) -> list[JobPlan]:
    # A part of them fails whatever it runs.
    share = draw.choice((0.5, 0.7, 0.9))
    gang_share = draw.choice((0.1, 0.5))
    return [
        JobPlan(
            draw.uniform(0, busy_s - 2),
            f"{seed & 0xFFFFFF:06x}{number:010x}",
            draw.choice(QUEUES),
            _job(draw, share, gang_share, number),
        )
        for number in range(int(busy_s * JOBS_PER_S))
    ]


def _job(
    draw: random.Random, share: float, gang_share: float, number: int
) -> dict[str, Any]:
    is_gang = draw.random() < gang_share
    cpu, mem = draw.choice((500, 1_000, 2_000)), 256
    step = {"count": draw.randint(1, 5), "cpu": cpu, "mem-mb": mem}
    steps: list[dict[str, Any]] = [step]
    if is_gang:
        step |= {"count": draw.randint(2, 4), "gang": True}
    elif draw.random() < 0.3:
        steps.append({**step, "count": 1, "depends-on": [0]})
    for one in steps:
        one["estimate-ms"] = 1_000
    spec = {
        "salt": number,
        "p": 1.0 if draw.random() < 0.3 else share,
        "ms": draw.choice(([100, 500], [100, 3_000], [1_000, 3_000])),
        "cpu": cpu,
        "mem": mem,
        "gang": step["count"] if is_gang else 0,
    }
    return {"spec": json.dumps(spec), "steps": steps}


def _faults(
    draw: random.Random, busy_s: float, kinds: tuple[str, ...]
) -> list[FaultPlan]:
    mean_s = draw.choice((0.5, 0.8, 1.5, 3.0))
    weights = [FAULTS[kind][0] for kind in kinds]
    faults = []
    at_s = draw.uniform(1, 4)
    while at_s < busy_s - 1:
        kind = draw.choices(kinds, weights)[0]
        _, low_s, high_s = FAULTS[kind]
        duration_s = min(draw.uniform(low_s, high_s), busy_s - at_s)
        faults.append(FaultPlan(at_s, kind, duration_s, draw.random()))
        at_s += draw.expovariate(1 / mean_s)
    return faults
