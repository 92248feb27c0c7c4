"""Load figures that the leader publishes, and their encoding."""

from __future__ import annotations

from typing import Annotated
from typing import NamedTuple

from pydantic import Field
from pydantic import TypeAdapter

from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources


_Count = Annotated[int, Field(ge=0, strict=True)]


# Part of the queues that certainly fits; they differ in size.
KEPT_SHARE = 0.9


class SizedWait(NamedTuple):
    """Lower bound of the wait of tasks of at least some size.

    Smaller tasks may start in gaps that the work before them cannot use.

    :param size: what a task needs at least.
    """

    size: Resources
    wait_ms: _Count


class QueueLoad(NamedTuple):
    """Load that a new job of a queue meets.

    :param waits: lower bounds of the time until a task can start.
    :param path_ms: expected duration of the longest path of a job.
    :param waits_by_workspace: lower bounds for the jobs of workspaces that
        are above their share.
    """

    waits: tuple[SizedWait, ...]
    path_ms: _Count
    waits_by_workspace: dict[str, tuple[SizedWait, ...]]

    def wait_ms(self, workspace: str, size: Resources) -> int:
        """Return the lower bound for a task of a job of a workspace."""
        waits = self.waits_by_workspace.get(workspace, self.waits)
        return max(
            (wait.wait_ms for wait in waits if wait.size.fits(size)),
            default=0,
        )


class ServiceCapacity(NamedTuple):
    """Capacity of the workers of a service.

    :param largest: capacities of single workers; every worker has at most
        one of them.
    :param free: free capacities of single workers, likewise.
    :param free_total: free capacity of all workers together.
    """

    largest: tuple[Resources, ...] = ()
    free: tuple[Resources, ...] = ()
    free_total: Resources = NO_RESOURCES


class LoadFigures(NamedTuple):
    """Load at one moment, as the leader knows it.

    :param epoch: epoch of the leader.
    :param sequence: number of the figures within the epoch.
    :param queues_by_name: only queues whose jobs may have to wait.
    """

    epoch: _Count
    sequence: _Count
    queues_by_name: dict[str, QueueLoad]
    services_by_name: dict[str, ServiceCapacity]

    @property
    def position(self) -> tuple[int, int]:
        """Return the position in the order of publication."""
        return self.epoch, self.sequence

    def has_same_load(self, other: LoadFigures) -> bool:
        """Return whether other figures differ at most in their position."""
        return (
            self.queues_by_name == other.queues_by_name
            and self.services_by_name == other.services_by_name
        )


_ADAPTER: TypeAdapter[LoadFigures] = TypeAdapter(LoadFigures)


def encode_figures(figures: LoadFigures) -> bytes:
    """Encode load figures as JSON."""
    return _ADAPTER.dump_json(figures)


def limited_figures(figures: LoadFigures, max_bytes: int) -> LoadFigures:
    """Return the figures, without some queues if they are too long else.

    Those with the longest waits are kept. The jobs of a queue without figures
    are admitted, as are all if the services alone are too long.

    :param max_bytes: largest encoding.
    """
    queues = figures.queues_by_name
    names = sorted(queues, key=lambda name: -_longest_ms(queues[name]))
    size_bytes = len(encode_figures(figures))
    while size_bytes > max_bytes:
        if not names:
            return figures._replace(services_by_name={})
        count = int(len(names) * KEPT_SHARE * max_bytes / size_bytes)
        names = names[:count]
        figures = figures._replace(
            queues_by_name={name: queues[name] for name in names}
        )
        size_bytes = len(encode_figures(figures))
    return figures


def _longest_ms(load: QueueLoad) -> int:
    all_waits = (load.waits, *load.waits_by_workspace.values())
    return max(
        (wait.wait_ms for waits in all_waits for wait in waits), default=0
    )


def decode_figures(value: bytes) -> LoadFigures:
    """Decode load figures.

    :raises ValueError: if the value does not hold valid figures.
    """
    return _ADAPTER.validate_json(value)


__all__ = [
    "LoadFigures",
    "QueueLoad",
    "ServiceCapacity",
    "SizedWait",
    "decode_figures",
    "encode_figures",
    "limited_figures",
]
