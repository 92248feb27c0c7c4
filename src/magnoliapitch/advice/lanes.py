"""Distributes calls to the advisor over the instances."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Result

from magnoliapitch.advice.service import PeerAdvisor
from magnoliapitch.event import log_event


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.clock import Clock
    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.planner.plan import PlannedPermitRequest
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.client import Advisor
    from magnoliapitch.workload.run import Permit


# Longer calls are left to other instances while there are any, so that
# short ones never wait behind them.
SHORT_CALL_MS = 40.0
# A lane that failed is tried again after this time.
REST_MS = 2_000


class Lane:
    """One instance that asks, one call at a time."""

    def __init__(self, name: str, advisor: Advisor) -> None:
        self.name = name
        self.advisor = advisor
        self.is_busy = False
        self.rests_until_ms = 0


class LanePool:
    """Chooses an idle lane for each call; safe to share.

    :param own: the advisor as this instance calls it.
    """

    def __init__(self, own: Advisor, client: HttpClient, clock: Clock) -> None:
        self._own = Lane("own", own)
        self._client = client
        self._clock = clock
        self._lock = threading.Lock()
        self._peer_lanes_by_address: dict[str, Lane] = {}

    def set_peers(self, addresses_by_id: Mapping[str, str]) -> None:
        """Use these instances, and no others, besides this one."""
        with self._lock:
            wanted = set(addresses_by_id.values())
            for address in wanted - set(self._peer_lanes_by_address):
                advisor = PeerAdvisor(address, self._client)
                self._peer_lanes_by_address[address] = Lane(address, advisor)
            for address in set(self._peer_lanes_by_address) - wanted:
                del self._peer_lanes_by_address[address]

    def reserve(self, ask: PlannedPermitRequest) -> Lane | None:
        """Return an idle lane for a call, busy from now on, or None."""
        now_ms = self._clock.now_ms()
        with self._lock:
            for lane in self._preferred(ask, now_ms):
                if not lane.is_busy:
                    lane.is_busy = True
                    return lane
        return None

    def idle(self) -> int:
        """Return the number of lanes that could be reserved now."""
        now_ms = self._clock.now_ms()
        with self._lock:
            lanes = [self._own, *self._peer_lanes_by_address.values()]
            return sum(
                not lane.is_busy and now_ms >= lane.rests_until_ms
                for lane in lanes
            )

    def call(
        self, lane: Lane, ask: PlannedPermitRequest, timeout_ms: int
    ) -> Result[tuple[Permit, ...], Failure]:
        """Ask through a reserved lane, and free it."""
        outcome = lane.advisor.permits(ask.step, ask.worker_ids, timeout_ms)
        with self._lock:
            lane.is_busy = False
            if isinstance(outcome, Err) and lane is not self._own:
                lane.rests_until_ms = self._clock.now_ms() + REST_MS
                reason = outcome.err_value.detail
                log_event("advice-lane-rests", lane=lane.name, reason=reason)
        return outcome

    def _preferred(self, ask: PlannedPermitRequest, now_ms: int) -> list[Lane]:
        peers = [
            lane
            for lane in self._peer_lanes_by_address.values()
            if now_ms >= lane.rests_until_ms
        ]
        if ask.expected_call_ms <= SHORT_CALL_MS:
            return [self._own, *peers]
        return peers or [self._own]
