from __future__ import annotations

from magnoliapitch.ownership.fence import CONFIRM_WINDOW_MS
from magnoliapitch.ownership.fence import FencePhase
from magnoliapitch.ownership.fence import OwnerClaim
from magnoliapitch.ownership.fence import WorkerFence
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.worker.lease import LEASE_TTL_MAX_MS as TTL_MS
from magnoliapitch.worker.lease import LeaseGrant
from magnoliapitch.worker.lease import LeaseKind
from magnoliapitch.worker.lease import LeaseState
from magnoliapitch.worker.lease import LeaseView
from magnoliapitch.worker.lease import WorkerView


SECOND = OwnerClaim("b", 2)


def view(
    now_ms: int, *grants: LeaseGrant, boot_id: str = "boot-1"
) -> WorkerView:
    leases = tuple(
        LeaseView(
            grant.lease_id,
            grant.epoch,
            grant.expires_at_ms,
            grant.kind,
            NO_RESOURCES,
            LeaseState.RUNNING,
        )
        for grant in grants
    )
    return WorkerView("w", boot_id, now_ms, leases)


def claimed(
    owner: OwnerClaim, now_ms: int = 100
) -> tuple[WorkerFence, LeaseGrant]:
    fence = WorkerFence(owner).observe(view(now_ms), 0)
    fence, grant = fence.place_claim()
    return fence.observe(view(now_ms, grant), 0), grant


def test_fence_waits_a_ttl_from_the_first_sight_of_its_claim() -> None:
    fence, grant = claimed(SECOND)
    assert fence.phase is FencePhase.SETTLING
    later = grant._replace(expires_at_ms=10 * TTL_MS)
    assert not fence.observe(view(99 + TTL_MS, later), 0).is_open
    fence = fence.observe(view(100 + TTL_MS, later), 0)
    assert fence.is_open


def test_fence_starts_again_when_its_claim_lapsed() -> None:
    fence, grant = claimed(SECOND)
    later = grant._replace(expires_at_ms=10 * TTL_MS)
    fence = fence.observe(view(100 + TTL_MS, later), 0)
    fence = fence.observe(view(200 + TTL_MS), 0)
    assert fence.phase is FencePhase.UNCLAIMED
    fence, again = fence.place_claim()
    assert again.lease_id != grant.lease_id
    fence = fence.observe(view(200 + TTL_MS, again), 0)
    assert fence.phase is FencePhase.SETTLING


def test_fence_grants_no_longer_than_its_claim_and_its_view() -> None:
    fence, grant = claimed(OwnerClaim("a", 1))
    assert fence.grant_ms() == 100 + TTL_MS
    fence = fence.observe(view(5_000, grant), 0)
    assert fence.grant_ms() == grant.expires_at_ms
    longer = grant._replace(expires_at_ms=10 * TTL_MS)
    fence = fence.observe(view(6_000, longer), 0)
    assert fence.grant_ms() == 6_000 + TTL_MS


def test_fence_yields_to_any_lease_of_a_higher_epoch() -> None:
    fence, grant = claimed(OwnerClaim("a", 1))
    other = LeaseGrant("job/0/0", 2, 50_000)
    assert (
        fence.observe(view(200, grant, other), 0).phase is FencePhase.YIELDED
    )


def test_fence_skips_the_wait_where_nothing_can_be_in_flight() -> None:
    assert claimed(OwnerClaim("a", 1))[0].is_open
    released = OwnerClaim("c", 3, after_release=True)
    mark = LeaseGrant("claim:2:b:1", 2, 9_000, LeaseKind.CLAIM)
    fence = WorkerFence(released).observe(view(100, mark), 0)
    fence, grant = fence.place_claim()
    assert fence.observe(view(100, mark, grant), 0).is_open
    assert not fence.observe(view(100, grant), 0).is_open


def test_fence_places_a_claim_only_soon_after_a_read_of_the_log() -> None:
    fence = WorkerFence(SECOND).observe(view(1), CONFIRM_WINDOW_MS)
    assert not fence.may_place_claim(None)
    assert not fence.may_place_claim(0)
    assert fence.may_place_claim(1)


def test_fence_forgets_a_boot_and_ignores_an_older_view() -> None:
    fence, _ = claimed(OwnerClaim("a", 1))
    assert fence.observe(view(50), 9) is fence
    fence = fence.observe(view(3, boot_id="boot-2"), 0)
    assert fence.phase is FencePhase.UNCLAIMED
    assert fence.place_claim()[1].boot_id == "boot-2"


def test_fence_counts_an_expiry_as_passed_only_beyond_the_drift() -> None:
    fence = WorkerFence(SECOND).observe(view(1_000), 7_000)
    assert not fence.surely_reached(11_000, 17_000)
    assert fence.surely_reached(11_000, 17_011)
