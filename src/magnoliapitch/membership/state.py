"""States of an entry instance."""

from __future__ import annotations

from enum import StrEnum


class MemberState(StrEnum):
    """State of an entry instance as seen by another one.

    ``JOINING`` members are in the log but were never heard; ``SUSPECT``
    ones lack recent contact in at least one direction. ``GONE`` ones have
    left or are unknown.
    """

    JOINING = "joining"
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"
