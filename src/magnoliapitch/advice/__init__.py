"""Asking the advisor through several instances at once."""

from __future__ import annotations

from magnoliapitch.advice.channels import LanePool
from magnoliapitch.advice.service import PeerAdvisor
from magnoliapitch.advice.service import peer_application


__all__ = ["LanePool", "PeerAdvisor", "peer_application"]
