"""Supervisors that start, monitor, restart and stop their children."""

from __future__ import annotations

from magnoliapitch.supervisor.child import Child
from magnoliapitch.supervisor.exceptions import StartError
from magnoliapitch.supervisor.loop import Loop
from magnoliapitch.supervisor.restart import RestartPolicy
from magnoliapitch.supervisor.supervisor import Supervisor


__all__ = ["Child", "Loop", "RestartPolicy", "StartError", "Supervisor"]
