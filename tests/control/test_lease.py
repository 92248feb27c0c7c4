from __future__ import annotations

import pytest

from magnoliapitch.control.lease import WorkerLease
from magnoliapitch.control.timing import ControlTiming


TIMING = ControlTiming(lease_ms=6_000)
SLOWEST_CLOCK = 0.98


def test_a_lease_is_over_only_after_it_has_expired_on_the_slowest_clock() -> (
    None
):
    lease = WorkerLease(TIMING, inherited_leases_end_ms=0)
    lease.record_clock(50_000, sent_ms=100, received_ms=130)
    deadline_ms = lease.next_deadline(now_ms=1_000)
    inherited_leases_end_ms = lease.all_leases_expired_at_ms()
    slowest_ms = 50_000 + (inherited_leases_end_ms - 130) * SLOWEST_CLOCK
    assert slowest_ms >= deadline_ms


def test_the_longest_lease_counts() -> None:
    lease = WorkerLease(TIMING, inherited_leases_end_ms=0)
    lease.record_clock(0, sent_ms=0, received_ms=0)
    lease.next_deadline(now_ms=2_000)
    inherited_leases_end_ms = lease.all_leases_expired_at_ms()
    lease.next_deadline(now_ms=500)
    assert lease.all_leases_expired_at_ms() == inherited_leases_end_ms


def test_leases_of_a_former_leader_count_until_the_worker_answers() -> None:
    lease = WorkerLease(TIMING, inherited_leases_end_ms=9_000)
    assert lease.all_leases_expired_at_ms() == 9_000


def test_an_answer_that_was_overtaken_changes_nothing() -> None:
    lease = WorkerLease(TIMING, inherited_leases_end_ms=0)
    lease.record_clock(2_000, sent_ms=2_000, received_ms=2_010)
    lease.record_clock(1_000, sent_ms=1_000, received_ms=2_020)
    assert lease.next_deadline(now_ms=2_010) == 2_000 + TIMING.lease_ms


def test_no_lease_without_the_worker_s_clock() -> None:
    with pytest.raises(ValueError, match="clock"):
        WorkerLease(TIMING, inherited_leases_end_ms=0).next_deadline(now_ms=0)


def test_takeover_covers_silence_and_the_slowest_lease() -> None:
    longest_ms = TIMING.max_leader_silence_ms + TIMING.lease_ms / SLOWEST_CLOCK
    assert TIMING.takeover_ms > longest_ms
