from __future__ import annotations

from magnoliapitch.ownership.fence import CONFIRMATION_MAX_AGE_MS
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


SECOND_OWNER = OwnerClaim("b", 2)


def worker_view(
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


def fence_with_claim_lease(
    owner: OwnerClaim, now_ms: int = 100
) -> tuple[WorkerFence, LeaseGrant]:
    fence = WorkerFence(owner).observe(worker_view(now_ms), 0)
    fence, grant = fence.start_claim_lease()
    return fence.observe(worker_view(now_ms, grant), 0), grant


def test_fence_waits_a_ttl_from_the_first_view_with_its_claim_lease() -> None:
    fence, grant = fence_with_claim_lease(SECOND_OWNER)
    assert fence.phase is FencePhase.SETTLING
    renewed = grant._replace(expires_at_ms=10 * TTL_MS)
    assert not fence.observe(worker_view(99 + TTL_MS, renewed), 0).is_open
    fence = fence.observe(worker_view(100 + TTL_MS, renewed), 0)
    assert fence.is_open


def test_fence_starts_over_when_its_claim_lease_expired() -> None:
    fence, grant = fence_with_claim_lease(SECOND_OWNER)
    renewed = grant._replace(expires_at_ms=10 * TTL_MS)
    fence = fence.observe(worker_view(100 + TTL_MS, renewed), 0)
    fence = fence.observe(worker_view(200 + TTL_MS), 0)
    assert fence.phase is FencePhase.UNCLAIMED
    fence, second_grant = fence.start_claim_lease()
    assert second_grant.lease_id != grant.lease_id
    fence = fence.observe(worker_view(200 + TTL_MS, second_grant), 0)
    assert fence.phase is FencePhase.SETTLING


def test_fence_bounds_grants_by_its_claim_lease_and_its_view() -> None:
    fence, grant = fence_with_claim_lease(OwnerClaim("a", 1))
    assert fence.grant_expiry_ms() == 100 + TTL_MS
    fence = fence.observe(worker_view(5_000, grant), 0)
    assert fence.grant_expiry_ms() == grant.expires_at_ms
    renewed = grant._replace(expires_at_ms=10 * TTL_MS)
    fence = fence.observe(worker_view(6_000, renewed), 0)
    assert fence.grant_expiry_ms() == 6_000 + TTL_MS


def test_fence_yields_to_any_lease_of_a_higher_epoch() -> None:
    fence, grant = fence_with_claim_lease(OwnerClaim("a", 1))
    other = LeaseGrant("job/0/0", 2, 50_000)
    assert (
        fence.observe(worker_view(200, grant, other), 0).phase
        is FencePhase.YIELDED
    )


def test_fence_skips_the_wait_if_no_grant_can_be_in_flight() -> None:
    assert fence_with_claim_lease(OwnerClaim("a", 1))[0].is_open
    released = OwnerClaim("c", 3, after_release=True)
    earlier_claim_lease = LeaseGrant("claim:2:b:1", 2, 9_000, LeaseKind.CLAIM)
    fence = WorkerFence(released).observe(
        worker_view(100, earlier_claim_lease), 0
    )
    fence, grant = fence.start_claim_lease()
    assert fence.observe(
        worker_view(100, earlier_claim_lease, grant), 0
    ).is_open
    assert not fence.observe(worker_view(100, grant), 0).is_open


def test_fence_starts_a_claim_lease_only_soon_after_a_log_read() -> None:
    fence = WorkerFence(SECOND_OWNER).observe(
        worker_view(1), CONFIRMATION_MAX_AGE_MS
    )
    assert not fence.may_start_claim_lease(None)
    assert not fence.may_start_claim_lease(0)
    assert fence.may_start_claim_lease(1)


def test_fence_resets_on_a_worker_restart_and_ignores_older_views() -> None:
    fence, _ = fence_with_claim_lease(OwnerClaim("a", 1))
    assert fence.observe(worker_view(50), 9) is fence
    fence = fence.observe(worker_view(3, boot_id="boot-2"), 0)
    assert fence.phase is FencePhase.UNCLAIMED
    assert fence.start_claim_lease()[1].boot_id == "boot-2"


def test_fence_allows_for_clock_drift_before_an_expiry_counts() -> None:
    fence = WorkerFence(SECOND_OWNER).observe(worker_view(1_000), 7_000)
    assert not fence.has_worker_clock_passed(11_000, 17_000)
    assert fence.has_worker_clock_passed(11_000, 17_011)
