from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import pytest

from magnoliapitch.control.delegation.assignment import (
    DELEGATED_WORKERS_PER_CORE,
)
from magnoliapitch.control.delegation.assignment import LOCAL
from magnoliapitch.control.delegation.assignment import assign_workers
from magnoliapitch.control.delegation.link import MAX_CALL_PROCESSOR_SHARE
from magnoliapitch.control.delegation.link import call_interval_ms
from tests.control.delegation.fakes import member
from tests.control.delegation.fakes import worker


if TYPE_CHECKING:
    from magnoliapitch.ledger.members import Member
    from magnoliapitch.workload.worker import WorkerInfo


ZONES = "abcde"


def fleet(count: int) -> list[WorkerInfo]:
    return [
        worker(f"{zone}{number:03d}", zone)
        for zone in ZONES
        for number in range(count // len(ZONES))
    ]


def agents(per_zone: int, cores: float = 1.0) -> dict[str, Member]:
    return {
        f"{zone}-{number}": member(f"{zone}-{number}", zone, cores)
        for zone in ZONES
        for number in range(per_zone)
    }


def test_a_leader_calls_a_small_fleet_itself() -> None:
    assigned = assign_workers(fleet(25), agents(2), {}, 1.07)
    assert set(assigned.values()) == {LOCAL}


def test_a_weak_leader_delegates_the_same_fleet() -> None:
    assigned = assign_workers(fleet(25), agents(2), {}, 0.12)
    assert LOCAL not in assigned.values()


def test_a_fleet_near_the_limit_does_not_change_hands() -> None:
    over = assign_workers(fleet(45), agents(2), {}, 1.0)
    assert LOCAL not in over.values()
    under = assign_workers(fleet(35), agents(2), over, 1.0)
    assert LOCAL not in under.values()
    small = assign_workers(fleet(30), agents(2), under, 1.0)
    assert set(small.values()) == {LOCAL}
    again = assign_workers(fleet(40), agents(2), small, 1.0)
    assert set(again.values()) == {LOCAL}


def test_each_zone_has_one_agent_as_long_as_that_can_carry_it() -> None:
    assigned = assign_workers(fleet(270), agents(19), {}, 2.15)
    assert len(set(assigned.values())) == len(ZONES)
    assert all(
        address.startswith(worker_id[0])
        for worker_id, address in assigned.items()
    )


def test_strong_agents_are_used_first() -> None:
    available = agents(2) | {"a-9": member("a-9", "a", 2.0)}
    assigned = assign_workers(fleet(270), available, {}, 1.0)
    assert assigned["a000"] == "a-9"


def test_weak_agents_share_a_zone() -> None:
    assigned = assign_workers(fleet(270), agents(19, 0.25), {}, 1.0)
    counts = Counter(assigned.values())
    assert max(counts.values()) <= 0.25 * 60
    assert len(counts) == 20


def test_a_zone_without_agents_is_called_from_another_one() -> None:
    available = {
        address: agent
        for address, agent in agents(2).items()
        if agent.zone != "c"
    }
    assigned = assign_workers(fleet(270), available, {}, 1.0)
    assert LOCAL not in assigned.values()
    returned = assign_workers(fleet(270), agents(2), assigned, 1.0)
    assert returned["c000"].startswith("c")


def test_workers_stay_with_their_agent() -> None:
    first = assign_workers(fleet(270), agents(1), {}, 1.0)
    assert assign_workers(fleet(270), agents(3), first, 1.0) == first


def test_only_workers_of_a_lost_agent_move() -> None:
    first = assign_workers(fleet(270), agents(2), {}, 1.0)
    remaining = agents(2)
    del remaining[first["a000"]]
    second = assign_workers(fleet(270), remaining, first, 1.0)
    moved = {name for name in first if first[name] != second[name]}
    assert moved == {name for name in first if name.startswith("a")}


def test_without_other_instances_the_leader_calls_all_workers() -> None:
    assigned = assign_workers(fleet(270), {}, {}, 1.0)
    assert set(assigned.values()) == {LOCAL}


@pytest.mark.parametrize("cores", [0.12, 0.5, 1.07, 2.15])
@pytest.mark.parametrize("agent_count", [1, 6, 40])
def test_calls_to_agents_take_a_bounded_share_of_the_processor(
    cores: float, agent_count: int
) -> None:
    calls_per_s = (
        2 * agent_count * 1_000 / call_interval_ms(agent_count, cores)
    )
    assert calls_per_s * 0.0005 <= MAX_CALL_PROCESSOR_SHARE * cores + 1e-9


# All workers went to the instance that answered its probe first, and stayed.
def test_workers_without_room_wait_while_more_agents_are_expected() -> None:
    first = agents(1)
    only = {"a-0": first["a-0"]}
    part = assign_workers(fleet(270), only, {}, 1.0, is_complete=False)
    assert set(part.values()) == {"a-0"}
    assert len(part) == DELEGATED_WORKERS_PER_CORE
    assert len(assign_workers(fleet(270), only, part, 1.0)) == 270


def test_no_worker_goes_to_the_leader_while_agents_are_expected() -> None:
    assert assign_workers(fleet(270), {}, {}, 1.0, is_complete=False) == {}
    small = assign_workers(fleet(25), {}, {}, 1.0, is_complete=False)
    assert set(small.values()) == {LOCAL}


def test_agents_that_are_only_kept_get_no_more_workers() -> None:
    first = assign_workers(fleet(100), agents(1), {}, 1.0)
    others = agents(1)
    kept = dict(others)
    del others["a-0"]
    before = {w: a for w, a in first.items() if w != "a000"}
    second = assign_workers(fleet(100), others, before, 1.0, kept)
    assert second["a000"] != "a-0"
    assert {w: second[w] for w in before} == before
