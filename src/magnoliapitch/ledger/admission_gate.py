"""Rejection of submissions that can no longer be of use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.admission import Rejection
from magnoliapitch.admission import decide
from magnoliapitch.event import log_event


if TYPE_CHECKING:
    import random

    from collections.abc import Callable

    from magnoliapitch.admission import AgedFigures
    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.state_table import PublishedJob
    from magnoliapitch.ledger.state_table import StateTable
    from magnoliapitch.metric import Metrics
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.configuration import Configuration
    from magnoliapitch.workload.job import JobSpec


class AdmissionGate:
    """Checks submissions against the load figures; thread-safe.

    A job that is stored already is never rejected, since the rejection says
    that it was not stored.
    """

    def __init__(
        self,
        state_table: StateTable,
        clock: Clock,
        randomness: random.Random,
        metrics: Metrics,
    ) -> None:
        self._state_table = state_table
        self._clock = clock
        self._random = randomness
        self._metrics = metrics

    def check(
        self,
        job: JobSpec,
        configuration: Configuration | None,
        find: Callable[[str], Result[PublishedJob | None, Failure]],
    ) -> Result[None, Failure] | None:
        """Return the answer to a submission that is not to be stored.

        Only a job that is to be rejected is looked up in the store.

        :param find: looks a job up in the published and stored jobs.
        :return: None if the job is to be stored.
        """
        if configuration is None:
            return None
        queue = configuration.queues_by_name.get(job.queue)
        load = self._state_table.load.current(
            self._state_table.leader, self._clock.now_ms()
        )
        if queue is None or load is None:
            return None
        rejection = decide(job, queue, load, self._random)
        if rejection is None:
            return None
        found = find(job.job_id)
        if isinstance(found, Err):
            return None
        if found.ok_value is not None:
            return Ok(None)
        self._record(job, rejection, load)
        return Err(rejection.failure)

    def _record(
        self, job: JobSpec, rejection: Rejection, load: AgedFigures
    ) -> None:
        failure = rejection.failure
        self._metrics.count("submissions_rejected", failure.code.value)
        log_event(
            "submission-rejected",
            job=job.job_id,
            queue=job.queue,
            workspace=job.workspace,
            code=failure.code,
            wait_ms=rejection.wait_ms,
            max_wait_ms=rejection.max_wait_ms,
            retry_after_ms=failure.retry_after_ms,
            epoch=load.figures.epoch,
            sequence=load.figures.sequence,
            age_ms=load.age_ms,
        )


__all__ = ["AdmissionGate"]
