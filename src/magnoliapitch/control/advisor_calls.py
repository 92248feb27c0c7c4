"""Calls to the advisor, each in a thread of a pool."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from magnoliapitch.control.events import PermitsAnswered


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.advice import AdvisorChannelPool
    from magnoliapitch.advice.channel import AdvisorChannel
    from magnoliapitch.clock import Clock
    from magnoliapitch.control.events import Event
    from magnoliapitch.planner.plan import IdleCalls
    from magnoliapitch.planner.plan import PlannedPermitRequest


ADVISOR_THREAD_COUNT = 96


class AdvisorCalls:
    """Makes advisor calls without waiting for their answers.

    Tickets are valid from the answer of the advisor, which takes its set time
    for each call, on its own or on a relaying instance's connection.

    :param channels: channels for advisor calls.
    """

    def __init__(self, channels: AdvisorChannelPool, clock: Clock) -> None:
        self._channels = channels
        self._clock = clock
        self._executor = ThreadPoolExecutor(ADVISOR_THREAD_COUNT, "asks")

    def idle_calls(self) -> IdleCalls:
        """Return the calls that can be started now."""
        return self._channels.idle_calls()

    def begin_due_probes(self) -> None:
        """Probe peers that have not answered lately, each in a thread."""
        for channel in self._channels.due_probes():
            self._executor.submit(self._channels.probe, channel)

    def begin(
        self,
        request: PlannedPermitRequest,
        timeout_ms: int,
        post: Callable[[Event], None],
    ) -> bool:
        """Begin a call if a channel is idle.

        :param post: called with the outcome.
        :return: whether the call was begun.
        """
        channel = self._channels.reserve(request)
        if channel is None:
            return False
        self._executor.submit(self._call, channel, request, timeout_ms, post)
        return True

    def _call(
        self,
        channel: AdvisorChannel,
        request: PlannedPermitRequest,
        timeout_ms: int,
        post: Callable[[Event], None],
    ) -> None:
        sent_ms = self._clock.now_ms()
        outcome = self._channels.call(channel, request, timeout_ms)
        issued_ms = min(
            sent_ms + int(request.expected_call_ms), self._clock.now_ms()
        )
        post(PermitsAnswered(request, outcome, issued_ms))


__all__ = ["AdvisorCalls"]
