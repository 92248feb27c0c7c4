"""Newest load figures that this instance has read."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.admission import AgedFigures
from magnoliapitch.admission import LoadFigures


if TYPE_CHECKING:
    from magnoliapitch.ledger.records import LeaderRecord


# Figures that first appear after a longer time without a read may have been
# written at any time during it.
MAX_READ_GAP_MS = 2_000


class ReadTimes(NamedTuple):
    """Times of a read of the stream of states, by this instance's clock.

    :param sent_ms: when the read was sent.
    :param previous_ms: when the previous successful one was sent; None if
        there was none.
    :param received_ms: when the read was answered.
    """

    sent_ms: int
    previous_ms: int | None
    received_ms: int


class _Known(NamedTuple):
    figures: LoadFigures
    known_ms: int


class LoadView:
    """The newest figures and since when they are known; thread-safe.

    The age is counted from when the read that returned them was sent, so
    that it includes a pause of this process at any later point.
    """

    def __init__(self) -> None:
        self._known: _Known | None = None

    def apply(self, figures: LoadFigures, read: ReadTimes | None) -> None:
        """Apply figures that were read; ignore ones of unknown age."""
        if read is None or read.previous_ms is None:
            return
        if read.sent_ms - read.previous_ms > MAX_READ_GAP_MS:
            return
        self.update(figures, read.sent_ms)

    def update(self, figures: LoadFigures, known_ms: int) -> None:
        """Replace the figures by newer ones.

        :param known_ms: from when their age counts.
        """
        known = self._known
        if known is None or figures.position > known.figures.position:
            self._known = _Known(figures, known_ms)

    def current(
        self, leader: LeaderRecord | None, now_ms: int
    ) -> AgedFigures | None:
        """Return the figures of the present leader, or None.

        :param leader: newest claim of leadership.
        """
        known = self._known
        if known is None or leader is None or leader.has_resigned:
            return None
        if known.figures.epoch != leader.epoch:
            return None
        return AgedFigures(known.figures, now_ms - known.known_ms)


__all__ = ["LoadView", "ReadTimes"]
