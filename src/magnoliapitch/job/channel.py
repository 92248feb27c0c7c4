"""Calls of a rack's owner to one worker, one at a time."""

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


BUSY_POLL_INTERVAL_MS = 250
IDLE_POLL_INTERVAL_MS = 1_000
RETRY_DELAY_MIN_MS = 250
RETRY_DELAY_MAX_MS = 4_000
RENEWALS_PER_TTL = 3
JITTER_STEP_COUNT = 16


class CallKind(StrEnum):
    """Kinds of calls to a worker."""

    VIEW = "view"
    CLAIM = "claim"
    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    START = "start"
    RENEW = "renew"


class PlannedCall(NamedTuple):
    """The next call to a worker, with the arguments that its kind needs.

    :param lease_ids: leases that the call concerns.
    :param grants: leases to start.
    :param expires_at_ms: new expiry of renewed leases, in milliseconds of
        the worker's clock.
    :param cpu_millis: limit for a throttled task, in thousandths of a core.
    """

    kind: CallKind
    lease_ids: tuple[str, ...] = ()
    grants: tuple[LeaseGrant, ...] = ()
    expires_at_ms: int = 0
    cpu_millis: int = 0


class WorkerChannel:
    """Attempts on one worker of an owned rack, and the calls to it.

    At most one call is in flight. Requests that no call has sent yet are
    kept in the ``pending_*`` attributes.

    :param may_keep_tasks: returns whether leases of a catalogue entry's
        tasks may be renewed at a local monotonic time.
    :ivar attempts_by_lease: attempts that may run on the worker, or whose
        end is not recorded yet.
    :ivar pending_starts: lease ids of placed attempts to grant.
    :ivar pending_stops: ids of leases to end.
    :ivar pending_checkpoints: ids of leases to checkpoint and end.
    :ivar pending_throttles_by_lease: CPU limits to set, in thousandths of a
        core.
    :ivar in_flight: call that has no reply yet.
    :ivar consecutive_failures: number of calls that failed in a row.
    """

    def __init__(
        self,
        worker: InstanceInfo,
        fence: WorkerFence,
        may_keep_tasks: Callable[[str, int], bool],
    ) -> None:
        self.worker = worker
        self._may_keep_tasks = may_keep_tasks
        self.fence = fence
        self.attempts_by_lease: dict[str, Attempt] = {}
        self.pending_starts: dict[str, None] = {}
        self.pending_stops: dict[str, None] = {}
        self.pending_checkpoints: dict[str, None] = {}
        self.pending_throttles_by_lease: dict[str, int] = {}
        self.in_flight: PlannedCall | None = None
        self.consecutive_failures = 0
        self._next_poll_ms = 0
        self._next_renewal_ms = 0

    @property
    def accepts_starts(self) -> bool:
        """Whether new leases can be granted on the worker now."""
        return self.fence.is_open and not self.consecutive_failures

    def plan_call(
        self, now_ms: int, confirmed_ms: int | None
    ) -> PlannedCall | None:
        """Return the next call, or ``None`` if none is due.

        :param now_ms: local monotonic time, in milliseconds.
        :param confirmed_ms: local monotonic time at which the newest
            complete read of the log began, if there was one.
        """
        if self.in_flight is not None:
            return None
        if self.consecutive_failures and now_ms < self._next_poll_ms:
            return None
        if self.consecutive_failures or self.fence.view is None:
            return PlannedCall(CallKind.VIEW)
        if self.fence.may_start_claim_lease(confirmed_ms):
            self.fence, grant = self.fence.start_claim_lease()
            return PlannedCall(CallKind.CLAIM, grants=(grant,))
        planned = self._plan_pending()
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

    def record_reply(self, now_ms: int) -> None:
        """Record that the worker replied, and schedule the next poll."""
        self.in_flight = None
        self.consecutive_failures = 0
        is_busy = bool(self.attempts_by_lease) or not self.fence.is_open
        self._next_poll_ms = now_ms + (
            BUSY_POLL_INTERVAL_MS if is_busy else IDLE_POLL_INTERVAL_MS
        )

    def record_failure(self, now_ms: int) -> None:
        """Record that a call failed, and delay the next one.

        The delay doubles with each failure in a row up to a maximum.
        """
        self.in_flight = None
        delay_ms = min(
            RETRY_DELAY_MIN_MS << min(self.consecutive_failures, 8),
            RETRY_DELAY_MAX_MS,
        )
        self.consecutive_failures += 1
        self._next_poll_ms = now_ms + delay_ms
        self._next_renewal_ms = now_ms

    def _plan_pending(self) -> PlannedCall | None:
        if self.pending_stops:
            lease_ids, self.pending_stops = tuple(self.pending_stops), {}
            return PlannedCall(CallKind.STOP, lease_ids)
        if self.pending_checkpoints:
            lease_ids, self.pending_checkpoints = (
                tuple(self.pending_checkpoints),
                {},
            )
            return PlannedCall(CallKind.CHECKPOINT, lease_ids)
        if self.pending_throttles_by_lease:
            lease_id, cpu_millis = self.pending_throttles_by_lease.popitem()
            return PlannedCall(
                CallKind.THROTTLE, (lease_id,), cpu_millis=cpu_millis
            )
        if self.pending_starts and self.accepts_starts:
            return self._plan_starts()
        return None

    def _plan_starts(self) -> PlannedCall:
        lease_ids, self.pending_starts = tuple(self.pending_starts), {}
        grants = tuple(
            self._make_grant(self.attempts_by_lease[lease_id])
            for lease_id in lease_ids
        )
        return PlannedCall(CallKind.START, lease_ids, grants)

    def _make_grant(self, attempt: Attempt) -> LeaseGrant:
        view = self.fence.view
        boot_id = view.boot_id if view else ""
        attempt.mark_sent(boot_id, self.fence.grant_expiry_ms())
        return LeaseGrant(
            attempt.request.attempt_id,
            self.fence.owner.epoch,
            attempt.expires_at_ms,
            resources=attempt.reserved,
            entry=attempt.request.entry,
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
            if not self._may_keep_tasks(attempt.request.entry, now_ms):
                continue
            if attempt.state in (AttemptState.LISTED, AttemptState.ENDED):
                attempt.extend(expires_at_ms)
                lease_ids.append(lease_id)
        return PlannedCall(
            CallKind.RENEW, tuple(lease_ids), expires_at_ms=expires_at_ms
        )

    def _jitter_ms(self) -> int:
        """Return how much earlier than the interval a renewal is due.

        It depends on the worker's id, up to a quarter of the interval.
        """
        interval_ms = self.fence.ttl_ms // RENEWALS_PER_TTL
        jitter_step = sum(self.worker.instance_id.encode()) % JITTER_STEP_COUNT
        return interval_ms * jitter_step // (4 * JITTER_STEP_COUNT)
