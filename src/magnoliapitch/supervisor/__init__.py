"""Supervisors that start, watch, restart and stop their children."""

from __future__ import annotations

from magnoliapitch.supervisor.child import Child
from magnoliapitch.supervisor.loop import Loop
from magnoliapitch.supervisor.supervisor import Supervisor


__all__ = ["Child", "Loop", "Supervisor"]
