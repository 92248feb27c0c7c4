"""Parallel calls to the advisor, relayed by the other instances."""

from __future__ import annotations

from magnoliapitch.advice.channels import AdvisorChannelPool
from magnoliapitch.advice.service import PeerAdvisor
from magnoliapitch.advice.service import add_permit_route


__all__ = ["AdvisorChannelPool", "PeerAdvisor", "add_permit_route"]
