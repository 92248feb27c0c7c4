from __future__ import annotations

import socket

from typing import TYPE_CHECKING

from magnoliapitch.clock import MonotonicClock
from magnoliapitch.journal import Journal
from magnoliapitch.journal import decode_record
from magnoliapitch.journal.record import MemberJoin
from magnoliapitch.journal.record import MemberLeave
from magnoliapitch.membership import Identity
from magnoliapitch.membership import Membership
from magnoliapitch.membership.instance import InstanceState
from magnoliapitch.membership.presence import GONE_AFTER_MS
from magnoliapitch.membership.topology import MAX_REMOTE_LINKS
from magnoliapitch.membership.topology import linked_members
from magnoliapitch.peer.message import Heartbeat
from magnoliapitch.peer.node import PeerNode
from magnoliapitch.standin import StandinLog
from magnoliapitch.standin.peer import StandinLink


if TYPE_CHECKING:
    import pytest

    from tests.membership.conftest import Group


class HeartbeatHandler(Membership):
    def heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        return self.handle_heartbeat(heartbeat)


def join_records(zones: int, per_zone: int) -> list[MemberJoin]:
    return [
        MemberJoin(f"{zone}-{n}", f"{zone}-{n}", f"z{zone:02}", f"{zone}:{n}")
        for zone in range(zones)
        for n in range(per_zone)
    ]


def test_links_of_an_instance_do_not_grow_with_the_zones() -> None:
    for zones in (4, 22):
        members = join_records(zones, 7)
        for own in members:
            others = [item for item in members if item != own]
            linked = linked_members(own, others, ())
            assert len(linked) == 6 + MAX_REMOTE_LINKS


def test_links_connect_all_zones_and_avoid_failing_members() -> None:
    members = join_records(22, 1)
    links = {
        own.zone: {item.zone for item in linked_members(own, members, ())}
        for own in members
    }
    reached = {"z00"}
    while newly_reached := {b for a in reached for b in links[a]} - reached:
        reached |= newly_reached
    assert len(reached) == 22
    pair = join_records(2, 2)
    (first,) = linked_members(pair[0], pair[2:], ())
    (second,) = linked_members(pair[0], pair[2:], {first.incarnation})
    assert first != second


def test_member_passes_through_its_states(group: Group) -> None:
    group.add("a")
    group.add("b")
    group.cut("a", "b")
    group.cut("b", "a")
    group.run(1_000)
    assert group.states("b") == {"a": "joining"}
    group.network.blocked_links.clear()
    group.run(3_000)
    assert group.states("a") == {"b": "live"}
    group.cores["b"].drain()
    group.run(2_000)
    assert group.states("a") == {"b": "leaving"}
    group.paused.add("b")
    group.network.handlers_by_address.pop("b:1")
    group.run(4_000)
    assert group.states("a") == {"b": "suspect"}
    group.cores["b"].leave()
    group.run(1_000)
    assert group.states("a") == {}


def test_member_that_the_platform_lists_as_leaving_is_leaving(
    group: Group,
) -> None:
    group.add("a")
    group.add("b")
    group.run(3_000)
    group.list_entry("b", InstanceState.LEAVING)
    group.run(1_000)
    assert group.states("a") == {"b": "leaving"}


def test_one_way_cut_makes_both_sides_suspect(group: Group) -> None:
    for name in ("a", "b", "c"):
        group.add(name)
    group.run(5_000)
    group.cut("a", "b")
    group.run(6_000)
    assert group.states("a") == {"b": "suspect", "c": "live"}
    assert group.states("b") == {"a": "suspect", "c": "live"}
    group.network.blocked_links.clear()
    group.run(4_000)
    assert group.states("a") == {"b": "live", "c": "live"}


def test_restarted_instance_replaces_its_paused_predecessor(
    group: Group,
) -> None:
    group.add("a")
    old = group.add("b")
    superseded: list[str] = []
    old.on_superseded = lambda: superseded.append("b")
    group.run(3_000)
    group.kill("b")
    group.add("b")
    group.run(3_000)
    assert group.states("a") == {"b": "live"}
    group.cores["old"] = old
    group.run(2_000)
    assert old.membership.is_superseded()
    assert superseded == ["b"]
    assert not old.is_ready()
    assert old.refusal() is not None


