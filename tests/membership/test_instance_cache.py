from __future__ import annotations

from magnoliapitch.membership.instance import InstanceInfo
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.membership.instance_cache import Fleet
from magnoliapitch.standin import StandinInstanceList


def test_fleet_keeps_the_last_list_and_counts_its_changes() -> None:
    north = InstanceInfo("a", InstanceRole.WORKER, "north", "")
    south = InstanceInfo("b", InstanceRole.WORKER, "south", "")
    listed = StandinInstanceList((north, south))
    fleet = Fleet(listed)
    assert fleet.of_role(InstanceRole.WORKER) == ()
    fleet.refresh_step()
    fleet.refresh_step()
    assert fleet.generation == 1
    assert fleet.of_role(InstanceRole.WORKER) == (north, south)
    assert fleet.of_role(InstanceRole.WORKER, "south") == (south,)
    listed.down = True
    fleet.refresh_step()
    assert (fleet.is_fresh, fleet.get("a")) == (False, north)
    listed.down = False
    del listed.by_id["a"]
    fleet.refresh_step()
    assert (fleet.generation, fleet.get("a")) == (2, None)
