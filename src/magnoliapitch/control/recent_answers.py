"""Share of the latest calls that were answered."""

from __future__ import annotations

from collections import deque


RECENT_CALL_COUNT = 40
# Calls to one silent zone of three stay unanswered; if more do, the cause is
# more likely this machine.
MAX_UNANSWERED_SHARE = 0.5


class RecentAnswers:
    """Tells an overloaded machine of our own from silent workers."""

    def __init__(self) -> None:
        self._answers: deque[bool] = deque(maxlen=RECENT_CALL_COUNT)

    def record(self, *, is_answered: bool) -> None:
        """Record the outcome of a call."""
        self._answers.append(is_answered)

    def are_mostly_missing(self) -> bool:
        """Return whether most of the latest calls stayed unanswered."""
        unanswered_count = self._answers.count(False)
        return unanswered_count > MAX_UNANSWERED_SHARE * RECENT_CALL_COUNT

    def clear(self) -> None:
        """Forget all calls, so that a reaction to them can take effect."""
        self._answers.clear()
