from __future__ import annotations

from magnoliapitch.membership.instance import InstanceInfo
from magnoliapitch.membership.instance import InstanceRole
from magnoliapitch.membership.instance_cache import InstanceCache
from magnoliapitch.standin import StandinInstanceList


def test_instance_cache_keeps_the_last_list_and_counts_its_changes() -> None:
    north = InstanceInfo("a", InstanceRole.WORKER, "north", "")
    south = InstanceInfo("b", InstanceRole.WORKER, "south", "")
    listed = StandinInstanceList((north, south))
    instance_cache = InstanceCache(listed)
    assert instance_cache.of_role(InstanceRole.WORKER) == ()
    instance_cache.refresh_step()
    instance_cache.refresh_step()
    assert instance_cache.generation == 1
    assert instance_cache.of_role(InstanceRole.WORKER) == (north, south)
    assert instance_cache.of_role(InstanceRole.WORKER, "south") == (south,)
    listed.down = True
    instance_cache.refresh_step()
    assert (instance_cache.is_fresh, instance_cache.get("a")) == (False, north)
    listed.down = False
    del listed.by_id["a"]
    instance_cache.refresh_step()
    assert (instance_cache.generation, instance_cache.get("a")) == (2, None)
