"""What an instance does between its claim and its first decision."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING

from result import Err
from result import Result

from magnoliapitch.control.periodic_call import PeriodicCall
from magnoliapitch.event import log_event
from magnoliapitch.ledger.job_follower import LOAD_TIMEOUT_MS
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.ledger.claim import Claim
    from magnoliapitch.ledger.job_follower import JobFollower
    from magnoliapitch.ledger.leadership import Leadership
    from magnoliapitch.verdict import Failure


# Others claim after a second without a record.
KEEP_INTERVAL_MS = 300
# An instance that can store but not read stops renewing its claim after this
# time, so that another one can lead.
MAX_KEEP_MS = 10_000
# The timeout of a full read is the duration of an append times this.
LOAD_TIMEOUT_FACTOR = 20
MAX_LOAD_TIMEOUT_MS = 8_000
RETRY_DELAY_MS = 50
REPLACED_CODES = (FailureCode.FENCED, FailureCode.SEQUENCE)


class LeaderPreparation:
    """Fences former leaders and reads the jobs, for one claim at a time.

    Meanwhile, and until the scheduler's state is built from the jobs, the
    claim is stored again at intervals. Others do not take a leader for lost
    then that waits for a slow store or has many jobs to add.

    :param is_wanted: returns whether this instance is still to lead.
    """

    def __init__(
        self,
        leadership: Leadership,
        clock: Clock,
        is_wanted: Callable[[], bool],
    ) -> None:
        self._leadership = leadership
        self._clock = clock
        self._is_wanted = is_wanted
        self._claimed_ms = 0
        self._kept_until_ms = 0
        self._replacement: Failure | None = None
        self._keeping = PeriodicCall(
            "claim",
            KEEP_INTERVAL_MS,
            leadership.keep_claim,
            self._handle_unkept,
        )

    def run(
        self, claim: Claim, job_follower: JobFollower
    ) -> Result[None, Failure]:
        """Fence former leaders, then read all jobs.

        :param claim: claim under which this instance will lead.
        :return: the failure of a call that is not tried again.
        """
        self._claimed_ms = claim.sent_ms
        self._kept_until_ms = claim.sent_ms + MAX_KEEP_MS
        self._replacement = None
        self.keep_claim()
        sent_ms = self._clock.now_ms()
        fenced = self._leadership.fence_former_leaders()
        if isinstance(fenced, Err):
            return fenced
        append_ms = self._clock.now_ms() - sent_ms
        loaded = self._load(job_follower, load_timeout_ms(append_ms))
        # This instance can read, and needs time to build the state.
        self._kept_until_ms = self._clock.now_ms() + MAX_KEEP_MS
        return loaded

    def keep_claim(self) -> None:
        """Store the claim again if that is due, for a limited time."""
        now_ms = self._clock.now_ms()
        is_due = now_ms - self._claimed_ms >= KEEP_INTERVAL_MS
        if is_due and now_ms < self._kept_until_ms:
            self._keeping.begin_if_due(now_ms)

    def goes_on(self) -> bool:
        """Keep the claim if that is due; return whether to lead under it."""
        self.keep_claim()
        return self._is_wanted() and self._replacement is None

    def interruption(self) -> Failure:
        """Return why this instance is not to lead under the claim."""
        if self._replacement is not None:
            return self._replacement
        return not_run(FailureCode.SHUTTING_DOWN, "not wanted")

    def _load(
        self, job_follower: JobFollower, timeout_ms: int
    ) -> Result[None, Failure]:
        loaded = job_follower.load(timeout_ms, self.goes_on)
        while isinstance(loaded, Err) and self._may_retry():
            _log_failure(loaded.err_value)
            time.sleep(RETRY_DELAY_MS / 1000)
            timeout_ms = min(2 * timeout_ms, MAX_LOAD_TIMEOUT_MS)
            loaded = job_follower.load(timeout_ms, self.goes_on)
        if self._replacement is not None:
            return Err(self._replacement)
        return loaded

    def _may_retry(self) -> bool:
        age_ms = self._clock.now_ms() - self._claimed_ms
        return self.goes_on() and age_ms < MAX_KEEP_MS

    def _handle_unkept(self, failure: Failure) -> None:
        if failure.code in REPLACED_CODES:
            self._replacement = failure
        else:
            _log_failure(failure)


def load_timeout_ms(append_ms: int) -> int:
    """Return how long a whole read of the jobs may take.

    :param append_ms: how long the store took for an append just now.
    """
    timeout_ms = max(LOAD_TIMEOUT_MS, LOAD_TIMEOUT_FACTOR * append_ms)
    return min(timeout_ms, MAX_LOAD_TIMEOUT_MS)


def _log_failure(failure: Failure) -> None:
    log_event("leadership-unprepared", reason=failure.detail)


__all__ = ["REPLACED_CODES", "LeaderPreparation"]
