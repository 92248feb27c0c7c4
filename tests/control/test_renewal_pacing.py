from __future__ import annotations

from magnoliapitch.control.renewal_pacing import RenewalPacing


def pacing_with_lease() -> RenewalPacing:
    pacing = RenewalPacing()
    pacing.record_answered(lease_granted=False)
    pacing.record_answered(lease_granted=True)
    return pacing


def test_the_first_renewal_does_not_wait_and_a_lease_follows_soon() -> None:
    pacing = RenewalPacing()
    assert pacing.next_renewal(0).wait_ms == 0
    assert pacing.record_answered(lease_granted=False) <= 20
    assert pacing.next_renewal(0).wait_ms > 0


def test_an_end_is_known_within_600_ms_after_a_lost_answer() -> None:
    pacing = pacing_with_lease()
    pause_ms = pacing.record_unanswered(1_000)
    assert pause_ms <= 20
    assert pacing.next_renewal(1_020).wait_ms == 0
    pacing.record_answered(lease_granted=False)
    timing = pacing.next_renewal(1_050)
    assert timing.wait_ms + timing.timeout_ms + pause_ms <= 600


def test_renewals_without_recent_losses_wait_for_long() -> None:
    pacing = pacing_with_lease()
    undisturbed = pacing.next_renewal(0)
    pacing.record_unanswered(0)
    pacing.record_answered(lease_granted=True)
    assert pacing.next_renewal(5_000).wait_ms < undisturbed.wait_ms
    assert pacing.next_renewal(60_000) == undisturbed


def test_an_unreachable_worker_is_called_with_pauses() -> None:
    pacing = pacing_with_lease()
    pauses_ms = [pacing.record_unanswered(number * 500) for number in range(5)]
    assert min(pauses_ms[1:]) >= 300


def test_a_worker_without_lease_is_called_with_pauses() -> None:
    pacing = pacing_with_lease()
    pauses_ms = [pacing.record_answered(lease_granted=False) for _ in range(5)]
    assert min(pauses_ms[1:]) >= 300
