"""What an owner has to tell one worker, one call at a time."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.job.attempt import Attempt
from magnoliapitch.job.attempt import AttemptState
from magnoliapitch.ownership.fence import FencePhase
from magnoliapitch.ownership.fence import WorkerFence
from magnoliapitch.worker.lease import LeaseGrant


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.membership.instance import InstanceInfo


POLL_BUSY_MS = 250
POLL_IDLE_MS = 1_000
RETRY_MIN_MS = 250
RETRY_MAX_MS = 4_000
RENEWALS_PER_TTL = 3
JITTER_STEPS = 16


class CallKind(StrEnum):
    """Calls to a worker."""

    VIEW = "view"
    CLAIM = "claim"
    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    START = "start"
    RENEW = "renew"


class PlannedCall(NamedTuple):
    """The next call to a worker.

    :param expires_at_ms: expiry of renewed leases.
    """

    kind: CallKind
    lease_ids: tuple[str, ...] = ()
    grants: tuple[LeaseGrant, ...] = ()
    expires_at_ms: int = 0
    cpu_millis: int = 0


class WorkerChannel:
    """State of the exchange with one worker of an owned rack.

    :ivar attempts_by_lease: attempts that may run there, or whose end is
        not yet recorded.
    :ivar starts: lease ids of placed attempts to be granted.
    :ivar stops: lease ids to be ended.
    :ivar in_flight: the call that has not been answered.
    :ivar failures: calls that failed in a row.
    """

    def __init__(
        self,
        worker: InstanceInfo,
        fence: WorkerFence,
        holds: Callable[[str, int], bool],
    ) -> None:
        self.worker = worker
        self._holds = holds
        self.fence = fence
        self.attempts_by_lease: dict[str, Attempt] = {}
        self.starts: dict[str, None] = {}
        self.stops: dict[str, None] = {}
        self.checkpoints: dict[str, None] = {}
        self.throttles_by_lease: dict[str, int] = {}
        self.in_flight: PlannedCall | None = None
        self.failures = 0
        self._next_poll_ms = 0
        self._next_renewal_ms = 0

    @property
    def accepts_starts(self) -> bool:
        """Whether tasks can be placed here now."""
        return self.fence.is_open and not self.failures

    def plan(
        self, now_ms: int, confirmed_ms: int | None
    ) -> PlannedCall | None:
        """Return the next call, if one is due.

        :param confirmed_ms: start of the newest complete read of the log.
        """
        if self.in_flight is not None:
            return None
        if self.failures and now_ms < self._next_poll_ms:
            return None
        if self.failures or self.fence.view is None:
            return PlannedCall(CallKind.VIEW)
        if self.fence.may_start_claim_lease(confirmed_ms):
            self.fence, grant = self.fence.start_claim_lease()
            return PlannedCall(CallKind.CLAIM, grants=(grant,))
        planned = self._plan_changes()
        if planned is not None:
            return planned
        if (
            self.fence.claim_lease is not None
            and now_ms >= self._next_renewal_ms
        ):
            return self._plan_renewal(now_ms)
        if now_ms >= self._next_poll_ms:
            return PlannedCall(CallKind.VIEW)
        return None

    def answered(self, now_ms: int) -> None:
        """Note that a call was answered."""
        self.in_flight = None
        self.failures = 0
        busy = bool(self.attempts_by_lease) or not self.fence.is_open
        self._next_poll_ms = now_ms + (POLL_BUSY_MS if busy else POLL_IDLE_MS)

    def failed(self, now_ms: int) -> None:
        """Note that a call failed; the worker is polled ever less often."""
        self.in_flight = None
        delay_ms = min(RETRY_MIN_MS << min(self.failures, 8), RETRY_MAX_MS)
        self.failures += 1
        self._next_poll_ms = now_ms + delay_ms
        self._next_renewal_ms = now_ms

    def _plan_changes(self) -> PlannedCall | None:
        if self.stops:
            lease_ids, self.stops = tuple(self.stops), {}
            return PlannedCall(CallKind.STOP, lease_ids)
        if self.checkpoints:
            lease_ids, self.checkpoints = tuple(self.checkpoints), {}
            return PlannedCall(CallKind.CHECKPOINT, lease_ids)
        if self.throttles_by_lease:
            lease_id, cpu_millis = self.throttles_by_lease.popitem()
            return PlannedCall(
                CallKind.THROTTLE, (lease_id,), cpu_millis=cpu_millis
            )
        if self.starts and self.accepts_starts:
            return self._plan_start()
        return None

    def _plan_start(self) -> PlannedCall:
        lease_ids, self.starts = tuple(self.starts), {}
        grants = tuple(
            self._grant(self.attempts_by_lease[lease_id])
            for lease_id in lease_ids
        )
        return PlannedCall(CallKind.START, lease_ids, grants)

    def _grant(self, attempt: Attempt) -> LeaseGrant:
        view = self.fence.view
        boot_id = view.boot_id if view else ""
        attempt.mark_sent(boot_id, self.fence.grant_expiry_ms())
        return LeaseGrant(
            attempt.task.attempt_id,
            self.fence.owner.epoch,
            attempt.expires_at_ms,
            resources=attempt.reserved,
            entry=attempt.task.entry,
            payload=attempt.payload,
            boot_id=boot_id,
        )

    def _plan_renewal(self, now_ms: int) -> PlannedCall | None:
        claim_lease = self.fence.claim_lease
        if claim_lease is None or self.fence.phase is FencePhase.YIELDED:
            return None
        interval_ms = self.fence.ttl_ms // RENEWALS_PER_TTL
        self._next_renewal_ms = now_ms + interval_ms - self._jitter_ms()
        expires_at_ms = self.fence.renewal_expiry_ms()
        lease_ids = [claim_lease.lease_id]
        for lease_id, attempt in self.attempts_by_lease.items():
            if not self._holds(attempt.task.entry, now_ms):
                continue
            if attempt.state in (AttemptState.LISTED, AttemptState.ENDED):
                attempt.extend(expires_at_ms)
                lease_ids.append(lease_id)
        return PlannedCall(
            CallKind.RENEW, tuple(lease_ids), expires_at_ms=expires_at_ms
        )

    def _jitter_ms(self) -> int:
        interval_ms = self.fence.ttl_ms // RENEWALS_PER_TTL
        spread = sum(self.worker.instance_id.encode()) % JITTER_STEPS
        return interval_ms * spread // (4 * JITTER_STEPS)
