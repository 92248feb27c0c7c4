"""Workers: their incarnations, and the entries of the platform's list."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


if TYPE_CHECKING:
    from collections.abc import Iterable


# Separates the name of a worker from the start time of its incarnation.
_START_SEPARATOR = "@"


class Incarnation(NamedTuple):
    """Identity of one run of a worker's process.

    A worker that restarts may keep its name. Nothing that was known of the
    former incarnation is true of the next one, so whatever is kept for a
    worker is kept by the id of its incarnation.

    :param name: id under which the platform lists the worker.
    :param started_ms: when the process was started, ms since 1970; None if
        the platform does not tell, and then gives a restarted worker a new
        name.
    """

    name: str
    started_ms: int | None = None

    @classmethod
    def from_worker_id(cls, worker_id: str) -> Incarnation:
        """Return the incarnation that an id stands for."""
        name, separator, started = worker_id.rpartition(_START_SEPARATOR)
        if not separator or not started.isdecimal():
            return cls(worker_id)
        return cls(name, int(started))

    @property
    def worker_id(self) -> str:
        """Return the id of the incarnation, which is unique."""
        if self.started_ms is None:
            return self.name
        return f"{self.name}{_START_SEPARATOR}{self.started_ms}"

    def has_followed(self, former: Incarnation) -> bool:
        """Return whether this incarnation certainly began after another."""
        return (
            self.name == former.name
            and self.started_ms is not None
            and former.started_ms is not None
            and self.started_ms > former.started_ms
        )


def incarnations_by_name(worker_ids: Iterable[str]) -> dict[str, Incarnation]:
    """Return the incarnations that ids stand for, by the workers' names."""
    incarnations = map(Incarnation.from_worker_id, worker_ids)
    return {incarnation.name: incarnation for incarnation in incarnations}


class WorkerInfo(NamedTuple):
    """One incarnation of a worker.

    :param worker_id: id of the incarnation; a restarted worker has another.
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
