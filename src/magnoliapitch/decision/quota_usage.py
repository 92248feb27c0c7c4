"""Resource usage of entries and owners, with quotas and fair shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.catalogue.entry import CatalogueEntry


class QuotaUsage:
    """Resources that are now reserved for each entry and owner."""

    def __init__(self) -> None:
        self._quota_by_entry: dict[str, Resources] = {}
        self._share_by_owner: dict[str, int] = {}
        self._usage_by_entry: dict[str, Resources] = {}
        self._usage_by_owner: dict[str, Resources] = {}
        self._dominant_share_by_owner: dict[str, tuple[float, Resources]] = {}

    def set_catalogue(self, by_name: Mapping[str, CatalogueEntry]) -> None:
        """Update the quotas of entries and the share weights of owners.

        The weight of an owner is the largest share among its entries.
        """
        self._quota_by_entry = {
            name: Resources(
                entry.limits.cpu_millis,
                entry.limits.memory_mb,
                entry.limits.accelerators,
            )
            for name, entry in by_name.items()
        }
        shares: dict[str, int] = {}
        for entry in by_name.values():
            share = max(shares.get(entry.owner, 0), entry.limits.share)
            shares[entry.owner] = share
        self._share_by_owner = shares
        self._dominant_share_by_owner.clear()

    def allocate(self, entry: str, owner: str, amount: Resources) -> None:
        """Add resources that are reserved for a task."""
        used = self._usage_by_entry.get(entry, NO_RESOURCES)
        self._usage_by_entry[entry] = used.plus(amount)
        used = self._usage_by_owner.get(owner, NO_RESOURCES)
        self._usage_by_owner[owner] = used.plus(amount)
        self._dominant_share_by_owner.pop(owner, None)

    def release(self, entry: str, owner: str, amount: Resources) -> None:
        """Subtract resources that are no longer reserved for a task."""
        self._usage_by_entry[entry] = self._usage_by_entry[entry].minus(amount)
        self._usage_by_owner[owner] = self._usage_by_owner[owner].minus(amount)
        self._dominant_share_by_owner.pop(owner, None)

    def quota(self, entry: str) -> Resources | None:
        """Return the quota of an entry, or ``None`` if it is not known."""
        return self._quota_by_entry.get(entry)

    def is_within_quota(self, entry: str, amount: Resources) -> bool:
        """Return whether an entry may reserve this much more in its quota."""
        quota = self._quota_by_entry.get(entry)
        if quota is None:
            return True
        used = self._usage_by_entry.get(entry, NO_RESOURCES)
        return used.plus(amount).fits(quota)

    def dominant_share(self, owner: str, capacity: Resources) -> float:
        """Return the dominant share of an owner, as in DRF.

        This is the largest share of any resource that the owner uses,
        divided by the weight of the owner.

        :param capacity: total capacity; a cached result is used as long as
            this is the same object.
        """
        cached = self._dominant_share_by_owner.get(owner)
        if cached is not None and cached[1] is capacity:
            return cached[0]
        used = self._usage_by_owner.get(owner, NO_RESOURCES)
        largest = max(
            used.cpu_millis / max(1, capacity.cpu_millis),
            used.memory_mb / max(1, capacity.memory_mb),
            used.accelerators / max(1, capacity.accelerators),
        )
        dominant = largest / self._share_by_owner.get(owner, 1)
        self._dominant_share_by_owner[owner] = (dominant, capacity)
        return dominant
