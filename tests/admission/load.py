"""Load whose submissions pass the admission decision."""

from __future__ import annotations

import random

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.admission import decide
from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.planner.options import PlanningOptions
from magnoliapitch.resource import Resources
from tests.control.load import JobKind
from tests.control.load import LoadGenerator


if TYPE_CHECKING:
    from magnoliapitch.workload.job import JobSpec


ADMISSION = PlanningOptions(admission=True)
# Two reads of the stream of states.
FIGURE_DELAY_MS = 400

# The load of the contended customer without its advisor: gangs, batches and
# small urgent jobs.
CONTENDED_KINDS = (
    JobKind(
        "plan",
        1,
        1.77,
        20,
        5_000,
        Resources(4_500, 9_000),
        15.3,
        2.2,
        1_000,
        1.0,
        None,
        1.0,
    ),
    JobKind(
        "batch",
        2,
        8.03,
        25,
        2_200,
        Resources(1_700, 4_000),
        3.2,
        4.0,
        3_000,
        0.0,
        None,
        1.0,
    ),
    JobKind(
        "urgent",
        0,
        41.2,
        3.2,
        800,
        Resources(2_500, 5_000),
        0.4,
        1.5,
        250,
        0.3,
        None,
        1.0,
    ),
)


class Outcome(NamedTuple):
    """What became of the jobs of a kind.

    :param in_time: ended within the objective.
    :param late: ended within three times the objective.
    :param useless: accepted, and ended later or not at all.
    """

    submitted: int
    rejected: int
    in_time: int
    late: int
    useless: int


class AdmittedLoad(LoadGenerator):
    """Submits jobs unless they are rejected by the published figures."""

    def __init__(
        self,
        worker_count: int,
        scale: float,
        options: PlanningOptions = ADMISSION,
        kinds: tuple[JobKind, ...] = CONTENDED_KINDS,
        *,
        stores_rejected: bool = False,
    ) -> None:
        self.rejected: dict[str, int] = {}
        self.retry_s: Counter[int] = Counter()
        self._stores_rejected = stores_rejected
        self._decision_random = random.Random(2)
        super().__init__(worker_count, scale, kinds=kinds, options=options)

    def submit(self, kind: JobKind, job: JobSpec) -> None:
        states = self.simulation.states
        load = states.load.current(
            states.leader, self.simulation.now_ms + FIGURE_DELAY_MS
        )
        queue = self.simulation.configuration.queues_by_name[kind.name]
        rejection = decide(job, queue, load, self._decision_random)
        if rejection is not None:
            self.rejected[job.job_id] = rejection.wait_ms
            retry_after_ms = rejection.failure.retry_after_ms or 0
            self.retry_s[retry_after_ms // 1000] += 1
        if rejection is None or self._stores_rejected:
            super().submit(kind, job)

    def outcomes(self) -> dict[str, Outcome]:
        """Return the outcomes by kind."""
        return {kind.name: self._outcome(kind) for kind in self._kinds}

    def is_useful(self, job_id: str) -> bool:
        """Return whether a job ended within three times its objective."""
        done = self.simulation.finished.get(job_id)
        return (
            done is not None
            and done.outcome is JobState.COMPLETED
            and done.after_ms <= 3 * self._objective_ms_by_job[job_id]
        )

    def _outcome(self, kind: JobKind) -> Outcome:
        counts: Counter[str] = Counter()
        for job_id, job_kind in self._kind_by_job.items():
            if job_kind is not kind:
                continue
            counts["submitted"] += 1
            done = self.simulation.finished.get(job_id)
            if job_id in self.rejected:
                counts["rejected"] += 1
            elif not self.is_useful(job_id) or done is None:
                counts["useless"] += 1
            elif done.after_ms <= self._objective_ms_by_job[job_id]:
                counts["in_time"] += 1
            else:
                counts["late"] += 1
        return Outcome(*(counts[name] for name in Outcome._fields))


__all__ = ["ADMISSION", "CONTENDED_KINDS", "AdmittedLoad"]
