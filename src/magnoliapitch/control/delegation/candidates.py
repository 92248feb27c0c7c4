"""Which instances may be given workers as agents."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.ledger.members import Member


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.advice.peer_health import PeerHealthSource
    from magnoliapitch.clock import Clock


# An instance that was given up as an agent is not used again for this time: it
# may answer probes, but not what an agent is asked.
LOST_AGENT_BACKOFF_MS = 5_000
# Time for the first probes to be answered, so that workers do not all go to
# the instance that answers first.
SETTLE_MS = 100
# Longer than a probe of an instance that does not answer.
MAX_PROBE_WAIT_MS = 700


class Candidates(NamedTuple):
    """Instances that may be given workers now.

    :param is_complete: whether no more of them are expected soon.
    """

    by_address: dict[str, Member]
    is_complete: bool


class AgentCandidates:
    """Keeps the listed instances and tells which of them answer.

    At the start of a leadership, and after the loss of an agent that became
    silent, the instances are probed before they are used, for a bounded time.

    :param peers: tells which instances answer.
    :ivar listed_by_address: all instances that are listed.
    """

    def __init__(self, peers: PeerHealthSource, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self.listed_by_address: dict[str, Member] = {}
        self._is_listed = False
        self._wait_began_ms = clock.now_ms()
        self._lost_ms_by_address: dict[str, int] = {}

    def set_listed(self, members: Iterable[Member]) -> None:
        """Replace the listed instances."""
        self.listed_by_address = {member.address: member for member in members}
        if not self._is_listed:
            self._is_listed = True
            self._wait_began_ms = self._clock.now_ms()

    def record_loss(self, address: str, *, is_silent: bool) -> None:
        """Record that an instance was given up as an agent.

        :param is_silent: whether it gave no answer; others may have become
            silent with it.
        """
        now_ms = self._clock.now_ms()
        self._lost_ms_by_address[address] = now_ms
        if is_silent:
            self._wait_began_ms = now_ms
            self._peers.doubt_answers(now_ms)

    def now(self) -> Candidates:
        """Return the instances that may be given workers now."""
        now_ms = self._clock.now_ms()
        usable: dict[str, Member] = {}
        is_complete = self._is_listed
        for address, member in self.listed_by_address.items():
            health = self._peers.health_of(address)
            if self._is_usable(address, health.answered_ms, now_ms):
                usable[address] = member
            elif address not in self._lost_ms_by_address:
                is_complete = is_complete and health.is_known
        waited_ms = now_ms - self._wait_began_ms
        if is_complete or waited_ms >= MAX_PROBE_WAIT_MS:
            return Candidates(usable, is_complete=True)
        if waited_ms < SETTLE_MS:
            usable = {}
        return Candidates(usable, is_complete=False)

    def _is_usable(
        self, address: str, answered_ms: int | None, now_ms: int
    ) -> bool:
        if answered_ms is None:
            return False
        lost_ms = self._lost_ms_by_address.get(address)
        if lost_ms is None:
            return True
        is_rested = now_ms - lost_ms >= LOST_AGENT_BACKOFF_MS
        return is_rested and answered_ms > lost_ms


__all__ = ["AgentCandidates", "Candidates"]
