"""Channels for advisor calls, through this instance or through a peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.advice.peer_health import UNKNOWN_HEALTH
from magnoliapitch.advice.peer_health import PeerHealth


if TYPE_CHECKING:
    from magnoliapitch.advice.service import PeerAdvisor
    from magnoliapitch.workload.client import Advisor


# Time without calls through a peer after a call through it has failed; it
# doubles with each further failure in a row.
FIRST_BACKOFF_MS = 2_000
MAX_BACKOFF_MS = 8_000
# Time between the probes of a peer that does not answer.
PROBE_INTERVAL_MS = 1_000
# Age of a peer's last answer from which it is probed again, and from which it
# is not used before it has answered a probe.
MAX_UNPROBED_AGE_MS = 10_000
MAX_ANSWER_AGE_MS = 20_000


class AdvisorChannel:
    """Advisor calls through one instance, at most one at a time.

    :param name: ``own`` for this instance, otherwise the address of a peer.
    :ivar is_busy: whether a call is under way.
    """

    def __init__(self, name: str, advisor: Advisor) -> None:
        self.name = name
        self.advisor = advisor
        self.is_busy = False


class PeerChannel(AdvisorChannel):
    """Advisor calls through a peer, which may be gone without notice.

    It is used only while the peer's last answer, to a call or to a probe, is
    recent. So a call finds at most once that the peer is gone. Peers may be
    lost together, so a call without an answer makes earlier answers of others
    doubtful until these have answered a probe.

    :param now_ms: current time; the first probe is due at once.
    :ivar is_probed: whether a probe is under way.
    """

    def __init__(self, name: str, peer: PeerAdvisor, now_ms: int) -> None:
        super().__init__(name, peer)
        self.peer = peer
        self.is_probed = False
        self._answered_ms: int | None = None
        self._is_doubtful = False
        self._health = UNKNOWN_HEALTH
        self._health_ms = now_ms
        self._probe_at_ms = now_ms
        self._retry_at_ms = now_ms
        self._failures = 0

    def is_usable(self, now_ms: int) -> bool:
        """Return whether calls may go through the peer now."""
        return (
            self._answered_ms is not None
            and not self._is_doubtful
            and now_ms - self._answered_ms <= MAX_ANSWER_AGE_MS
            and now_ms >= self._retry_at_ms
        )

    def health(self, now_ms: int) -> PeerHealth:
        """Return whether the peer answers.

        A call that failed does not show it, as the advisor may be the cause.
        """
        if now_ms - self._health_ms > MAX_ANSWER_AGE_MS:
            return UNKNOWN_HEALTH
        return self._health

    def is_probe_due(self, now_ms: int) -> bool:
        """Return whether the peer should be probed now.

        The outcome of a call under way replaces a probe, unless it is needed
        at once.
        """
        is_awaited = self.is_busy and self._health.is_known
        return not (is_awaited or self.is_probed) and (
            now_ms >= self._probe_at_ms
        )

    def doubt(self, since_ms: int, now_ms: int) -> None:
        """Have the peer probed before its use unless it answered lately.

        :param since_ms: later answers are not doubted.
        """
        healthy_ms = self._health.answered_ms
        if healthy_ms is not None and healthy_ms <= since_ms:
            self._health = UNKNOWN_HEALTH
            self._probe_at_ms = now_ms
        if self._answered_ms is not None and self._answered_ms <= since_ms:
            self._is_doubtful = True
            self._probe_at_ms = now_ms

    def record_call(self, now_ms: int, *, is_ok: bool) -> None:
        """Record the outcome of an advisor call through the peer."""
        self._record_outcome(now_ms, is_ok=is_ok)
        if is_ok:
            self._set_health(now_ms, answered_ms=now_ms)
            self._failures = 0
            return
        backoff_ms = FIRST_BACKOFF_MS << min(self._failures, 8)
        self._retry_at_ms = now_ms + min(backoff_ms, MAX_BACKOFF_MS)
        self._failures += 1

    def record_probe(self, now_ms: int, *, is_ok: bool) -> bool:
        """Record the outcome of a probe.

        :return: whether the peer answers again, or for the first time.
        """
        has_answered = self._answered_ms is not None
        self._set_health(now_ms, answered_ms=now_ms if is_ok else None)
        self._record_outcome(now_ms, is_ok=is_ok)
        return is_ok and not has_answered

    def _set_health(self, now_ms: int, answered_ms: int | None) -> None:
        self._health = PeerHealth(is_known=True, answered_ms=answered_ms)
        self._health_ms = now_ms

    def _record_outcome(self, now_ms: int, *, is_ok: bool) -> None:
        self._answered_ms = now_ms if is_ok else None
        self._is_doubtful = False
        interval_ms = MAX_UNPROBED_AGE_MS if is_ok else PROBE_INTERVAL_MS
        self._probe_at_ms = now_ms + interval_ms
