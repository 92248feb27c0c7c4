from __future__ import annotations

import pytest

from magnoliapitch.control.lease import WorkerLease
from magnoliapitch.control.timing import MAX_LEASE_MS
from magnoliapitch.control.timing import ControlTiming


TIMING = ControlTiming(lease_ms=6_000)
SLOWEST_CLOCK_RATE_RATIO = 0.98


def test_a_lease_counts_as_expired_once_it_is_on_the_slowest_clock() -> None:
    lease = WorkerLease(TIMING, inherited_leases_end_ms=0)
    lease.record_clock(50_000, sent_ms=100, received_ms=130)
    deadline_ms = lease.next_deadline(begin_ms=1_000)
    expired_at_ms = lease.all_leases_expired_at_ms()
    slowest_ms = 50_000 + (expired_at_ms - 130) * SLOWEST_CLOCK_RATE_RATIO
    assert slowest_ms >= deadline_ms


def test_the_lease_that_ends_last_counts() -> None:
    lease = WorkerLease(TIMING, inherited_leases_end_ms=0)
    lease.record_clock(0, sent_ms=0, received_ms=0)
    lease.next_deadline(begin_ms=2_000)
    expired_at_ms = lease.all_leases_expired_at_ms()
    lease.next_deadline(begin_ms=500)
    assert lease.all_leases_expired_at_ms() == expired_at_ms


def test_inherited_leases_count_until_the_worker_answers() -> None:
    lease = WorkerLease(TIMING, inherited_leases_end_ms=9_000)
    assert lease.all_leases_expired_at_ms() == 9_000


def test_an_answer_to_an_earlier_call_is_ignored() -> None:
    lease = WorkerLease(TIMING, inherited_leases_end_ms=0)
    lease.record_clock(2_000, sent_ms=2_000, received_ms=2_010)
    lease.record_clock(1_000, sent_ms=1_000, received_ms=2_020)
    assert lease.next_deadline(begin_ms=2_010) == 2_000 + TIMING.lease_ms


def test_no_lease_is_granted_without_the_worker_s_clock() -> None:
    with pytest.raises(ValueError, match="clock"):
        WorkerLease(TIMING, inherited_leases_end_ms=0).next_deadline(
            begin_ms=0
        )


def test_takeover_time_covers_the_latest_and_slowest_lease() -> None:
    longest_ms = TIMING.lease_ms / SLOWEST_CLOCK_RATE_RATIO
    assert TIMING.takeover_ms > longest_ms


# Incident LOST: one leader was lost with a worker, and the wait for the leases
# alone was longer than a task that lasts may be away. The rule counts 7 s from
# the last disturbance on, and workers lost for good are replaced 4.5 s after
# that. 1.5 s are left for a leader that starts anew to read, store and start.
def test_takeover_with_the_longest_lease_leaves_time_to_start_again() -> None:
    longest_away_ms = 7_000 + 4_500
    assert ControlTiming(MAX_LEASE_MS).takeover_ms <= longest_away_ms - 1_500


# A call meant for the former incarnation has a deadline by a clock that has
# begun anew since, so the worker cuts it to the longest lease that it grants,
# which is longer than the leader's. Two runs at a time could follow.
def test_restart_time_covers_the_longest_lease_that_a_worker_grants() -> None:
    worker_longest_ms = 10_000
    timing = ControlTiming(min(worker_longest_ms, MAX_LEASE_MS))
    latest_ms = timing.max_leader_silence_ms + worker_longest_ms
    assert timing.restart_ms > latest_ms / SLOWEST_CLOCK_RATE_RATIO
