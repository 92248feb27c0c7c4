"""Whether other instances answer, as their probes and calls have shown."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol


class PeerHealth(NamedTuple):
    """Whether a peer answers.

    :param is_known: whether a probe or a call has shown it lately, and no
        doubt has come up since.
    :param answered_ms: when the peer answered last; None if it is not known
        or if the peer is silent.
    """

    is_known: bool
    answered_ms: int | None


UNKNOWN_HEALTH = PeerHealth(is_known=False, answered_ms=None)


class PeerHealthSource(Protocol):
    """Tells which peers answer; thread-safe."""

    def health_of(self, address: str) -> PeerHealth:
        """Return whether the peer with an address answers.

        :param address: ``IP:PORT`` of the peer.
        """

    def doubt_answers(self, since_ms: int) -> None:
        """Have peers probed that have not answered since a time."""


__all__ = [
    "UNKNOWN_HEALTH",
    "PeerHealth",
    "PeerHealthSource",
]
