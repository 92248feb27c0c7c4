"""Times and tolerances that keep leases safe."""

from __future__ import annotations

from typing import NamedTuple


# Rate of the slowest worker clock that is tolerated, relative to the clock of
# this instance.
MIN_CLOCK_RATE_RATIO = 0.98
# The tasks of a lost worker wait for a whole lease; one that is only cut off
# goes on as long.
MAX_LEASE_MS = 9_500
# Covers timers that fire late, and rounding to whole milliseconds.
LEASE_EXPIRY_MARGIN_MS = 300


class ControlTiming(NamedTuple):
    """Times of one deployment, in milliseconds.

    :param longest_lease_ms: longest lease that a worker grants.
    :param leaving_lease_ms: length of the lease of a worker that has said that
        it leaves.
    :param max_leader_silence_ms: how long after its last stored record a
        leader may issue leases and orders.
    :param keep_states_ms: how long the state of an ended job stays published.
    :param drain_notice_ms: how long a worker that has said that it leaves may
        still be sent starts.
    :param cancel_notice_ms: how long after a job's cancellation was stored its
        tasks may still be started.
    """

    longest_lease_ms: int
    leaving_lease_ms: int = 5_000
    max_leader_silence_ms: int = 2_500
    keep_states_ms: int = 130_000
    drain_notice_ms: int = 2_000
    cancel_notice_ms: int = 3_000

    @property
    def lease_ms(self) -> int:
        """Return the length of a worker's lease."""
        return min(self.longest_lease_ms, MAX_LEASE_MS)

    @property
    def takeover_ms(self) -> int:
        """Return how long leases of a replaced leader may last.

        It is counted from the leader's last stored reading of the shared
        clock, with which every lease begins at the latest.
        """
        return _longest_ms(self.lease_ms)

    @property
    def restart_ms(self) -> int:
        """Return how long calls meant for a former incarnation may matter.

        They may be carried out late on the next one. Their deadlines are by a
        clock that has begun anew, so that only the worker limits the lease.
        """
        return _longest_ms(self.max_leader_silence_ms + self.longest_lease_ms)

    @property
    def worker_list_validity_ms(self) -> int:
        """Return how long after the list of workers was read a run may begin.

        The worker measures it, maybe on the slowest clock.
        """
        return _shortest_ms(self.drain_notice_ms)

    @property
    def job_validity_ms(self) -> int:
        """Return how long after the jobs were read a run may begin."""
        return _shortest_ms(self.cancel_notice_ms)


def _longest_ms(duration_ms: int) -> int:
    """Return when a duration has certainly passed on any clock."""
    return int(duration_ms / MIN_CLOCK_RATE_RATIO) + LEASE_EXPIRY_MARGIN_MS


def _shortest_ms(duration_ms: int) -> int:
    """Return what of a duration has certainly not passed on any clock."""
    return int(duration_ms * MIN_CLOCK_RATE_RATIO) - LEASE_EXPIRY_MARGIN_MS
