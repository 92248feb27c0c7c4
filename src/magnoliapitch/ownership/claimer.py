"""Claims units of the own availability zone through the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.journal.record import UnitClaim
from magnoliapitch.platform.instance import InstanceRole


if TYPE_CHECKING:
    from magnoliapitch.journal.journal import Journal
    from magnoliapitch.journal.state import Claim
    from magnoliapitch.membership.identity import Identity
    from magnoliapitch.platform.fleet import Fleet


CLAIM_INTERVAL_MS = 200
UNIT_ROLES = (InstanceRole.WORKER, InstanceRole.BACKEND_SERVER)


class Claimer:
    """Claims units that nobody owns."""

    def __init__(
        self, identity: Identity, journal: Journal, fleet: Fleet
    ) -> None:
        self._identity = identity
        self._journal = journal
        self._fleet = fleet

    def claim_step(self) -> int:
        """Claim free units; return milliseconds until the next step."""
        units = {
            item.unit
            for role in UNIT_ROLES
            for item in self._fleet.of_role(role, self._identity.zone)
        }
        with self._journal.reading() as state:
            claims_by_unit = dict(state.claims_by_unit)
        for unit in sorted(units):
            claim = claims_by_unit.get(unit)
            if claim is not None and claim.incarnation:
                continue
            epoch = claim.epoch if claim else 0
            self._journal.enqueue(
                UnitClaim(
                    unit,
                    self._identity.zone,
                    self._identity.incarnation,
                    epoch,
                )
            )
        return CLAIM_INTERVAL_MS

    def owned(self) -> dict[str, Claim]:
        """Return the own claims by unit."""
        with self._journal.reading() as state:
            return {
                unit: claim
                for unit, claim in state.claims_by_unit.items()
                if claim.incarnation == self._identity.incarnation
            }
