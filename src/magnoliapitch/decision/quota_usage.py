"""Use by owners and entries: dominant shares and quotas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.catalogue.entry import CatalogueEntry


class Accounts:
    """What owners and entries have reserved now."""

    def __init__(self) -> None:
        self._quota_by_entry: dict[str, Resources] = {}
        self._share_by_owner: dict[str, int] = {}
        self._use_by_entry: dict[str, Resources] = {}
        self._use_by_owner: dict[str, Resources] = {}
        self._dominant_by_owner: dict[str, tuple[float, Resources]] = {}

    def set_catalogue(self, by_name: Mapping[str, CatalogueEntry]) -> None:
        """Take quotas and shares from the catalogue.

        The share of an owner is the largest of its entries.
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
        self._dominant_by_owner.clear()

    def take(self, entry: str, owner: str, amount: Resources) -> None:
        """Count a reservation."""
        used = self._use_by_entry.get(entry, NO_RESOURCES)
        self._use_by_entry[entry] = used.plus(amount)
        used = self._use_by_owner.get(owner, NO_RESOURCES)
        self._use_by_owner[owner] = used.plus(amount)
        self._dominant_by_owner.pop(owner, None)

    def give(self, entry: str, owner: str, amount: Resources) -> None:
        """Count the end of a reservation."""
        self._use_by_entry[entry] = self._use_by_entry[entry].minus(amount)
        self._use_by_owner[owner] = self._use_by_owner[owner].minus(amount)
        self._dominant_by_owner.pop(owner, None)

    def quota(self, entry: str) -> Resources | None:
        """Return the quota of an entry, if the catalogue has it."""
        return self._quota_by_entry.get(entry)

    def is_within_quota(self, entry: str, amount: Resources) -> bool:
        """Return whether an entry may reserve more without borrowing."""
        quota = self._quota_by_entry.get(entry)
        if quota is None:
            return True
        used = self._use_by_entry.get(entry, NO_RESOURCES)
        return used.plus(amount).fits(quota)

    def dominant_share(self, owner: str, capacity: Resources) -> float:
        """Return the largest used share of any resource, by weight."""
        known = self._dominant_by_owner.get(owner)
        if known is not None and known[1] is capacity:
            return known[0]
        used = self._use_by_owner.get(owner, NO_RESOURCES)
        largest = max(
            used.cpu_millis / max(1, capacity.cpu_millis),
            used.memory_mb / max(1, capacity.memory_mb),
            used.accelerators / max(1, capacity.accelerators),
        )
        dominant = largest / self._share_by_owner.get(owner, 1)
        self._dominant_by_owner[owner] = (dominant, capacity)
        return dominant
