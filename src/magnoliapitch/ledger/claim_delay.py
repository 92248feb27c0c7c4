"""How long an instance waits for the leader before it claims leadership."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random

    from magnoliapitch.ledger.records import LeaderRecord


# Time without a record of the leader after which others may claim.
LEADER_TIMEOUT_MS = 1_000
# A slow store delivers the leader's records late, so that a claim waits longer
# by the duration of this many reads.
READ_DURATION_FACTOR = 3
# Random delays spread the claims of several instances.
MAX_CLAIM_JITTER_MS = 300
MAX_RESIGNED_JITTER_MS = 60
# A leader that resigns is being restarted, and the instances often are in
# turn. Those that have not been yet leave the claim to one that has.
LONGER_RUNNING_CLAIM_DELAY_MS = 100
FIRST_CLAIM_DELAY_MS = 300


class ClaimDelay:
    """Delay between the newest record of a leader and a claim to follow it.

    One thread uses it at a time.

    :param extra_ms: how much longer than other instances this one waits.
    :param now_ms: the present time by this instance's clock.
    :ivar follows_resignation: whether the leader has said that it stops, so
        that it can't be heard any more.
    """

    def __init__(
        self,
        instance_id: str,
        randomness: random.Random,
        extra_ms: int,
        now_ms: int,
    ) -> None:
        self.follows_resignation = False
        self._instance_id = instance_id
        self._random = randomness
        self._extra_ms = extra_ms
        self._heard_ms = now_ms
        self._delay_ms = FIRST_CLAIM_DELAY_MS + extra_ms
        self._first_read_epoch: int | None = None

    def record_heard(self, leader: LeaderRecord | None, now_ms: int) -> None:
        """Begin the delay that follows new records.

        :param leader: newest claim of leadership.
        """
        self._heard_ms = now_ms
        if self._first_read_epoch is None:
            self._first_read_epoch = leader.epoch if leader else 0
        self.follows_resignation = leader is not None and leader.has_resigned
        if leader is not None and leader.has_resigned:
            self._delay_ms = self._resigned_delay_ms(leader)
        elif leader is not None and leader.instance_id == self._instance_id:
            # The leader was an earlier process of this instance, which has
            # certainly ended.
            self._delay_ms = 0
        else:
            self._delay_ms = self._random_delay_ms()

    def restart(self, now_ms: int) -> None:
        """Begin a new delay, as if a leader had been heard now."""
        self.follows_resignation = False
        self._heard_ms = now_ms
        self._delay_ms = self._random_delay_ms()

    def postpone(self, now_ms: int) -> None:
        """Begin the delay anew: the leader's records could not be read."""
        self._heard_ms = now_ms

    def silent_ms(self, now_ms: int) -> int:
        """Return for how long the leader has not been heard."""
        return now_ms - self._heard_ms

    def remaining_ms(self, now_ms: int) -> int:
        """Return what is left of the delay; negative once it is over."""
        return self._delay_ms - self.silent_ms(now_ms)

    def is_over(self, now_ms: int, read_duration_ms: int) -> bool:
        """Return whether this instance may claim now.

        :param read_duration_ms: how long the store took for the newest read.
        """
        late_ms = READ_DURATION_FACTOR * read_duration_ms
        if self.follows_resignation:
            late_ms = 0
        return self.remaining_ms(now_ms) + late_ms <= 0

    def _resigned_delay_ms(self, leader: LeaderRecord) -> int:
        """Return the delay of a claim after a resignation.

        An instance that found the leader in office when it started has been
        started later than the leader.
        """
        jitter_ms = self._random.randrange(MAX_RESIGNED_JITTER_MS)
        is_younger = self._first_read_epoch == leader.epoch
        return (
            jitter_ms
            + self._extra_ms
            + (0 if is_younger else LONGER_RUNNING_CLAIM_DELAY_MS)
        )

    def _random_delay_ms(self) -> int:
        jitter_ms = self._random.randrange(MAX_CLAIM_JITTER_MS)
        return LEADER_TIMEOUT_MS + jitter_ms + self._extra_ms


__all__ = [
    "LEADER_TIMEOUT_MS",
    "LONGER_RUNNING_CLAIM_DELAY_MS",
    "MAX_RESIGNED_JITTER_MS",
    "ClaimDelay",
]
