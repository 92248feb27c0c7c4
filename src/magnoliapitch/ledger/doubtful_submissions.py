"""Submissions of this instance that may be stored although none succeeded."""

from __future__ import annotations

import threading

from collections import Counter
from collections import OrderedDict

from result import Err
from result import Result

from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import may_have_run


# Jobs whose append may still be carried out, the latest ones.
MAX_DOUBTFUL_JOBS = 20_000


class DoubtfulSubmissions:
    """Remembers appends that are under way or whose outcome is unknown.

    A later attempt with the same id that was certainly not stored says
    nothing of an earlier one; thread-safe.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._under_way_by_id: Counter[str] = Counter()
        self._doubtful_ids: OrderedDict[str, None] = OrderedDict()

    def is_doubtful(self, job_id: str) -> bool:
        """Return whether a job may be stored by a submission."""
        with self._lock:
            return job_id in self._doubtful_ids or (
                job_id in self._under_way_by_id
            )

    def begin(self, job_id: str) -> None:
        """Record that a job is about to be sent to the store."""
        with self._lock:
            self._under_way_by_id[job_id] += 1

    def settle(
        self, job_id: str, outcome: Result[None, Failure]
    ) -> Result[None, Failure]:
        """Record the outcome of an append.

        :return: the outcome, with the verdict of all submissions of the job.
        """
        with self._lock:
            self._under_way_by_id[job_id] -= 1
            if not self._under_way_by_id[job_id]:
                del self._under_way_by_id[job_id]
            if not isinstance(outcome, Err):
                self._doubtful_ids.pop(job_id, None)
                return outcome
            failure = outcome.err_value
            if failure.verdict is not Verdict.NOT_RUN:
                self._doubtful_ids[job_id] = None
                if len(self._doubtful_ids) > MAX_DOUBTFUL_JOBS:
                    self._doubtful_ids.popitem(last=False)
                return outcome
            if not (
                job_id in self._doubtful_ids or job_id in self._under_way_by_id
            ):
                return outcome
        return Err(may_have_run(failure.code, _doubtful_detail(failure)))


def _doubtful_detail(failure: Failure) -> str:
    return (
        "an earlier submission of this job may still be stored; this one "
        f"failed: {failure.detail}"
    )


__all__ = ["DoubtfulSubmissions"]