def test_silent_member_is_removed_once_and_finds_itself_superseded(
    group: Group,
) -> None:
    for name in ("a", "b", "c"):
        group.add(name)
        group.list_entry(name)
    group.run(3_000)
    removed = group.kill("c")
    group.run(2 * GONE_AFTER_MS)
    assert set(group.states("a")) == {"b", "c"}
    del group.instances.by_id["c"]
    group.run(GONE_AFTER_MS - 5_000)
    assert set(group.states("a")) == {"b", "c"}
    group.run(30_000)
    assert set(group.states("a")) == {"b"}
    leaves = [
        entry
        for record in group.log.read(0, 10_000).unwrap().records
        for entry in decode_record(record.data).entries
        if isinstance(entry, MemberLeave)
    ]
    assert leaves == [MemberLeave(removed.identity.incarnation)]
    group.cores["c"] = removed
    group.run(2_000)
    assert removed.membership.is_superseded()


def test_member_is_not_removed_unless_the_platform_omits_it(
    group: Group,
) -> None:
    for name in ("a", "b", "c"):
        group.add(name)
    group.cut("a", "b")
    group.cut("b", "a")
    group.cut("a", "c")
    group.cut("c", "a")
    group.run(2 * GONE_AFTER_MS)
    assert group.states("a") == {"b": "joining", "c": "joining"}
    group.kill("c")
    group.run(2 * GONE_AFTER_MS)
    assert group.states("b") == {"a": "joining", "c": "suspect"}
    group.list_entry("a")
    group.run(GONE_AFTER_MS // 2)
    group.instances.down = True
    group.run(2 * GONE_AFTER_MS)
    assert group.states("b") == {"a": "joining", "c": "suspect"}


def test_applied_everywhere_names_slow_and_unknown_instances(
    group: Group,
) -> None:
    for number, zone in enumerate(("norte", "norte", "sur", "oeste")):
        group.add("abcd"[number], zone)
    group.run(10_000)
    everywhere = group.cores["a"].applied_everywhere()
    assert everywhere.unknown == ()
    offset = group.put_catalogue_entry("x")
    group.run(6_000)
    assert group.cores["a"].applied_everywhere().covers(offset)
    slow_journal = group.cores["d"].journal
    slow_journal.apply = lambda records: None  # type: ignore[method-assign]
    offset = group.put_catalogue_entry("y")
    group.run(6_000)
    everywhere = group.cores["a"].applied_everywhere()
    assert not everywhere.covers(offset)
    assert everywhere.slowest == ("d",)
    group.kill("b")
    group.run(6_000)
    assert group.cores["a"].applied_everywhere().unknown == ("b",)


def test_cost_of_heartbeats_does_not_grow_with_the_zones(
    group: Group, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent = {"a-0": 0}
    original = StandinLink.heartbeat

    def count(
        link: StandinLink, address: str, heartbeat: Heartbeat, timeout_ms: int
    ) -> object:
        sent[heartbeat.instance_id] = sent.get(heartbeat.instance_id, 0) + 1
        return original(link, address, heartbeat, timeout_ms)

    monkeypatch.setattr(StandinLink, "heartbeat", count)
    counts = []
    for zones in ("abcd", "efghijkl"):
        for zone in zones:
            group.add(f"{zone}-0", zone)
        group.run(20_000)
        sent["a-0"] = 0
        group.run(10_000)
        counts.append(sent["a-0"])
        assert set(group.states("a-0").values()) == {"live"}
    assert counts == [15, 15]


def test_silent_peer_does_not_delay_the_others() -> None:
    node, peer = PeerNode(("127.0.0.1", 0)), PeerNode(("127.0.0.1", 0))
    clock = MonotonicClock()
    identity = Identity.create("b", "norte", "")
    journal = Journal(StandinLog(), "b", clock)
    handler = HeartbeatHandler(identity, journal, clock)
    node.handler = peer.handler = handler  # type: ignore[assignment]
    node.start()
    peer.start()
    answered: list[str] = []
    with socket.create_server(("127.0.0.1", 0)) as silent:
        addresses = [f"127.0.0.1:{silent.getsockname()[1]}"]
        addresses += [f"127.0.0.1:{peer.port}", "not an address"]
        heartbeats = dict.fromkeys(
            addresses, Heartbeat("a", "a", "norte", 0, 0)
        )
        node.heartbeat_all(
            heartbeats, 500, lambda at, heartbeat: answered.append(at)
        )
    node.stop()
    peer.stop()
    assert answered == [addresses[1]]
