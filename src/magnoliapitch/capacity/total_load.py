"""All roles of one entry instance together."""

from __future__ import annotations

from magnoliapitch.capacity.role import Load
from magnoliapitch.capacity.role import Sizing
from magnoliapitch.capacity.roles import roles_by_name


def total(sizing: Sizing) -> Load:
    """Return the cost of all roles of one entry together.

    The memory of an idle process counts once, where it was measured.
    """
    loads = [role.load(sizing) for role in roles_by_name.values()]
    found = sizing.measurement.idle
    base_mb = found.memory_mb if found else 0.0
    return Load(
        sum(load.core_share for load in loads),
        base_mb + sum(load.memory_mb for load in loads),
        sum(load.bytes_per_second for load in loads),
        sum(load.messages_per_second for load in loads),
    )
