"""Pauses between the leader's planning rounds."""

from __future__ import annotations


# Without much to plan, rounds begin this often.
ROUND_INTERVAL_MS = 10
# The rest is for the threads that pass orders on and take answers, which get
# little of the processor while a round lasts.
MAX_PLANNING_SHARE = 0.5


def round_pause_ms(loop_ms: int, round_ms: int) -> int:
    """Return the pause after a round.

    Rounds that take long follow each other more slowly, so that planning
    never takes more than its share of the leader's time.

    :param loop_ms: time since the round before ended, less its pause.
    :param round_ms: duration of the round itself.
    """
    rest_ms = round(round_ms * (1 / MAX_PLANNING_SHARE - 1))
    return max(0, ROUND_INTERVAL_MS - loop_ms, rest_ms)


__all__ = ["round_pause_ms"]
