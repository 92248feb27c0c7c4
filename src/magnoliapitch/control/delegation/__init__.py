"""Delegation of the calls to workers to other instances.

The leader alone decides. Renewing leases and sending orders costs most of
the processor time of a start, so on large fleets the leader passes them to
agents: other instances, each for the workers of a zone or a part of one.

An agent has no authority of its own. Orders and leases carry the leader's
fencing token and deadlines that the leader has computed on the worker's
clock. A slow, frozen or cut-off agent is thus like a slow network.
"""

from __future__ import annotations

from magnoliapitch.control.delegation.agent import Agent
from magnoliapitch.control.delegation.service import AgentClient
from magnoliapitch.control.delegation.service import add_agent_route


__all__ = ["Agent", "AgentClient", "add_agent_route"]
