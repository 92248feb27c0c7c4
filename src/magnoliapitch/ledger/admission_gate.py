"""Rejection of submissions that can no longer be of use."""

from __future__ import annotations

import threading

from collections import OrderedDict
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.admission import Rejection
from magnoliapitch.admission import decide
from magnoliapitch.event import log_event
from magnoliapitch.verdict import Verdict


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


# Jobs whose append may still be carried out, the latest ones.
MAX_UNSETTLED_JOBS = 20_000


class AdmissionGate:
    """Checks submissions against the load figures; thread-safe.

    A job that may already be stored is never rejected, since the rejection
    says that it was not stored.
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
        self._lock = threading.Lock()
        self._unsettled_job_ids: OrderedDict[str, None] = OrderedDict()

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
        if configuration is None or job.job_id in self._unsettled_job_ids:
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

    def begin(self, job_id: str) -> None:
        """Record that a job is about to be sent to the store."""
        with self._lock:
            self._unsettled_job_ids[job_id] = None
            if len(self._unsettled_job_ids) > MAX_UNSETTLED_JOBS:
                self._unsettled_job_ids.popitem(last=False)

    def settle(self, job_id: str, outcome: Result[None, Failure]) -> None:
        """Record the outcome, unless the job may still be stored later."""
        if (
            isinstance(outcome, Err)
            and outcome.err_value.verdict is not Verdict.NOT_RUN
        ):
            return
        with self._lock:
            self._unsettled_job_ids.pop(job_id, None)

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
