"""Local cache of the platform's instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from magnoliapitch.event import log_event


if TYPE_CHECKING:
    from result import Result

    from magnoliapitch.membership.instance import InstanceInfo
    from magnoliapitch.membership.instance import InstanceList
    from magnoliapitch.membership.instance import InstanceRole
    from magnoliapitch.verdict import Failure


REFRESH_INTERVAL_MS = 1_500
ALL_ZONES = ""

_Index = dict["tuple[InstanceRole, str]", "tuple[InstanceInfo, ...]"]


class InstanceCache:
    """Cached instance list, indexed by id, role and zone.

    While the platform cannot be reached, the last list stays in use.

    :ivar is_fresh: whether the last refresh succeeded.
    :ivar generation: counter that increases with each change of the list.
    """

    def __init__(self, instance_list: InstanceList) -> None:
        self.is_fresh = False
        self.generation = 0
        self._instance_list = instance_list
        self._instances: tuple[InstanceInfo, ...] = ()
        self._by_id: dict[str, InstanceInfo] = {}
        self._by_role_and_zone: _Index = {}
        self._was_fresh: bool | None = None

    def refresh_step(self) -> int:
        """Fetch the list and update the cache if the fetch succeeds.

        :return: milliseconds until the next refresh.
        """
        outcome = self._instance_list.instances()
        self._record_outcome(outcome)
        if not isinstance(outcome, Err):
            self._update(outcome.ok_value)
        return REFRESH_INTERVAL_MS

    def get(self, instance_id: str) -> InstanceInfo | None:
        """Return the listed instance with an id, or None."""
        return self._by_id.get(instance_id)

    def of_role(
        self, role: InstanceRole, zone: str = ALL_ZONES
    ) -> tuple[InstanceInfo, ...]:
        """Return the instances of a role, in one zone or in all."""
        return self._by_role_and_zone.get((role, zone), ())

    def _update(self, instances: tuple[InstanceInfo, ...]) -> None:
        if instances == self._instances:
            return
        index: dict[tuple[InstanceRole, str], list[InstanceInfo]] = {}
        for item in instances:
            for zone in (item.zone, ALL_ZONES):
                index.setdefault((item.role, zone), []).append(item)
        self._instances = instances
        self._by_id = {item.instance_id: item for item in instances}
        self._by_role_and_zone = {
            key: tuple(items) for key, items in index.items()
        }
        self.generation += 1

    def _record_outcome(
        self, outcome: Result[tuple[InstanceInfo, ...], Failure]
    ) -> None:
        was_fresh = self._was_fresh
        self.is_fresh = not isinstance(outcome, Err)
        self._was_fresh = self.is_fresh
        if self.is_fresh == was_fresh:
            return
        if isinstance(outcome, Err):
            reason = outcome.err_value.detail
            log_event("instance-list-unavailable", reason=reason)
        else:
            log_event(
                "instance-list-available", instances=len(outcome.ok_value)
            )
