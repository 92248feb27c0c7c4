"""Configurations with workspaces for tests."""

from __future__ import annotations

from magnoliapitch.workload.configuration import Configuration
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.configuration import RequestLimits
from magnoliapitch.workload.configuration import Workspace


HOST = "jobs.example"
PRIVATE_QUEUE = Queue("plans", HOST, "/plans/", "app")
PUBLIC_QUEUE = Queue("open", HOST, "/open/", "app", is_public=True)
NORTH = Workspace("north", frozenset(("north-1", "north-2")))
SOUTH = Workspace("south", frozenset(("south-1",)))


def configuration(
    version: int = 1,
    workspaces: tuple[Workspace, ...] = (NORTH, SOUTH),
    queues: tuple[Queue, ...] = (PRIVATE_QUEUE, PUBLIC_QUEUE),
) -> Configuration:
    return Configuration(
        version,
        {queue.name: queue for queue in queues},
        {},
        RequestLimits(),
        {workspace.name: workspace for workspace in workspaces},
    )
