"""States of a member."""

from __future__ import annotations

from enum import StrEnum


class MemberState(StrEnum):
    """What is known of another entry instance."""

    JOINING = "joining"
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"
