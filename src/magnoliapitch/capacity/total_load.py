"""Adds up the resource use of all roles of one entry instance."""

from __future__ import annotations

from magnoliapitch.capacity.role import Load
from magnoliapitch.capacity.role import Sizing
from magnoliapitch.capacity.roles import roles_by_name


def total_load(sizing: Sizing) -> Load:
    """Return the resource use of all roles of one entry instance.

    The memory of an idle process is added once, if it was measured.
    """
    loads = [role.load(sizing) for role in roles_by_name.values()]
    idle = sizing.measurement.idle
    idle_memory_mb = idle.memory_mb if idle else 0.0
    return Load(
        sum(load.core_share for load in loads),
        idle_memory_mb + sum(load.memory_mb for load in loads),
        sum(load.bytes_per_second for load in loads),
        sum(load.messages_per_second for load in loads),
    )
