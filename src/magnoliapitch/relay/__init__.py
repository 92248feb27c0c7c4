"""Callers' operations on jobs through another instance.

An instance that the store refuses, or that is cut off from it, passes the
operations on to the leader, which reaches the store.
"""

from __future__ import annotations

from magnoliapitch.relay.client import JobRelay
from magnoliapitch.relay.jobs import RelayedJobs
from magnoliapitch.relay.service import add_relay_routes


__all__ = ["JobRelay", "RelayedJobs", "add_relay_routes"]
