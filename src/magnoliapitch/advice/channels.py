"""Distribution of advisor calls over the instances.

The advisor takes one call at a time from each instance, so an instance that
needs several calls at once relays some of them through its peers.
"""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Result

from magnoliapitch.advice.channel import AdvisorChannel
from magnoliapitch.advice.channel import PeerChannel
from magnoliapitch.advice.peer_health import UNKNOWN_HEALTH
from magnoliapitch.advice.service import PeerAdvisor
from magnoliapitch.control.guard import guarded
from magnoliapitch.event import log_event
from magnoliapitch.planner.permit_calls import is_long_call
from magnoliapitch.planner.plan import IdleCalls
from magnoliapitch.verdict import FailureCode


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.advice.peer_health import PeerHealth
    from magnoliapitch.clock import Clock
    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.planner.plan import PlannedPermitRequest
    from magnoliapitch.verdict import Failure
    from magnoliapitch.workload.client import Advisor
    from magnoliapitch.workload.run import Permit


# With fewer peers, the instance's own channel would be too large a part of all
# channels to be kept for short calls.
MIN_PEERS_FOR_LONG_CALLS = 4
# An instance answers a probe within milliseconds, unless it is gone.
PROBE_TIMEOUT_MS = 500


class AdvisorChannelPool:
    """Chooses an idle channel for each advisor call; thread-safe.

    Long calls go through other instances while enough of them can be used,
    so that short calls of this instance never wait behind them.

    :param local_advisor: client with which this instance itself calls the
        advisor.
    """

    def __init__(
        self, local_advisor: Advisor, client: HttpClient, clock: Clock
    ) -> None:
        self._local_channel = AdvisorChannel("own", local_advisor)
        self._client = client
        self._clock = clock
        self._lock = threading.Lock()
        self._peer_channels_by_address: dict[str, PeerChannel] = {}

    def set_peers(self, peer_addresses: Iterable[str]) -> None:
        """Replace the peers through which the advisor can be called.

        New ones are used once they have answered a probe.

        :param peer_addresses: ``IP:PORT`` of each peer.
        """
        addresses = set(peer_addresses)
        now_ms = self._clock.now_ms()
        with self._lock:
            for address in sorted(
                addresses - self._peer_channels_by_address.keys()
            ):
                peer = PeerAdvisor(address, self._client)
                self._peer_channels_by_address[address] = PeerChannel(
                    address, peer, now_ms
                )
            for address in self._peer_channels_by_address.keys() - addresses:
                del self._peer_channels_by_address[address]

    def reserve(self, request: PlannedPermitRequest) -> AdvisorChannel | None:
        """Reserve an idle channel for a call.

        :return: the channel, marked as busy, or None if none is idle.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            for channel in self._usable_channels(request, now_ms):
                if not channel.is_busy:
                    channel.is_busy = True
                    return channel
        return None

    def idle_calls(self) -> IdleCalls:
        """Return how many channels can be reserved now."""
        now_ms = self._clock.now_ms()
        with self._lock:
            return IdleCalls(
                _idle_count(self._short_call_channels(now_ms)),
                _idle_count(self._long_call_channels(now_ms)),
            )

    def call(
        self,
        channel: AdvisorChannel,
        request: PlannedPermitRequest,
        timeout_ms: int,
    ) -> Result[tuple[Permit, ...], Failure]:
        """Request permits through a reserved channel, then release it.

        After a failure, the channel of a peer is not used for some time, nor
        before the peer has answered a probe. After a call without an answer,
        nor are those that have not answered since it was sent.

        :param timeout_ms: how long the call may take.
        """
        sent_ms = self._clock.now_ms()
        outcome = guarded(
            "advice",
            lambda: channel.advisor.permits(
                request.step, request.worker_ids, timeout_ms
            ),
        )
        with self._lock:
            channel.is_busy = False
            if isinstance(channel, PeerChannel):
                now_ms = self._clock.now_ms()
                channel.record_call(now_ms, is_ok=outcome.is_ok())
                if _is_unanswered(outcome):
                    self._doubt_others(channel, sent_ms, now_ms)
        if isinstance(outcome, Err) and channel is not self._local_channel:
            reason = outcome.err_value.detail
            log_event("advice-lane-rests", lane=channel.name, reason=reason)
        return outcome

    def _doubt_others(
        self, failed: PeerChannel, since_ms: int, now_ms: int
    ) -> None:
        for channel in self._peer_channels_by_address.values():
            if channel is not failed:
                channel.doubt(since_ms, now_ms)

    def health_of(self, address: str) -> PeerHealth:
        """Return whether the peer with an address answers.

        :param address: ``IP:PORT`` of the peer.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            channel = self._peer_channels_by_address.get(address)
            return (
                UNKNOWN_HEALTH if channel is None else channel.health(now_ms)
            )

    def doubt_answers(self, since_ms: int) -> None:
        """Have peers probed that have not answered since a time."""
        now_ms = self._clock.now_ms()
        with self._lock:
            for channel in self._peer_channels_by_address.values():
                channel.doubt(since_ms, now_ms)

    def due_probes(self) -> list[PeerChannel]:
        """Return the channels to probe now, each marked as being probed."""
        now_ms = self._clock.now_ms()
        with self._lock:
            channels = [
                channel
                for channel in self._peer_channels_by_address.values()
                if channel.is_probe_due(now_ms)
            ]
            for channel in channels:
                channel.is_probed = True
        return channels

    def probe(self, channel: PeerChannel) -> None:
        """Probe the peer of a channel that ``due_probes`` returned."""
        outcome = guarded(
            "advice-probe", lambda: channel.peer.probe(PROBE_TIMEOUT_MS)
        )
        with self._lock:
            channel.is_probed = False
            has_begun_to_answer = channel.record_probe(
                self._clock.now_ms(), is_ok=outcome.is_ok()
            )
        if has_begun_to_answer:
            log_event("advice-lane-answers", lane=channel.name)

    def _usable_channels(
        self, request: PlannedPermitRequest, now_ms: int
    ) -> list[AdvisorChannel]:
        if is_long_call(request.expected_call_ms):
            return self._long_call_channels(now_ms)
        return self._short_call_channels(now_ms)

    def _short_call_channels(self, now_ms: int) -> list[AdvisorChannel]:
        return [self._local_channel, *self._usable_peers(now_ms)]

    def _long_call_channels(self, now_ms: int) -> list[AdvisorChannel]:
        peers = self._usable_peers(now_ms)
        if len(peers) >= MIN_PEERS_FOR_LONG_CALLS:
            return peers
        return [*peers, self._local_channel]

    def _usable_peers(self, now_ms: int) -> list[AdvisorChannel]:
        return [
            channel
            for channel in self._peer_channels_by_address.values()
            if channel.is_usable(now_ms)
        ]


def _is_unanswered(outcome: Result[object, Failure]) -> bool:
    """Return whether a peer to which a call was sent did not answer it."""
    return (
        isinstance(outcome, Err)
        and outcome.err_value.code is FailureCode.TIMEOUT
    )


def _idle_count(channels: Iterable[AdvisorChannel]) -> int:
    return sum(not channel.is_busy for channel in channels)
