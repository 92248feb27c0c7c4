"""Clock that successive leaders share through the store.

No two instances have the same clock, and any of them may be replaced at any
time. So each leader stores how much time has certainly passed since the first
of a series of leaders claimed, and the next one continues from there. The
clock stands still while nobody leads and nobody has read it; it never runs
ahead of the time that has passed. A time that a leader stores by this clock
has therefore certainly come once a later leader's clock shows it.

Leases rest on readings that a leader stores once it is prepared. Beside each
reading stands the newest of these, since a leader may be lost after its claim
and before it has granted anything.
"""

from __future__ import annotations

from typing import NamedTuple


class ClockStamp(NamedTuple):
    """Reading of the shared clock in a record of a leader.

    :param epoch: epoch of the leader that stored it.
    :param origin: epoch of the leader with which the series began; times of
        different series cannot be compared.
    :param elapsed_ms: time since then, in ms; rather too short.
    """

    epoch: int
    origin: int
    elapsed_ms: int


class LeaseEnd(NamedTuple):
    """Time at which every lease of a worker has certainly expired.

    :param origin: series of the clock that the time is given by.
    :param elapsed_ms: the time by that clock, in ms.
    :param address: address of the worker, by which its successor is found;
        empty if it is not known.
    """

    origin: int
    elapsed_ms: int
    address: str = ""


class LeaderClock(NamedTuple):
    """The shared clock as a leader continues it.

    :param epoch: the leader's epoch.
    :param offset_ms: elapsed time less the instance's own clock, in ms.
    :param inherited_ms: newest elapsed time on which leases of former leaders
        may rest; None if it is not known.
    """

    epoch: int
    origin: int
    offset_ms: int
    inherited_ms: int | None = None

    def stamp(self, now_ms: int) -> ClockStamp:
        """Return the reading to store with a record."""
        return ClockStamp(self.epoch, self.origin, now_ms + self.offset_ms)

    def claim_basis(self, now_ms: int) -> ClockStamp:
        """Return what leases rest on, to store with a claim.

        The leader that claims now has granted none.
        """
        if self.inherited_ms is None:
            return self.stamp(now_ms)
        return ClockStamp(self.epoch, self.origin, self.inherited_ms)

    def inherited_age_ms(self, now_ms: int) -> int | None:
        """Return how long ago leases of former leaders began at the latest.

        :return: time in ms; None if no reading of theirs is known.
        """
        if self.inherited_ms is None:
            return None
        return now_ms - self.local_ms(self.inherited_ms)

    def lease_end(self, local_ms: int, address: str = "") -> LeaseEnd:
        """Return the end of a worker's leases as it is stored.

        :param local_ms: the end by this instance's own clock.
        """
        return LeaseEnd(self.origin, local_ms + self.offset_ms, address)

    def local_ms(self, elapsed_ms: int) -> int:
        """Return an elapsed time by this instance's own clock."""
        return elapsed_ms - self.offset_ms

    def knows(self, end: LeaseEnd) -> bool:
        """Return whether a stored end is given by this series."""
        return end.origin == self.origin


class _Reading(NamedTuple):
    stamp: ClockStamp
    received_ms: int


class ElapsedClock:
    """The newest reading of the shared clock that this instance has seen."""

    def __init__(self) -> None:
        self._reading: _Reading | None = None
        self._basis: ClockStamp | None = None

    def record(self, stamp: ClockStamp, received_ms: int) -> None:
        """Record a reading.

        :param received_ms: when the call that read it was answered, by this
            instance's clock; the record was stored before.
        """
        self._reading = _Reading(stamp, received_ms)

    def record_basis(self, stamp: ClockStamp) -> None:
        """Record the newest reading on which leases may rest."""
        self._basis = stamp

    def continue_as(
        self, epoch: int, former_epoch: int, now_ms: int
    ) -> LeaderClock:
        """Return the clock of a leader that claims now.

        It begins a new series unless the former leader's reading is known.

        :param former_epoch: epoch of the newest stored claim.
        """
        reading = self._reading
        if reading is None or reading.stamp.epoch != former_epoch:
            return LeaderClock(epoch, epoch, -now_ms)
        stamp, received_ms = reading
        offset_ms = stamp.elapsed_ms - received_ms
        return LeaderClock(
            epoch, stamp.origin, offset_ms, self._basis_ms(stamp)
        )

    def _basis_ms(self, stamp: ClockStamp) -> int:
        """Return the elapsed time on which leases rest up to a reading.

        Leaders of earlier releases store no such record; their leases may
        rest on the reading itself.
        """
        basis = self._basis
        if basis is None or basis[:2] != stamp[:2]:
            return stamp.elapsed_ms
        return basis.elapsed_ms


__all__ = ["ClockStamp", "ElapsedClock", "LeaderClock", "LeaseEnd"]
