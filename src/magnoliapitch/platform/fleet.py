"""The newest known list of instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err


if TYPE_CHECKING:
    from magnoliapitch.platform.instance import InstanceInfo
    from magnoliapitch.platform.instance import InstanceList
    from magnoliapitch.platform.instance import InstanceRole


REFRESH_INTERVAL_MS = 500


class Fleet:
    """Caches the platform's list; keeps the last one during outages.

    :ivar is_fresh: whether the last refresh succeeded.
    """

    def __init__(self, instance_list: InstanceList) -> None:
        self.is_fresh = False
        self._instance_list = instance_list
        self._by_id: dict[str, InstanceInfo] = {}

    def refresh_step(self) -> int:
        """Fetch the list; return milliseconds until the next refresh."""
        outcome = self._instance_list.instances()
        self.is_fresh = not isinstance(outcome, Err)
        if not isinstance(outcome, Err):
            self._by_id = {item.instance_id: item for item in outcome.ok_value}
        return REFRESH_INTERVAL_MS

    def get(self, instance_id: str) -> InstanceInfo | None:
        """Return one instance."""
        return self._by_id.get(instance_id)

    def of_role(
        self, role: InstanceRole, zone: str = ""
    ) -> tuple[InstanceInfo, ...]:
        """Return instances of a role, of one zone if it is given."""
        return tuple(
            item
            for item in self._by_id.values()
            if item.role is role and zone in ("", item.zone)
        )
