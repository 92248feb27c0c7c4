"""Claims units of the own availability zone through the log."""

from __future__ import annotations

import threading

from fractions import Fraction
from typing import TYPE_CHECKING

from magnoliapitch.journal.record import UnitClaim
from magnoliapitch.journal.record import UnitRelease
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.ownership.assignment import assign
from magnoliapitch.ownership.share import REQUEST_MAX_MS
from magnoliapitch.ownership.share import slot_share
from magnoliapitch.ownership.watch import ZoneWatch


if TYPE_CHECKING:
    from magnoliapitch.clock import Clock
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.pending_entry import PendingEntry
    from magnoliapitch.journal.state import Claim
    from magnoliapitch.membership.fleet import Fleet
    from magnoliapitch.membership.identity import Identity
    from magnoliapitch.membership.membership import Membership


CLAIM_INTERVAL_MS = 200
LOG_FRESH_MS = 2_000
TAKEOVER_AFTER_MS = 3_000
STABLE_MS = 10_000
HANDOVER_INTERVAL_MS = 5_000
SHRINK_MS = REQUEST_MAX_MS
UNIT_ROLES = (InstanceRole.WORKER, InstanceRole.BACKEND_SERVER)


class Claimer:
    """Keeps the zone's units spread evenly over its live instances.

    Free units, and those of silent owners and of earlier runs of the own
    instance, are claimed by the instance that should own them. An owner
    hands over to another live instance one unit at a time, once the members
    have not changed for ``STABLE_MS``. Without a fresh read of the log
    nothing changes.
    """

    def __init__(
        self,
        identity: Identity,
        journal: Journal,
        fleet: Fleet,
        membership: Membership,
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._journal = journal
        self._fleet = fleet
        self._membership = membership
        self._clock = clock
        self._watch = ZoneWatch(identity.zone)
        self._lock = threading.RLock()
        self._pending_by_unit: dict[str, PendingEntry] = {}
        self._owned_since_by_claim: dict[tuple[str, int], int] = {}
        self._releasing: dict[str, int] = {}
        self._members: frozenset[str] = frozenset()
        self._members_since_ms = 0
        self._handover_ms = 0
        self._owned_offset = -1
        self._owned_by_unit: dict[str, Claim] = {}

    def claim_step(self) -> int:
        """Claim and hand over units.

        :return: milliseconds until the next step.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            self._observe(now_ms)
            if self._is_log_fresh(now_ms):
                self._rebalance(now_ms)
        return CLAIM_INTERVAL_MS

    def owned(self) -> dict[str, Claim]:
        """Return the own claims by unit, not to be changed."""
        with self._journal.reading() as state:
            if self._owned_offset != state.next_offset:
                self._owned_offset = state.next_offset
                self._owned_by_unit = {
                    unit: claim
                    for unit, claim in state.claims_by_unit.items()
                    if claim.incarnation == self._identity.incarnation
                }
            return self._owned_by_unit

    def is_rack(self, unit: str) -> bool:
        """Return whether a unit has workers."""
        return any(
            item.unit == unit
            for item in self._fleet.of_role(InstanceRole.WORKER)
        )

    def is_releasing(self, unit: str) -> bool:
        """Return whether an owned unit is about to be handed over."""
        with self._lock:
            return unit in self._releasing

    def release(self, unit: str) -> None:
        """Give up a rack of which no grant is in flight any more."""
        claim = self.owned().get(unit)
        with self._lock:
            if claim is not None and not self._is_pending(unit):
                self._pending_by_unit[unit] = self._journal.enqueue(
                    UnitRelease(unit, claim.incarnation, claim.epoch)
                )

    def predecessors_stopped_ms(self, unit: str) -> int | None:
        """Return since when all earlier owners are known to have stopped.

        :return: local time, or nothing while one may still run.
        """
        claim = self.owned().get(unit)
        if claim is None:
            return None
        with self._lock:
            return self._watch.stopped_ms(claim, self._clock.now_ms())

    def slot_share(self, unit: str, now_ms: int) -> Fraction:
        """Return the part of a group's slots that may be used now."""
        claim = self.owned().get(unit)
        if claim is None:
            return Fraction(0)
        with self._lock:
            since_ms = self._owned_since_by_claim.get(
                (unit, claim.epoch), now_ms
            )
            running = self._watch.running_predecessors(claim)
            stopped_ms = self._watch.stopped_ms(claim, now_ms)
            is_releasing = unit in self._releasing
        read_ms = self._journal.last_caught_up_ms
        return slot_share(
            claim,
            now_ms,
            since_ms,
            read_ms,
            len(running),
            stopped_ms,
            is_releasing=is_releasing,
        )

    def _observe(self, now_ms: int) -> None:
        self._watch.observe(self._membership.peers(), now_ms)
        owned = {(unit, c.epoch) for unit, c in self.owned().items()}
        self._owned_since_by_claim = {
            key: self._owned_since_by_claim.get(key, now_ms) for key in owned
        }
        own_units = {unit for unit, _ in owned}
        for unit in set(self._releasing) - own_units:
            del self._releasing[unit]
        members = self._watch.live_instances()
        if not self._membership.leaving:
            members |= {self._identity.instance_id}
        if members != self._members:
            self._members = members
            self._members_since_ms = now_ms

    def _is_log_fresh(self, now_ms: int) -> bool:
        read_ms = self._journal.last_caught_up_ms
        return read_ms is not None and now_ms - read_ms <= LOG_FRESH_MS

    def _rebalance(self, now_ms: int) -> None:
        with self._journal.reading() as state:
            claims_by_unit = dict(state.claims_by_unit)
        for role in UNIT_ROLES:
            units = {
                item.unit
                for item in self._fleet.of_role(role, self._identity.zone)
            }
            target_by_unit = assign(units, self._members)
            for unit, target in target_by_unit.items():
                claim = claims_by_unit.get(unit)
                self._consider(unit, claim, target, role, now_ms)

    def _consider(
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
                self._hand_over(unit, role, now_ms)
            return
        if is_target and (claim is None or self._is_free(claim, now_ms)):
            self._claim(unit, claim)

    def _is_free(self, claim: Claim, now_ms: int) -> bool:
        if not claim.incarnation:
            return True
        if self._watch.instance_of(claim.incarnation) == (
            self._identity.instance_id
        ):
            return True
        silent_ms = self._watch.silent_ms(claim.incarnation, now_ms)
        return silent_ms is not None and silent_ms >= TAKEOVER_AFTER_MS

    def _claim(self, unit: str, claim: Claim | None) -> None:
        self._pending_by_unit[unit] = self._journal.enqueue(
            UnitClaim(
                unit,
                self._identity.zone,
                self._identity.incarnation,
                claim.epoch if claim else 0,
            )
        )

    def _hand_over(self, unit: str, role: InstanceRole, now_ms: int) -> None:
        started_ms = self._releasing.get(unit)
        if started_ms is not None:
            waited = now_ms - started_ms >= SHRINK_MS
            if role is InstanceRole.BACKEND_SERVER and waited:
                self.release(unit)
            return
        is_stable = now_ms - self._members_since_ms >= STABLE_MS
        is_next = now_ms - self._handover_ms >= HANDOVER_INTERVAL_MS
        if is_stable and is_next:
            self._handover_ms = now_ms
            self._releasing[unit] = now_ms

    def _is_pending(self, unit: str) -> bool:
        pending = self._pending_by_unit.get(unit)
        return pending is not None and pending.outcome is None
