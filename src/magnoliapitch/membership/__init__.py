"""Which entry instances exist and how fresh that knowledge is."""

from __future__ import annotations

from magnoliapitch.membership.identity import Identity
from magnoliapitch.membership.membership import Membership
from magnoliapitch.membership.membership import PeerStatus
from magnoliapitch.membership.state import MemberState


__all__ = ["Identity", "MemberState", "Membership", "PeerStatus"]
