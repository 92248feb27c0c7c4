"""Claims and hands over units of the own availability zone."""

from __future__ import annotations

import threading

from fractions import Fraction
from typing import TYPE_CHECKING

from magnoliapitch.journal.record import UnitClaim
from magnoliapitch.journal.record import UnitRelease
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.ownership.assignment import assign_units
from magnoliapitch.ownership.share import REQUEST_MAX_MS
from magnoliapitch.ownership.share import slot_share
from magnoliapitch.ownership.zone_members import ZoneMembers


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.pending_record_entry import PendingRecordEntry
    from magnoliapitch.journal.state import Claim
    from magnoliapitch.membership.identity import Identity
    from magnoliapitch.membership.instance_cache import InstanceCache
    from magnoliapitch.membership.membership import Membership


CLAIM_INTERVAL_MS = 200
LOG_MAX_AGE_MS = 2_000
TAKEOVER_AFTER_MS = 3_000
LIVE_INSTANCES_STABLE_MS = 10_000
HANDOVER_INTERVAL_MS = 5_000
# Time until an owner that hands a group over uses at most half of its slots.
GROUP_RELEASE_DELAY_MS = REQUEST_MAX_MS
UNIT_ROLES = (InstanceRole.WORKER, InstanceRole.BACKEND_SERVER)


