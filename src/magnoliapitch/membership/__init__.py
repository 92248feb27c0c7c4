"""Discovery and failure detection of entry instances."""

from __future__ import annotations

from magnoliapitch.membership.identity import Identity
from magnoliapitch.membership.membership import Membership
from magnoliapitch.membership.progress import AppliedEverywhere
from magnoliapitch.membership.state import MemberState
from magnoliapitch.membership.status import PeerStatus


__all__ = [
    "AppliedEverywhere",
    "Identity",
    "MemberState",
    "Membership",
    "PeerStatus",
]
