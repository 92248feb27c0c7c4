"""Entries of the platform's list of workers."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


class WorkerInfo(NamedTuple):
    """One incarnation of a worker.

    :param worker_id: unique for each incarnation; a restarted worker gets a
        new id.
    :param service: name of the service whose tasks it runs.
    :param address: ``IP:PORT``.
    :param rack: rack of the machine, or empty if unknown.
    :param labels: kind, rack and other labels that jobs may require.
    :param is_draining: whether it leaves soon and takes no new runs.
    :param drain_remaining_ms: shortest time until it leaves, counted from
        when the list was read.
    :param is_listed: False once the worker is no longer in the list.
    """

    worker_id: str
    service: str
    address: str
    zone: str
    rack: str = ""
    labels: frozenset[str] = frozenset()
    capacity: Resources = NO_RESOURCES
    is_draining: bool = False
    drain_remaining_ms: int = 0
    is_listed: bool = True