class Claimer:
    """Spreads the zone's units evenly over its live instances.

    Claims are records in the log. Each instance claims the units that
    ``assign_units`` gives to it and that have no owner, an owner silent for
    ``TAKEOVER_AFTER_MS``, or an earlier incarnation of the instance as owner.
    An owner starts to hand over one unit every ``HANDOVER_INTERVAL_MS``, once
    the set of live instances has not changed for ``LIVE_INSTANCES_STABLE_MS``.
    Without a complete read of the log in the last ``LOG_MAX_AGE_MS``, nothing
    changes.
    """

    def __init__(
        self,
        identity: Identity,
        journal: Journal,
        instance_cache: InstanceCache,
        membership: Membership,
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._journal = journal
        self._instance_cache = instance_cache
        self._membership = membership
        self._clock = clock
        self._zone_members = ZoneMembers(identity.zone)
        self._lock = threading.RLock()
        self._pending_by_unit: dict[str, PendingRecordEntry] = {}
        self._owned_since_ms_by_claim: dict[tuple[str, int], int] = {}
        self._release_started_ms_by_unit: dict[str, int] = {}
        self._live_instances: frozenset[str] = frozenset()
        self._live_instances_since_ms = 0
        self._last_handover_ms = 0
        self._owned_offset = -1
        self._owned_by_unit: dict[str, Claim] = {}

    def claim_step(self) -> int:
        """Claim and hand over units where that is due.

        :return: milliseconds until the next call.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            self._observe(now_ms)
            if self._is_log_fresh(now_ms):
                self._rebalance(now_ms)
        return CLAIM_INTERVAL_MS

    def owned_claims(self) -> dict[str, Claim]:
        """Return this incarnation's claims by unit.

        Callers must not modify the result.
        """
        with self._journal.locked_state() as state:
            if self._owned_offset != state.next_offset:
                self._owned_offset = state.next_offset
                self._owned_by_unit = {
                    unit: claim
                    for unit, claim in state.claims_by_unit.items()
                    if claim.incarnation == self._identity.incarnation
                }
            return self._owned_by_unit

    def is_rack(self, unit: str) -> bool:
        """Return whether a unit is a rack, which has workers."""
        return any(
            item.unit == unit
            for item in self._instance_cache.of_role(InstanceRole.WORKER)
        )

    def is_releasing(self, unit: str) -> bool:
        """Return whether an owned unit is being handed over."""
        with self._lock:
            return unit in self._release_started_ms_by_unit

    def release(self, unit: str) -> None:
        """Release an owned unit, none of whose grants may be in flight."""
        claim = self.owned_claims().get(unit)
        with self._lock:
            if claim is not None and not self._is_pending(unit):
                self._pending_by_unit[unit] = self._journal.enqueue(
                    UnitRelease(unit, claim.incarnation, claim.epoch)
                )

    def predecessors_stopped_at_ms(self, unit: str) -> int | None:
        """Return when all earlier owners were known to have stopped.

        :return: local monotonic time in milliseconds, or nothing while one
            of them may still act as owner.
        """
        claim = self.owned_claims().get(unit)
        if claim is None:
            return None
        with self._lock:
            return self._zone_members.stopped_at_ms(
                claim, self._clock.now_ms()
            )

    def slot_share(self, unit: str, now_ms: int) -> Fraction:
        """Return the share of a group's slots that may be used now.

        :param now_ms: local monotonic time.
        :return: from 0 to 1.
        """
        claim = self.owned_claims().get(unit)
        if claim is None:
            return Fraction(0)
        with self._lock:
            since_ms = self._owned_since_ms_by_claim.get(
                (unit, claim.epoch), now_ms
            )
            running = self._zone_members.running_predecessors(claim)
            stopped_at_ms = self._zone_members.stopped_at_ms(claim, now_ms)
            is_releasing = unit in self._release_started_ms_by_unit
        caught_up_ms = self._journal.last_caught_up_ms
        return slot_share(
            claim,
            now_ms,
            since_ms,
            caught_up_ms,
            len(running),
            stopped_at_ms,
            is_releasing=is_releasing,
        )

    def _observe(self, now_ms: int) -> None:
        self._zone_members.observe(self._membership.peers(), now_ms)
        own_claims = {
            (unit, claim.epoch) for unit, claim in self.owned_claims().items()
        }
        self._owned_since_ms_by_claim = {
            key: self._owned_since_ms_by_claim.get(key, now_ms)
            for key in own_claims
        }
        own_units = {unit for unit, _ in own_claims}
        for unit in set(self._release_started_ms_by_unit) - own_units:
            del self._release_started_ms_by_unit[unit]
        live_instances = self._zone_members.live_instances()
        if not self._membership.leaving:
            live_instances |= {self._identity.instance_id}
        if live_instances != self._live_instances:
            self._live_instances = live_instances
            self._live_instances_since_ms = now_ms

    def _is_log_fresh(self, now_ms: int) -> bool:
        caught_up_ms = self._journal.last_caught_up_ms
        return (
            caught_up_ms is not None
            and now_ms - caught_up_ms <= LOG_MAX_AGE_MS
        )

    def _rebalance(self, now_ms: int) -> None:
        with self._journal.locked_state() as state:
            claims_by_unit = dict(state.claims_by_unit)
        for role in UNIT_ROLES:
            units = {
                item.unit
                for item in self._instance_cache.of_role(
                    role, self._identity.zone
                )
            }
            target_by_unit = assign_units(units, self._live_instances)
            for unit, target in target_by_unit.items():
                claim = claims_by_unit.get(unit)
                self._reconcile(unit, claim, target, role, now_ms)

    def _reconcile(
        self,
        unit: str,
        claim: Claim | None,
        target: str,
        role: InstanceRole,
        now_ms: int,
    ) -> None:
        if self._is_pending(unit):
            return
        is_own = claim is not None and (
            claim.incarnation == self._identity.incarnation
        )
        is_target = target == self._identity.instance_id
        if is_own:
            if not is_target:
                self._advance_handover(unit, role, now_ms)
            return
        if is_target and (claim is None or self._may_take_over(claim, now_ms)):
            self._claim(unit, claim)

    def _may_take_over(self, claim: Claim, now_ms: int) -> bool:
        if not claim.incarnation:
            return True
        if self._zone_members.instance_id_of(claim.incarnation) == (
            self._identity.instance_id
        ):
            return True
        silence_ms = self._zone_members.silence_ms(claim.incarnation, now_ms)
        return silence_ms is not None and silence_ms >= TAKEOVER_AFTER_MS

    def _claim(self, unit: str, claim: Claim | None) -> None:
        self._pending_by_unit[unit] = self._journal.enqueue(
            UnitClaim(
                unit,
                self._identity.zone,
                self._identity.incarnation,
                claim.epoch if claim else 0,
            )
        )

    def _advance_handover(
        self, unit: str, role: InstanceRole, now_ms: int
    ) -> None:
        started_ms = self._release_started_ms_by_unit.get(unit)
        if started_ms is not None:
            has_drained = now_ms - started_ms >= GROUP_RELEASE_DELAY_MS
            if role is InstanceRole.BACKEND_SERVER and has_drained:
                self.release(unit)
            return
        is_stable = (
            now_ms - self._live_instances_since_ms >= LIVE_INSTANCES_STABLE_MS
        )
        is_interval_over = (
            now_ms - self._last_handover_ms >= HANDOVER_INTERVAL_MS
        )
        if is_stable and is_interval_over:
            self._last_handover_ms = now_ms
            self._release_started_ms_by_unit[unit] = now_ms

    def _is_pending(self, unit: str) -> bool:
        pending = self._pending_by_unit.get(unit)
        return pending is not None and pending.outcome is None
