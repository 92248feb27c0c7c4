"""Parallel calls to the advisor, relayed by the other instances."""

from __future__ import annotations

from magnoliapitch.advice.channels import AdvisorChannelPool
from magnoliapitch.advice.service import PeerAdvisor
from magnoliapitch.advice.service import peer_application


__all__ = ["AdvisorChannelPool", "PeerAdvisor", "peer_application"]
