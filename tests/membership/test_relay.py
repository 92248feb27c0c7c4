from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.journal.snapshot import state_digest
from magnoliapitch.journal.tail import RecordTail


if TYPE_CHECKING:
    from tests.membership.conftest import Group


def digest_of(group: Group, name: str) -> str:
    with group.cores[name].journal.locked_state() as state:
        return state_digest(state)


def offset_of(group: Group, name: str) -> int:
    return group.cores[name].journal.next_offset


def test_instance_cut_from_the_log_follows_through_a_peer(
    group: Group,
) -> None:
    group.add("a")
    group.add("b")
    group.run(3_000)
    group.logs["b"].down = True
    offset = group.put_catalogue_entry("x")
    group.run(5_000)
    assert offset_of(group, "b") > offset
    group.log.down = True
    group.run(2_000)
    assert offset_of(group, "a") == offset_of(group, "b")
    assert digest_of(group, "a") == digest_of(group, "b")


def test_instance_far_behind_takes_a_peers_snapshot(group: Group) -> None:
    group.add("a")
    group.add("b")
    group.run(3_000)
    group.logs["b"].down = True
    group.cores["a"].journal._tail = RecordTail(max_bytes=2_000)
    for number in range(100):
        group.put_catalogue_entry(f"n{number}")
    group.run(5_000)
    group.log.down = True
    group.run(2_000)
    assert digest_of(group, "a") == digest_of(group, "b")


def test_restart_in_a_partitioned_zone_loads_the_state_of_a_peer(
    group: Group,
) -> None:
    group.add("a")
    group.add("b")
    group.put_catalogue_entry("x")
    group.run(4_000)
    group.log.down = True
    before = offset_of(group, "b")
    group.kill("b")
    core = group.add("b", seeds=("a",))
    group.run(500)
    assert not core.is_ready()
    group.run(5_000)
    assert core.is_ready()
    assert core.journal.next_offset >= before
    with core.journal.locked_state() as state:
        assert "x" in state.catalogue_by_name


def test_restarted_instance_is_not_ready_below_an_offset_known_to_peers(
    group: Group,
) -> None:
    for name in ("a", "b", "c"):
        group.add(name)
    group.run(4_000)
    group.logs["a"].down = True
    slow_journal = group.cores["a"].journal
    slow_journal.apply = lambda records: None  # type: ignore[method-assign]
    slow_journal.install = lambda state: False  # type: ignore[method-assign]
    group.put_catalogue_entry("x")
    group.run(4_000)
    assert offset_of(group, "a") < offset_of(group, "b")
    group.log.down = True
    group.kill("b")
    ahead = group.kill("c")
    core = group.add("b", seeds=("a",))
    group.run(10_000)
    assert core.journal.next_offset == offset_of(group, "a")
    assert not core.is_ready()
    assert core.refusal() is not None
    group.cores["c"] = ahead
    group.network.handlers_by_address["c:1"] = ahead
    group.run(10_000)
    assert core.is_ready()
    assert digest_of(group, "b") == digest_of(group, "c")


def test_instances_without_history_are_not_ready_through_each_other(
    group: Group,
) -> None:
    group.log.down = True
    group.add("a", seeds=("b",))
    group.add("b", seeds=("a",))
    group.run(10_000)
    assert not group.cores["a"].is_ready()
    assert not group.cores["b"].is_ready()
    group.log.down = False
    group.run(2_000)
    assert group.cores["a"].is_ready()
