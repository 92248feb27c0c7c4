"""Workers as the platform lists them."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


class WorkerInfo(NamedTuple):
    """One life of a worker.

    :param worker_id: unique for each life; a restart brings a new id.
    :param address: ``IP:PORT``.
    :param rack: rack of the machine, or empty if unknown.
    :param labels: kind, rack and whatever else jobs may require.
    :param is_draining: it leaves soon and takes no new work.
    :param drain_remaining_ms: least time until it leaves, when listed.
    :param is_listed: False once the entry has vanished from the list.
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
